"""The task that holds the connections to searchers."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import lending
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def start_searchers_task(runtime: runtimes.GatewayRuntime) -> None:
    """Send attempts to searchers and report how each one ended."""
    state = searchers_state.SearchersState()
    context = searchers_context.SearchersContext(
        runtime, state, runtime.adapter.headers
    )

    def change_routes(
        context: searchers_context.SearchersContext,
        news: forwarding.RoutesChanged,
    ) -> None:
        state.table = news.table
        warm(context)

    def change_nodes(
        context: searchers_context.SearchersContext,
        news: forwarding.FleetSizeChanged,
    ) -> None:
        state.nodes = news.nodes

    table: dict[type, Callable[..., None]] = {
        forwarding.SendAttempt: send,
        forwarding.CancelAttempt: cancel,
        forwarding.SearchersChanged: change,
        forwarding.RoutesChanged: change_routes,
        forwarding.FleetSizeChanged: change_nodes,
    }

    def handle(message: Any) -> None:
        table[type(message)](context, message)

    runtime.mailboxes.searchers.start(handle)


def send(
    context: searchers_context.SearchersContext, order: forwarding.SendAttempt
) -> None:
    """Send an attempt over an idle or a new connection."""
    now_ms = context.runtime.clock.now_ms()
    pool = lending.pool_for(context, order.searcher)
    job = attempt_job.AttemptJob(order, now_ms)
    context.state.jobs[order.attempt_id] = job
    found = pool.idle.take(now_ms, order.max_idle_ms)
    if found is not None:
        lending.transmit(context, pool, job, found)
        return
    lending.open_for(context, pool, job)


def cancel(
    context: searchers_context.SearchersContext,
    order: forwarding.CancelAttempt,
) -> None:
    """Discard an attempt's response, at once or after a while."""
    job = context.state.jobs.get(order.attempt_id)
    if job is None or job.linger is not None:
        return
    if order.grace_ms:
        job.linger = context.runtime.reactor.callLater(
            order.grace_ms / 1000, give_up, context, job
        )
        return
    del context.state.jobs[order.attempt_id]
    detach(context, job)


def give_up(
    context: searchers_context.SearchersContext, job: attempt_job.AttemptJob
) -> None:
    """End an attempt that did not end in the time it was left."""
    job.linger = None
    sent = job.connection is not None
    detach(context, job)
    outcome = Outcome.LOST if sent else Outcome.NOT_SENT
    lending.report(
        context, job, Ended(job.order.attempt_id, outcome, detail='silent')
    )


def detach(
    context: searchers_context.SearchersContext, job: attempt_job.AttemptJob
) -> None:
    """Take an attempt off its pool; a connection in use is closed."""
    pool = lending.pool_for(context, job.order.searcher)
    if job.connection is None:
        pool.waiting.remove(job)
        return
    pool.busy.pop(job.connection, None)
    job.connection.close()
    lending.serve_waiting(context, pool)


def change(
    context: searchers_context.SearchersContext,
    news: forwarding.SearchersChanged,
) -> None:
    """Drop pools of searchers that left and warm up new ones."""
    known = {
        searchers_state.pool_key(found): found for found in news.searchers
    }
    for key in context.state.pools.keys() - known.keys():
        pool = context.state.pools[key]
        if pool.busy or pool.waiting:
            continue
        del context.state.pools[key]
        pool.idle.close_all()
    for found in news.searchers:
        if not found.draining:
            lending.pool_for(context, found)
    warm(context)


def warm(context: searchers_context.SearchersContext) -> None:
    """Open one connection to each searcher that is kept warm."""
    state = context.state
    if state.table is None:
        return
    own_domain = context.runtime.settings.node.failure_domain
    for pool in list(state.pools.values()):
        if pool.size():
            continue
        if forwarding.is_kept_warm(
            pool.searcher, state.table, state.nodes, own_domain
        ):
            lending.open_connection(context, pool)
