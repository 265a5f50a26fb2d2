"""The task that owns the connections to searchers."""

from collections.abc import Callable
from typing import Any

from gypsumbridge_decisions import forwarding
from gypsumbridge_node.gateway import attempt_job
from gypsumbridge_node.gateway import attempt_reports
from gypsumbridge_node.gateway import attempt_sending
from gypsumbridge_node.gateway import pool_checkout
from gypsumbridge_node.gateway import runtime as runtimes
from gypsumbridge_node.gateway import searcher_pool
from gypsumbridge_node.gateway import searchers_context
from gypsumbridge_node.gateway import searchers_state

Outcome = forwarding.AttemptOutcome
Ended = forwarding.AttemptEnded


def start_searchers_task(runtime: runtimes.GatewayRuntime) -> None:
    """Send attempts to searchers and report their results."""
    state = searchers_state.SearchersState(
        runtime.settings.node.node_id,
        runtime.resources.budget,
        runtime.settings.admission.control_load,
    )
    context = searchers_context.SearchersContext(
        runtime, state, runtime.adapter.headers
    )

    def change_routes(
        context: searchers_context.SearchersContext,
        update: forwarding.RoutesChanged,
    ) -> None:
        state.table = update.table
        state.refresh_coordinators()
        warm_up(context)

    def change_fleet_size(
        context: searchers_context.SearchersContext,
        update: forwarding.FleetSizeChanged,
    ) -> None:
        state.nodes = update.nodes

    def change_nodes(
        context: searchers_context.SearchersContext,
        update: forwarding.NodesChanged,
    ) -> None:
        state.coordination.nodes = update.nodes
        state.refresh_coordinators()
        warm_up(context)

    handlers: dict[type, Callable[..., None]] = {
        forwarding.SendAttempt: send,
        forwarding.CancelAttempt: cancel,
        forwarding.SearchersChanged: update_searchers,
        forwarding.EvacuationChanged: change_evacuation,
        forwarding.RoutesChanged: change_routes,
        forwarding.FleetSizeChanged: change_fleet_size,
        forwarding.NodesChanged: change_nodes,
    }

    def handle(message: Any) -> None:
        handlers[type(message)](context, message)

    runtime.mailboxes.searchers.start(handle)


def send(
    context: searchers_context.SearchersContext,
    command: forwarding.SendAttempt,
) -> None:
    """Send an attempt over an idle or a new connection."""
    now_ms = context.runtime.clock.now_ms()
    pool = pool_checkout.pool_for(context, command.searcher)
    job = attempt_job.AttemptJob(command, now_ms)
    context.state.jobs[command.attempt_id] = job
    if context.state.is_evacuated(command.searcher):
        # It was chosen before the evacuation was known.
        attempt_reports.report_not_sent(context, job, forwarding.EVACUATED)
        return
    found = pool.idle.checkout(now_ms, command.max_idle_ms)
    if found is not None:
        if not attempt_sending.send_attempt(context, pool, job, found):
            pool.idle.put_back(found)
        return
    pool_checkout.open_for_attempt(context, pool, job)


def cancel(
    context: searchers_context.SearchersContext,
    command: forwarding.CancelAttempt,
) -> None:
    """Cancel an attempt, at once or after a grace period."""
    job = context.state.jobs.get(command.attempt_id)
    if job is None or job.grace_timer is not None:
        return
    if command.grace_ms:
        job.grace_timer = context.runtime.reactor.callLater(
            command.grace_ms / 1000, expire_cancelled, context, job
        )
        return
    del context.state.jobs[command.attempt_id]
    detach(context, job)


def expire_cancelled(
    context: searchers_context.SearchersContext, job: attempt_job.AttemptJob
) -> None:
    """End a cancelled attempt that did not end within its grace period."""
    job.grace_timer = None
    sent = job.connection is not None
    detach(context, job)
    outcome = Outcome.LOST if sent else Outcome.NOT_SENT
    attempt_reports.report(
        context, job, Ended(job.command.attempt_id, outcome, detail='silent')
    )


def detach(
    context: searchers_context.SearchersContext, job: attempt_job.AttemptJob
) -> None:
    """Remove an attempt from its pool, closing the connection in use."""
    pool = pool_checkout.pool_for(context, job.command.searcher)
    if job.connection is None:
        pool.waiting.remove(job)
        return
    pool.busy.pop(job.connection, None)
    job.connection.close()
    pool_checkout.assign_waiting(context, pool)


def update_searchers(
    context: searchers_context.SearchersContext,
    update: forwarding.SearchersChanged,
) -> None:
    """Drop unused pools of removed searchers, and warm up new ones.

    Attempts that wait for a connection to a searcher that is draining or
    gone are sent to other searchers.
    """
    current = {
        searchers_state.pool_key(found): found for found in update.searchers
    }
    for key in context.state.pools.keys() - current.keys():
        pool = context.state.pools[key]
        attempt_reports.reject_waiting(context, pool)
        if pool.busy:
            continue
        del context.state.pools[key]
        pool.idle.close_all()
    context.state.searchers = {}
    for found in update.searchers:
        context.state.searchers.setdefault(found.service, []).append(found)
    context.state.refresh_coordinators()
    for found in update.searchers:
        if not found.draining:
            pool = pool_checkout.pool_for(context, found)
            pool.searcher = found
            if context.state.is_evacuated(found):
                leave(context, pool)
            continue
        draining = context.state.pools.get(searchers_state.pool_key(found))
        if draining is not None:
            attempt_reports.reject_waiting(context, draining)
    warm_up(context)


def change_evacuation(
    context: searchers_context.SearchersContext,
    update: forwarding.EvacuationChanged,
) -> None:
    """Leave the evacuated failure domains, and warm up the others."""
    state = context.state
    state.coordination.evacuated = update.failure_domains
    state.refresh_coordinators()
    for pool in list(state.pools.values()):
        if state.is_evacuated(pool.searcher):
            leave(context, pool)
    warm_up(context)


def leave(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> None:
    """Send nothing more to the searcher of an evacuated failure domain.

    Attempts in flight end by themselves; those that wait for a connection
    are sent to other searchers.
    """
    attempt_reports.reject_waiting(context, pool, forwarding.EVACUATED)
    pool.idle.close_all()
    # A connection may be opened in advance again after the evacuation.
    pool.warmed = False


def warm_up(context: searchers_context.SearchersContext) -> None:
    """Open a connection to each searcher kept warm that has none.

    One that was opened in advance and closed as idle before it was used is
    not opened again. The idle connections of services that only coordinators
    gather from are closed on other nodes, since they count against the
    searchers' limits.
    """
    state = context.state
    if state.table is None:
        return
    own_domain = context.runtime.settings.node.failure_domain
    for pool in list(state.pools.values()):
        plan = state.coordination.plan_for(pool.searcher.service)
        if not plan.gathers_itself:
            pool.idle.close_all()
            continue
        if pool.size() or pool.warmed:
            continue
        if not forwarding.is_kept_warm(
            pool.searcher,
            state.table,
            state.nodes,
            own_domain,
            plan,
        ):
            continue
        pool.warmed = True
        delay_ms = forwarding.warm_up_delay_ms(
            context.runtime.settings.node.node_id,
            pool.searcher.searcher_id,
            plan.count() if plan.is_shared else state.nodes,
        )
        context.runtime.reactor.callLater(
            delay_ms / 1000, open_in_advance, context, pool
        )


def open_in_advance(
    context: searchers_context.SearchersContext,
    pool: searcher_pool.SearcherPool,
) -> None:
    """Open a connection unless the pool has one, or is not wanted now."""
    key = searchers_state.pool_key(pool.searcher)
    if context.state.pools.get(key) is not pool or pool.size():
        return
    plan = context.state.coordination.plan_for(pool.searcher.service)
    if not plan.gathers_itself:
        return
    if pool.is_closed(context.runtime.clock.now_ms()):
        return
    if context.state.is_evacuated(pool.searcher):
        pool.warmed = False
        return
    pool_checkout.open_connection(context, pool)
