"""Checks that a mutation runs at most once and is reported correctly."""

from typing import Any

from gypsumbridge_decisions import messages
from gypsumbridge_standins.soak import reporting
from gypsumbridge_standins.soak import soak_state


def check_execution(
    state: soak_state.SoakState, node_id: str, sent: messages.EndpointRequest
) -> None:
    """Count an execution of a key and record the mutation it was for."""
    key = sent.idempotency_key
    count = state.execution_counts.get(key, 0) + 1
    state.execution_counts[key] = count
    state.executed_bodies[key] = sent.body
    reporting.add_to_digest(state, f'{node_id} executes {key}')
    if count > 1:
        raise reporting.violation(state, f'{key} was executed {count} times')

    def resolve() -> None:
        mutation_id = state.query_by_call[(node_id, sent.call_id)]
        state.executed_mutations.add(mutation_id)
        if mutation_id in state.reported_not_run:
            raise reporting.violation(
                state, f'{mutation_id} was executed after a not_run report'
            )

    # The decision that maps the call to its mutation is handled after the
    # request.
    state.replay.scheduler.after(0, resolve)


def check_result(
    state: soak_state.SoakState, mutation: messages.Mutation, result: Any
) -> None:
    """Check the answer or refusal of a mutation."""
    mutation_id = mutation.mutation_id
    if isinstance(result, messages.MutationAnswer):
        check_outcome(state, mutation, result)
        return
    reporting.add_to_digest(
        state, f'{mutation_id} {result.code} {result.run_state}'
    )
    if result.run_state != messages.RunState.NOT_RUN:
        return
    state.reported_not_run.add(mutation_id)
    if mutation_id in state.executed_mutations:
        raise reporting.violation(
            state, f'{mutation_id} was executed but reported as not_run'
        )


def check_outcome(
    state: soak_state.SoakState,
    mutation: messages.Mutation,
    answer: messages.MutationAnswer,
) -> None:
    """Check a reported outcome against the endpoints' executions."""
    state.mutations_answered += 1
    state.mutations_recorded += answer.recorded
    key, claim = answer.idempotency_key, answer.claim
    ran = claim.outcome == messages.ClaimOutcome.RAN
    if claim.outcome == messages.ClaimOutcome.UNKNOWN:
        raise reporting.violation(
            state, f'{key} is answered without an outcome'
        )
    if ran != bool(state.execution_counts.get(key)):
        raise reporting.violation(
            state, f'{key} is reported as {claim.outcome}'
        )
    if state.executed_bodies.get(key, mutation.body) != mutation.body:
        raise reporting.violation(state, f'{key} ran for another request')
    reported = (str(claim.outcome), claim.payload)
    if state.reported_outcomes.setdefault(key, reported) != reported:
        raise reporting.violation(
            state, f'{key} is reported with two outcomes'
        )
