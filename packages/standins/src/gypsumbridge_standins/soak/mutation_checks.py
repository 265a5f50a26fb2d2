"""Checks that a mutation runs at most once and is reported truthfully."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state


def check_execution(
    state: soak_state.SoakState, node_id: str, sent: messages.EndpointRequest
) -> None:
    """Count an execution of a key and note which mutation it was for."""
    key = sent.idempotency_key
    count = state.executions.get(key, 0) + 1
    state.executions[key] = count
    state.bodies[key] = sent.body
    reporting.note(state, f'{node_id} executes {key}')
    if count > 1:
        raise reporting.broken(state, f'{key} was executed {count} times')

    def resolve() -> None:
        mutation_id = state.calls[(node_id, sent.call_id)]
        state.executed.add(mutation_id)
        if mutation_id in state.denied:
            raise reporting.broken(
                state, f'{mutation_id} was executed after it said not_run'
            )

    # The owner's decision to send follows the request.
    state.replay.scheduler.after(0, resolve)


def check_result(
    state: soak_state.SoakState, mutation: messages.Mutation, result: Any
) -> None:
    """Check what a caller is told of a mutation."""
    mutation_id = mutation.mutation_id
    if isinstance(result, messages.MutationAnswer):
        check_outcome(state, mutation, result)
        return
    reporting.note(state, f'{mutation_id} {result.code} {result.run_state}')
    if result.run_state != messages.RunState.NOT_RUN:
        return
    state.denied.add(mutation_id)
    if mutation_id in state.executed:
        raise reporting.broken(
            state, f'{mutation_id} was executed and says not_run'
        )


def check_outcome(
    state: soak_state.SoakState,
    mutation: messages.Mutation,
    answer: messages.MutationAnswer,
) -> None:
    """Check an outcome against what the endpoints did."""
    state.mutations_answered += 1
    state.mutations_recorded += answer.recorded
    key, claim = answer.idempotency_key, answer.claim
    ran = claim.outcome == messages.ClaimOutcome.RAN
    if claim.outcome == messages.ClaimOutcome.UNKNOWN:
        raise reporting.broken(state, f'{key} is answered without an outcome')
    if ran != bool(state.executions.get(key)):
        raise reporting.broken(state, f'{key} is told as {claim.outcome}')
    if state.bodies.get(key, mutation.body) != mutation.body:
        raise reporting.broken(state, f'{key} ran for another request')
    told = (str(claim.outcome), claim.payload)
    if state.recorded.setdefault(key, told) != told:
        raise reporting.broken(state, f'{key} is told in two ways')
