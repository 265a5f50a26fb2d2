"""Opens the connections of pools, and checks them out for attempts."""

from twisted.python import failure

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_codec
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import attempt_reports
from gypsumbridge_node.gateway import attempt_sending
from gypsumbridge_node.gateway import client_connection
from gypsumbridge_node.gateway import client_opening
from gypsumbridge_node.gateway import http_reply
from gypsumbridge_node.gateway import searcher_pool
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state

# Limits the wait for a host that does not respond; opening a connection
# normally takes a few milliseconds.
CONNECT_TIMEOUT_S = 0.2

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def pool_for(
    context: searchers_context.SearchersContext, searcher: forwarding.Searcher
) -> searcher_pool.SearcherPool:
    """Return the pool of a searcher, created on first use."""
    key = searchers_state.pool_key(searcher)
    found = context.state.pools.get(key)
    if found is None:
        found = searcher_pool.SearcherPool(searcher)
        context.state.pools[key] = found
    return found


def limit_for(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> int:
    """Return how many connections a pool may have.

    Without free descriptors no pool gets more than it has, or than one.
    """
    limit = context.state.limit_for(pool.searcher.service)
    if context.runtime.resources.connections.can_open():
        return limit
    return min(limit, max(1, pool.size()))


def open_connection(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> None:
    """Open a connection to the pool's searcher."""
    pool.opening += 1
    context.runtime.resources.connections.outbound += 1
    context.runtime.metrics.count('searchers.connections_opened')
    running = client_opening.connect(
        context.runtime.reactor,
        (pool.searcher.address, pool.searcher.port),
        CONNECT_TIMEOUT_S,
        lambda connection, reply: handle_reply(
            context, pool, connection, reply
        ),
        lambda connection, reason: handle_connection_lost(
            context, pool, connection, reason
        ),
        context.runtime.logger,
        context.state.budget,
    )
    running.addCallbacks(
        lambda connection: handle_opened(context, pool, connection),
        lambda reason: handle_connect_failure(context, pool, reason),
    )


def open_for_attempt(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    job: attempt_job.AttemptJob,
) -> None:
    """Open a connection for an attempt.

    If the pool is at its limit, the connection that has been idle longest
    is closed. Without an idle connection, the attempt waits for the next
    one to be released.
    """
    pool.waiting.append(job)
    limit = limit_for(context, pool)
    if pool.size() >= limit:
        pool.idle.close_oldest()
    if pool.size() < limit:
        open_connection(context, pool)


def handle_opened(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
) -> None:
    """Use a new connection for a waiting attempt, or keep it idle."""
    pool.opening -= 1
    if not connection.reusable:
        assign_waiting(context, pool)
        return
    release(context, pool, connection)


def handle_connect_failure(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    reason: failure.Failure,
) -> None:
    """Fail the first waiting attempt after a connection failed to open."""
    pool.opening -= 1
    context.runtime.resources.connections.outbound -= 1
    pool.warmed = False
    context.runtime.metrics.count('searchers.connections_failed')
    if not pool.waiting:
        return
    job = pool.waiting.popleft()
    detail = f'connect_{type(reason.value).__name__}'
    attempt_reports.report_not_sent(context, job, detail)
    assign_waiting(context, pool)


def release(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
) -> None:
    """Return a connection to its pool, or give it to a waiting attempt.

    The connection is closed if no attempt waits and its pool was dropped, or
    the searcher's failure domain is evacuated.
    """
    now_ms = context.runtime.clock.now_ms()
    connection.idle_since_ms = now_ms
    while pool.waiting and connection.is_usable(now_ms):
        job = pool.waiting.popleft()
        if not attempt_sending.send_attempt(context, pool, job, connection):
            continue
        assign_waiting(context, pool)
        return
    key = searchers_state.pool_key(pool.searcher)
    dropped = context.state.pools.get(key) is not pool
    if context.state.is_evacuated(pool.searcher):
        dropped = True
    if dropped and not pool.waiting:
        connection.close()
        return
    pool.idle.add(connection, now_ms)
    assign_waiting(context, pool)


def assign_waiting(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> None:
    """Assign idle connections to waiting attempts; open more if needed.

    An attempt gets no connection that has been idle for longer than it
    allows.
    """
    now_ms = context.runtime.clock.now_ms()
    while pool.waiting:
        max_idle_ms = pool.waiting[0].command.max_idle_ms
        found = pool.idle.checkout(now_ms, max_idle_ms)
        if found is None:
            break
        job = pool.waiting.popleft()
        if not attempt_sending.send_attempt(context, pool, job, found):
            pool.idle.put_back(found)
    if not pool.waiting:
        return
    wanted = len(pool.waiting) - pool.opening
    while wanted > 0 and pool.size() < limit_for(context, pool):
        wanted -= 1
        open_connection(context, pool)


def handle_reply(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
    reply: http_reply.HttpReply,
) -> None:
    """Report a complete response and release its connection."""
    job = pool.busy.pop(connection, None)
    if job is None:
        connection.close()
        return
    ended = attempt_codec.classify(context.names, job.command, reply)
    attempt_reports.report(context, job, ended)
    if ended.outcome == Outcome.LOST:
        attempt_reports.count_unusable(context, ended.detail)
    if ended.outcome in (Outcome.MISDIRECTED, Outcome.LOST):
        connection.reusable = False
    if ended.leaving or ended.retry_after_ms:
        now_ms = context.runtime.clock.now_ms()
        pool.leaving = pool.leaving or ended.leaving
        pool.closed_until_ms = now_ms + ended.retry_after_ms
        attempt_reports.reject_waiting(context, pool)
    if not connection.reusable:
        connection.close()
        assign_waiting(context, pool)
        return
    release(context, pool, connection)


def handle_connection_lost(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
    connection: client_connection.ClientConnection,
    reason: str,
) -> None:
    """Report the attempt in flight on a connection that was closed."""
    context.runtime.resources.connections.outbound -= 1
    pool.idle.discard(connection)
    if reason != client_connection.CLOSED:
        pool.warmed = False
    job = pool.busy.pop(connection, None)
    if job is not None:
        if reason not in client_connection.CLOSED_BY_SERVER:
            attempt_reports.count_unusable(context, reason)
        attempt_reports.report(
            context,
            job,
            Ended(job.command.attempt_id, Outcome.LOST, detail=reason),
        )
    assign_waiting(context, pool)
