"""Dispatches messages to the decisions of the mutation task."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import arrival
from gypsumbridge_decisions.mutation import claiming
from gypsumbridge_decisions.mutation import command
from gypsumbridge_decisions.mutation import completing
from gypsumbridge_decisions.mutation import execution
from gypsumbridge_decisions.mutation import lookups
from gypsumbridge_decisions.mutation import mutation_timer
from gypsumbridge_decisions.mutation import running_mutation
from gypsumbridge_decisions.mutation import settling
from gypsumbridge_decisions.mutation import stage as stages
from gypsumbridge_decisions.mutation import state as states
from gypsumbridge_decisions.mutation import step
from gypsumbridge_decisions.mutation import sweep_timer
from gypsumbridge_decisions.mutation import sweeping
from gypsumbridge_decisions.mutation import timer_kind
from gypsumbridge_decisions.mutation import timing as timings


def handle(
    state: states.MutationState, message: Any, now_ms: int, wall_ms: int
) -> list[command.Command]:
    """Handle a message and return the resulting commands."""
    match message:
        case messages.Mutation():
            return arrival.receive_mutation(state, message, now_ms, wall_ms)
        case messages.ClaimReply():
            return _receive_reply(state, message, now_ms, wall_ms)
        case messages.MutationResult():
            return _receive_result(state, message, now_ms, wall_ms)
        case mutation_timer.MutationTimer():
            return _handle_timer(state, message, now_ms, wall_ms)
        case messages.MutationLookup() | messages.MutationResolve():
            return lookups.start_lookup(state, message)
        case sweep_timer.SweepTimer():
            return sweeping.sweep(state, wall_ms)
        case messages.CatalogChanged():
            state.catalog = message.catalog
        case messages.MembersChanged():
            state.ownership.replace_members(message.members)
        case messages.ServingChanged():
            state.serving = message
        case _:
            raise TypeError(
                f'unexpected message for mutation: {type(message).__name__}'
            )
    return []


def receive_store_reply(
    run: Any, reply: messages.ClaimReply, timing: timings.Timing
) -> step.Step:
    """Handle the store's reply to the pending call of a run."""
    found = reply.items[0] if reply.items else None
    match run.stage:
        case stages.Stage.CLAIMING:
            return claiming.receive_claim_written(
                run, reply.status, reply.revision, timing
            )
        case stages.Stage.READING:
            return claiming.receive_claim_read(
                run, reply.status, found, timing
            )
        case stages.Stage.SETTLING:
            return settling.settle_claim(run, reply.status, found)
        case stages.Stage.RECORDING | stages.Stage.RELEASING:
            return completing.receive_record_written(run, reply.status)
    return run, []


def _receive_reply(
    state: states.MutationState,
    reply: messages.ClaimReply,
    now_ms: int,
    wall_ms: int,
) -> list[command.Command]:
    if reply.token == sweeping.LIST_TOKEN:
        return sweeping.receive_list(state, reply, wall_ms)
    pending = state.pending_lookups.get(reply.token)
    if pending is not None:
        return lookups.receive_reply(state, pending, reply, wall_ms)
    running = state.running.get(reply.token)
    if running is None:
        return []
    timing = running.timing(now_ms, wall_ms)
    result = receive_store_reply(running.run, reply, timing)
    return execution.apply_step(state, running, result, now_ms)


def _receive_result(
    state: states.MutationState,
    result: messages.MutationResult,
    now_ms: int,
    wall_ms: int,
) -> list[command.Command]:
    running = state.running.get(result.mutation_id)
    if running is None:
        return [messages.Count('mutation.results.late')]
    completed = completing.receive_result(
        running.run,
        result.outcome,
        str(result.reason),
        result.payload,
        running.timing(now_ms, wall_ms),
    )
    return execution.apply_step(state, running, completed, now_ms)


def _handle_timer(
    state: states.MutationState,
    timer: mutation_timer.MutationTimer,
    now_ms: int,
    wall_ms: int,
) -> list[command.Command]:
    running = state.running.get(timer.mutation_id)
    if running is None:
        return []
    if timer.kind == timer_kind.TimerKind.DROP:
        return _drop(state, running)
    if timer.kind == timer_kind.TimerKind.RESUME:
        result = completing.resume(running.run)
    else:
        timing = running.timing(now_ms, wall_ms)
        result = completing.handle_deadline(
            running.run, claiming.DEADLINE, timing
        )
    return execution.apply_step(state, running, result, now_ms)


def _drop(
    state: states.MutationState, running: running_mutation.RunningMutation
) -> list[command.Command]:
    """Remove a sent mutation whose result never arrived.

    Its claim remains for an operator to resolve. Runs with a pending write
    continue.
    """
    if running.run.stage != stages.Stage.SENT:
        return []
    del state.running[running.mutation.mutation_id]
    return [messages.Count('mutation.results.missing')]
