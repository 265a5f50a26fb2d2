"""Turns the actions of the claim protocol into the task's commands."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import answer_caller
from gypsumbridge_decisions.mutation import answer_kind
from gypsumbridge_decisions.mutation import command
from gypsumbridge_decisions.mutation import mutation_timer
from gypsumbridge_decisions.mutation import read_claim
from gypsumbridge_decisions.mutation import retry_later
from gypsumbridge_decisions.mutation import running_mutation
from gypsumbridge_decisions.mutation import send_mutation
from gypsumbridge_decisions.mutation import stage
from gypsumbridge_decisions.mutation import state as states
from gypsumbridge_decisions.mutation import step
from gypsumbridge_decisions.mutation import timer_kind
from gypsumbridge_decisions.mutation import write_claim

FIRST_DELAY_MS = 50
# Bounds the calls on a store that comes back: 1,000 runs at 10 s are at
# most 100 reads a second from one node.
MAX_DELAY_MS = 10_000

_REMEDIES = {
    messages.RunState.NOT_RUN: 'send the request again with the same key',
    messages.RunState.OUTCOME_UNKNOWN: (
        'look the key up; if it stays claimed, ask an operator to resolve it'
    ),
}


def perform(
    state: states.MutationState,
    running: running_mutation.RunningMutation,
    result: step.Step,
    now_ms: int,
) -> list[command.Command]:
    """Keep the new state of a run and return its commands."""
    run, actions = result
    running.run = run
    commands: list[command.Command] = []
    for action in actions:
        commands += _command(state, running, action, now_ms)
    if run.stage == stage.Stage.ENDED:
        state.running.pop(running.mutation.mutation_id, None)
    return commands


def refuse_unclaimed(
    state: states.MutationState, mutation: messages.Mutation, code: str
) -> list[command.Command]:
    """Refuse a mutation for which nothing was written or sent."""
    run_state = messages.RunState.OUTCOME_UNKNOWN
    if mutation.first_attempt:
        run_state = messages.RunState.NOT_RUN
    refusal = _refusal(state, mutation, code, run_state)
    return [refusal, messages.Count(f'mutation.refused.{code}')]


def _command(
    state: states.MutationState,
    running: running_mutation.RunningMutation,
    action: step.Action,
    now_ms: int,
) -> list[command.Command]:
    mutation = running.mutation
    match action:
        case write_claim.WriteClaim():
            return [
                messages.ClaimCall(
                    mutation.mutation_id,
                    messages.StoreOperation.WRITE,
                    mutation.idempotency_key,
                    action.claim,
                    action.expected_revision,
                )
            ]
        case read_claim.ReadClaim():
            return [
                messages.ClaimCall(
                    mutation.mutation_id,
                    messages.StoreOperation.READ,
                    mutation.idempotency_key,
                )
            ]
        case send_mutation.SendMutation():
            return _send(state, running, now_ms)
        case retry_later.RetryLater():
            delay_ms = min(FIRST_DELAY_MS << running.delays, MAX_DELAY_MS)
            running.delays = min(running.delays + 1, 16)
            event = mutation_timer.MutationTimer(
                mutation.mutation_id, timer_kind.TimerKind.RESUME
            )
            return [messages.Timer(delay_ms, event)]
        case answer_caller.AnswerCaller():
            return _answer(state, running, action)


def _send(
    state: states.MutationState,
    running: running_mutation.RunningMutation,
    now_ms: int,
) -> list[command.Command]:
    mutation = running.mutation
    service = state.catalog.services.get(mutation.service)
    if service is not None:
        # Ownership may have moved while the claim was under way.
        found = state.ownership.find(service, running.replica_set).owner
        running.owner = found or running.owner
    call = messages.MutationCall(
        sender=state.node_id,
        mutation_id=mutation.mutation_id,
        idempotency_key=mutation.idempotency_key,
        service=mutation.service,
        version=running.version,
        shard=mutation.shard,
        replica_set=running.replica_set,
        rank=mutation.rank,
        caller=mutation.caller,
        remaining_ms=running.deadline_at_ms - now_ms,
        body=mutation.body,
    )
    decision = messages.Decision(
        'send_mutation',
        'claimed',
        {
            'mutation': mutation.mutation_id,
            'key': mutation.idempotency_key,
            'owner': running.owner,
        },
    )
    return [messages.ToPeer(running.owner, call), decision]


def _answer(
    state: states.MutationState,
    running: running_mutation.RunningMutation,
    told: answer_caller.AnswerCaller,
) -> list[command.Command]:
    mutation = running.mutation
    count = messages.Count(f'mutation.answered.{told.kind}')
    if told.claim is not None:
        answer = messages.MutationAnswer(
            mutation_id=mutation.mutation_id,
            request_id=mutation.request_id,
            idempotency_key=mutation.idempotency_key,
            recorded=told.kind == answer_kind.AnswerKind.RECORDED,
            claim=told.claim,
        )
        return [answer, count]
    run_state = messages.RunState.OUTCOME_UNKNOWN
    if told.kind == answer_kind.AnswerKind.NOT_RUN:
        run_state = messages.RunState.NOT_RUN
    refusal = _refusal(state, mutation, told.code, run_state)
    if told.kind == answer_kind.AnswerKind.CONFLICT:
        refusal = dataclasses.replace(
            refusal,
            message='the idempotency key belongs to another request',
            remedy='use a new key for a new request',
        )
    decision = messages.Decision(
        'refuse_mutation',
        told.code,
        {
            'mutation': mutation.mutation_id,
            'key': mutation.idempotency_key,
            'run_state': str(run_state),
        },
    )
    return [refusal, decision, count]


def _refusal(
    state: states.MutationState,
    mutation: messages.Mutation,
    code: str,
    run_state: messages.RunState,
) -> messages.Refusal:
    return messages.Refusal(
        query_id=mutation.mutation_id,
        request_id=mutation.request_id,
        code=code,
        run_state=run_state,
        message=f'node {state.node_id} did not complete the mutation: {code}',
        remedy=_REMEDIES[run_state],
        idempotency_key=mutation.idempotency_key,
    )
