"""The task that holds the connections to searchers."""

from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints
from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import end_to_end
from gypsumbridge_node.gateway import header_names
from gypsumbridge_node.gateway import http_head
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import http_request
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import searcher_pool
from gypsumbridge_node.gateway import searchers_state

# A host that does not answer at all; a new connection takes a few ms.
CONNECT_TIMEOUT_S = 0.2
# A request that must not run twice is not sent over a connection that was
# idle for longer, since the searcher may be closing it at that moment.
MAX_IDLE_UNSAFE_MS = 500
STATUS_MISDIRECTED = 421

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def start_searchers_task(runtime: runtimes.GatewayRuntime) -> None:
    """Send attempts to searchers and report how each one ended."""
    state = searchers_state.SearchersState()
    pools = make_pools(runtime, state)

    def change_routes(news: forwarding.RoutesChanged) -> None:
        state.table = news.table
        pools.warm()

    def change_nodes(news: forwarding.FleetSizeChanged) -> None:
        state.nodes = news.nodes

    table: dict[type, Callable[[Any], None]] = {
        forwarding.SendAttempt: pools.send,
        forwarding.CancelAttempt: pools.cancel,
        forwarding.SearchersChanged: pools.change,
        forwarding.RoutesChanged: change_routes,
        forwarding.FleetSizeChanged: change_nodes,
    }

    def handle(message: Any) -> None:
        table[type(message)](message)

    runtime.boxes.searchers.start(handle)


class Pools:
    """Opens, lends and closes connections, each owned by one pool."""

    def __init__(
        self,
        runtime: runtimes.GatewayRuntime,
        state: searchers_state.SearchersState,
    ) -> None:
        self.runtime = runtime
        self.state = state
        self.names = runtime.adapter.headers

    def send(self, order: forwarding.SendAttempt) -> None:
        """Send an attempt over an idle or a new connection."""
        now_ms = self.runtime.clock.now_ms()
        pool = self.pool_for(order.searcher)
        job = attempt_job.AttemptJob(order, now_ms)
        self.state.jobs[order.attempt_id] = job
        max_idle_ms = None if order.idempotent else MAX_IDLE_UNSAFE_MS
        found = pool.take_idle(now_ms, max_idle_ms)
        if found is not None:
            self.transmit(pool, job, found)
            return
        pool.waiting.append(job)
        if pool.size() < self.state.limit_for(order.searcher.service):
            self.open(pool)

    def cancel(self, order: forwarding.CancelAttempt) -> None:
        """Discard an attempt's response, at once or after a while."""
        job = self.state.jobs.get(order.attempt_id)
        if job is None or job.linger is not None:
            return
        if order.linger_ms:
            job.linger = self.runtime.reactor.callLater(
                order.linger_ms / 1000, self.give_up, job
            )
            return
        del self.state.jobs[order.attempt_id]
        self.detach(job)

    def give_up(self, job: attempt_job.AttemptJob) -> None:
        """End an attempt that did not end in the time it was left."""
        job.linger = None
        sent = job.connection is not None
        self.detach(job)
        outcome = Outcome.LOST if sent else Outcome.NOT_SENT
        self.report(job, Ended(job.order.attempt_id, outcome, detail='silent'))

    def detach(self, job: attempt_job.AttemptJob) -> None:
        """Take an attempt off its pool; a connection in use is closed."""
        pool = self.pool_for(job.order.searcher)
        if job.connection is None:
            pool.waiting.remove(job)
            return
        pool.busy.pop(job.connection, None)
        job.connection.close()
        self.serve_waiting(pool)

    def report(self, job: attempt_job.AttemptJob, ended: Ended) -> None:
        """Tell the forwarding task how an attempt ended."""
        self.state.jobs.pop(job.order.attempt_id, None)
        if job.linger is not None:
            job.linger.cancel()
            job.linger = None
        self.runtime.boxes.forwarding.put(ended)

    def pool_for(
        self, searcher: forwarding.Searcher
    ) -> searcher_pool.SearcherPool:
        """Return the pool of a searcher, made on first use."""
        key = searchers_state.pool_key(searcher)
        found = self.state.pools.get(key)
        if found is None:
            found = searcher_pool.SearcherPool(searcher)
            self.state.pools[key] = found
        return found

    def open(self, pool: searcher_pool.SearcherPool) -> None:
        """Open a connection to the pool's searcher."""
        pool.opening += 1
        self.runtime.metrics.count('searchers.connections_opened')
        target = endpoints.TCP4ClientEndpoint(
            self.runtime.reactor,
            pool.searcher.address,
            pool.searcher.port,
            timeout=CONNECT_TIMEOUT_S,
        )
        factory = client_connection.make_factory(
            lambda connection, reply: self.take_reply(pool, connection, reply),
            lambda connection, reason: self.lose(pool, connection, reason),
            self.runtime.logger,
        )
        factory.noisy = False
        running = target.connect(factory)
        running.addCallbacks(
            lambda connection: self.opened(pool, connection),
            lambda reason: self.not_opened(pool, reason),
        )

    def opened(
        self,
        pool: searcher_pool.SearcherPool,
        connection: client_connection.ClientConnection,
    ) -> None:
        """Use a new connection for what waits, or keep it warm."""
        pool.opening -= 1
        if not connection.reusable:
            self.serve_waiting(pool)
            return
        self.keep(pool, connection)

    def not_opened(
        self, pool: searcher_pool.SearcherPool, reason: failure.Failure
    ) -> None:
        """Report the attempt that a failed connection was meant for."""
        pool.opening -= 1
        self.runtime.metrics.count('searchers.connections_failed')
        if not pool.waiting:
            return
        job = pool.waiting.popleft()
        detail = f'connect_{type(reason.value).__name__}'
        self.report(
            job, Ended(job.order.attempt_id, Outcome.NOT_SENT, detail=detail)
        )
        self.serve_waiting(pool)

    def keep(
        self,
        pool: searcher_pool.SearcherPool,
        connection: client_connection.ClientConnection,
    ) -> None:
        """Lend a free connection to the next attempt, or keep it idle."""
        now_ms = self.runtime.clock.now_ms()
        connection.idle_since_ms = now_ms
        if (
            self.state.pools.get(searchers_state.pool_key(pool.searcher))
            is not pool
            and not pool.waiting
        ):
            connection.close()
            return
        pool.idle.append(connection)
        self.serve_waiting(pool)

    def serve_waiting(self, pool: searcher_pool.SearcherPool) -> None:
        """Lend idle connections to waiting attempts, and open more."""
        now_ms = self.runtime.clock.now_ms()
        while pool.waiting:
            found = pool.take_idle(now_ms, None)
            if found is None:
                break
            self.transmit(pool, pool.waiting.popleft(), found)
        limit = self.state.limit_for(pool.searcher.service)
        wanted = len(pool.waiting) - pool.opening
        while wanted > 0 and pool.size() < limit:
            wanted -= 1
            self.open(pool)

    def transmit(
        self,
        pool: searcher_pool.SearcherPool,
        job: attempt_job.AttemptJob,
        connection: client_connection.ClientConnection,
    ) -> None:
        """Write the request, unless its response is no longer needed."""
        now_ms = self.runtime.clock.now_ms()
        remaining_ms = job.order.remaining_ms - (now_ms - job.ordered_ms)
        if job.linger is not None or remaining_ms <= 0:
            self.report(
                job,
                Ended(
                    job.order.attempt_id,
                    Outcome.NOT_SENT,
                    detail='not_needed',
                ),
            )
            self.keep(pool, connection)
            return
        job.connection = connection
        pool.busy[connection] = job
        request = make_request(self.names, job.order, remaining_ms)
        request_id = job.order.request.request_id

        def accept(reply: http_reply.HttpReply) -> bool:
            if reply.header(self.names.request_id) == request_id:
                return True
            self.runtime.metrics.count('searchers.stray_responses')
            return False

        connection.send(
            http_head.encode_request(request, pool.searcher.address), accept
        )

    def take_reply(
        self,
        pool: searcher_pool.SearcherPool,
        connection: client_connection.ClientConnection,
        reply: http_reply.HttpReply,
    ) -> None:
        """Report a complete response and free its connection."""
        job = pool.busy.pop(connection, None)
        if job is None:
            connection.close()
            return
        ended = classify(self.names, job.order, reply)
        self.report(job, ended)
        if ended.outcome == Outcome.MISDIRECTED:
            connection.reusable = False
        if not connection.reusable:
            connection.close()
            self.serve_waiting(pool)
            return
        self.keep(pool, connection)

    def lose(
        self,
        pool: searcher_pool.SearcherPool,
        connection: client_connection.ClientConnection,
        reason: str,
    ) -> None:
        """Report the attempt that ended with its connection."""
        if connection in pool.idle:
            pool.idle.remove(connection)
        job = pool.busy.pop(connection, None)
        if job is not None:
            self.report(
                job, Ended(job.order.attempt_id, Outcome.LOST, detail=reason)
            )
        self.serve_waiting(pool)

    def change(self, news: forwarding.SearchersChanged) -> None:
        """Drop pools of searchers that left and warm up new ones."""
        known = {
            searchers_state.pool_key(found): found for found in news.searchers
        }
        for key in self.state.pools.keys() - known.keys():
            pool = self.state.pools[key]
            if pool.busy or pool.waiting:
                continue
            del self.state.pools[key]
            for connection in list(pool.idle):
                connection.close()
        for found in news.searchers:
            if not found.draining:
                self.pool_for(found)
        self.warm()

    def warm(self) -> None:
        """Open one connection to each searcher that routes lead to.

        Where the nodes outnumber a searcher's connections there is none
        to keep idle.
        """
        if self.state.table is None:
            return
        services = self.state.table.services()
        limits = self.state.table.connection_limits
        for pool in list(self.state.pools.values()):
            service = pool.searcher.service
            if service not in services or pool.size():
                continue
            if limits.get(service, 0) < self.state.nodes:
                continue
            self.open(pool)


def make_pools(
    runtime: runtimes.GatewayRuntime, state: searchers_state.SearchersState
) -> Pools:
    """Return the pools of a node that has just started."""
    return Pools(runtime, state)


def make_request(
    names: header_names.HeaderNames,
    order: forwarding.SendAttempt,
    remaining_ms: int,
) -> http_request.HttpRequest:
    """Return the request as the searcher gets it."""
    request = order.request
    own = (
        (names.request_id, request.request_id),
        (names.deadline_ms, str(remaining_ms)),
        (names.expected_searcher, order.searcher.searcher_id),
    )
    return http_request.HttpRequest(
        request.method, request.target, request.headers + own, request.body
    )


def classify(
    names: header_names.HeaderNames,
    order: forwarding.SendAttempt,
    reply: http_reply.HttpReply,
) -> Ended:
    """Return what a complete response says of the attempt."""
    not_run = reply.header(names.not_run) is not None
    outcome = Outcome.ANSWERED
    if reply.status == STATUS_MISDIRECTED:
        outcome = Outcome.MISDIRECTED
    elif not_run:
        outcome = Outcome.NOT_RUN
    elif order.framed_only and not reply.framed:
        outcome = Outcome.LOST
    return Ended(
        order.attempt_id,
        outcome,
        reply.status,
        end_to_end.end_to_end_headers(reply.headers),
        reply.body,
        reply.header(names.signature) or '',
        '' if outcome == Outcome.ANSWERED else f'status_{reply.status}',
    )
