"""Lends connections to attempts and reports how each attempt ended."""

from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_codec
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import searcher_pool
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state

# A host that does not answer at all; a new connection takes a few ms.
CONNECT_TIMEOUT_S = 0.2

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def pool_for(
    context: searchers_context.SearchersContext, searcher: forwarding.Searcher
) -> searcher_pool.SearcherPool:
    """Return the pool of a searcher, made on first use."""
    key = searchers_state.pool_key(searcher)
    found = context.state.pools.get(key)
    if found is None:
        found = searcher_pool.SearcherPool(searcher)
        context.state.pools[key] = found
    return found


def report(
    context: searchers_context.SearchersContext,
    job: attempt_job.AttemptJob,
    ended: Ended,
) -> None:
    """Tell the forwarding task how an attempt ended."""
    context.state.jobs.pop(job.order.attempt_id, None)
    if job.linger is not None:
        job.linger.cancel()
        job.linger = None
    context.runtime.mailboxes.forwarding.put(ended)


def open_connection(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> None:
    """Open a connection to the pool's searcher."""
    pool.opening += 1
    context.runtime.metrics.count('searchers.connections_opened')
    running = client_connection.connect(
        context.runtime.reactor,
        (pool.searcher.address, pool.searcher.port),
        CONNECT_TIMEOUT_S,
        lambda connection, reply: take_reply(context, pool, connection, reply),
        lambda connection, reason: lose(context, pool, connection, reason),
        context.runtime.logger,
    )
    running.addCallbacks(
        lambda connection: opened(context, pool, connection),
        lambda reason: not_opened(context, pool, reason),
    )


def open_for(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    job: attempt_job.AttemptJob,
) -> None:
    """Open a connection for an attempt; an idle one makes room for it.

    Without room the attempt waits for the next connection that is free.
    """
    pool.waiting.append(job)
    limit = context.state.limit_for(pool.searcher.service)
    if pool.size() >= limit:
        pool.idle.close_oldest()
    if pool.size() < limit:
        open_connection(context, pool)


def opened(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
) -> None:
    """Use a new connection for what waits, or keep it warm."""
    pool.opening -= 1
    if not connection.reusable:
        serve_waiting(context, pool)
        return
    keep(context, pool, connection)


def not_opened(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    reason: failure.Failure,
) -> None:
    """Report the attempt that a failed connection was meant for."""
    pool.opening -= 1
    context.runtime.metrics.count('searchers.connections_failed')
    if not pool.waiting:
        return
    job = pool.waiting.popleft()
    detail = f'connect_{type(reason.value).__name__}'
    report(
        context,
        job,
        Ended(job.order.attempt_id, Outcome.NOT_SENT, detail=detail),
    )
    serve_waiting(context, pool)


def keep(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
) -> None:
    """Lend a free connection to the next attempt, or keep it idle."""
    if (
        context.state.pools.get(searchers_state.pool_key(pool.searcher))
        is not pool
        and not pool.waiting
    ):
        connection.close()
        return
    pool.idle.keep(connection, context.runtime.clock.now_ms())
    serve_waiting(context, pool)


def serve_waiting(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> None:
    """Lend idle connections to waiting attempts, and open more."""
    now_ms = context.runtime.clock.now_ms()
    while pool.waiting:
        found = pool.idle.take(now_ms)
        if found is None:
            break
        transmit(context, pool, pool.waiting.popleft(), found)
    if not pool.waiting:
        return
    limit = context.state.limit_for(pool.searcher.service)
    wanted = len(pool.waiting) - pool.opening
    while wanted > 0 and pool.size() < limit:
        wanted -= 1
        open_connection(context, pool)


def transmit(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    job: attempt_job.AttemptJob,
    connection: client_connection.ClientConnection,
) -> None:
    """Write the request, unless its response is no longer needed."""
    now_ms = context.runtime.clock.now_ms()
    remaining_ms = job.order.remaining_ms - (now_ms - job.ordered_ms)
    if job.linger is not None or remaining_ms <= 0:
        report(
            context,
            job,
            Ended(
                job.order.attempt_id,
                Outcome.NOT_SENT,
                detail='not_needed',
            ),
        )
        keep(context, pool, connection)
        return
    job.connection = connection
    pool.busy[connection] = job
    request_id = job.order.request.request_id
    expected = context.names.request_id

    def accept(reply: http_reply.HttpReply) -> bool:
        if reply.headers.first.get(expected) == request_id:
            return True
        context.runtime.metrics.count('searchers.stray_responses')
        return False

    data = attempt_codec.encode_attempt(
        context.names,
        shared_head(context, job.order.request),
        job.order,
        remaining_ms,
    )
    connection.send(data, accept)


def shared_head(
    context: searchers_context.SearchersContext,
    request: forwarding.CallerRequest,
) -> bytes:
    """Return what the attempts of a request share.

    The parts of a gather are sent one after another, so the last request's
    is kept.
    """
    call_id, head = context.state.last_head
    if call_id != request.call_id:
        head = attempt_codec.encode_shared_head(context.names, request)
        context.state.last_head = (request.call_id, head)
    return head


def take_reply(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
    reply: http_reply.HttpReply,
) -> None:
    """Report a complete response and free its connection."""
    job = pool.busy.pop(connection, None)
    if job is None:
        connection.close()
        return
    ended = attempt_codec.classify(context.names, job.order, reply)
    report(context, job, ended)
    if ended.outcome == Outcome.MISDIRECTED:
        connection.reusable = False
    if not connection.reusable:
        connection.close()
        serve_waiting(context, pool)
        return
    keep(context, pool, connection)


def lose(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
    reason: str,
) -> None:
    """Report the attempt that ended with its connection."""
    pool.idle.discard(connection)
    job = pool.busy.pop(connection, None)
    if job is not None:
        report(
            context,
            job,
            Ended(job.order.attempt_id, Outcome.LOST, detail=reason),
        )
    serve_waiting(context, pool)
