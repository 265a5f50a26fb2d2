"""Translates actions of the claim protocol into the task's commands."""

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

FIRST_RETRY_DELAY_MS = 50
# Limits the load on a store that recovers from an outage: 1,000 runs at 10 s
# cause at most 100 reads a second from one node.
MAX_RETRY_DELAY_MS = 10_000

_REMEDIES = {
    messages.RunState.NOT_RUN: 'send the request again with the same key',
    messages.RunState.OUTCOME_UNKNOWN: (
        'look the key up; if it stays claimed, ask an operator to resolve it'
    ),
}


def apply_step(
    state: states.MutationState,
    running: running_mutation.RunningMutation,
    result: step.Step,
    now_ms: int,
) -> list[command.Command]:
    """Store the new state of a run and return the commands of its actions."""
    run, actions = result
    running.run = run
    commands: list[command.Command] = []
    for action in actions:
        commands += _make_commands(state, running, action, now_ms)
    if run.stage == stage.Stage.ENDED:
        state.running.pop(running.mutation.mutation_id, None)
    return commands


def refuse_unclaimed(
    state: states.MutationState, mutation: messages.Mutation, code: str
) -> list[command.Command]:
    """Refuse a mutation that was neither claimed nor sent."""
    run_state = messages.RunState.OUTCOME_UNKNOWN
    if mutation.first_attempt:
        run_state = messages.RunState.NOT_RUN
    refusal = _make_refusal(state, mutation, code, run_state)
    return [refusal, messages.Count(f'mutation.refused.{code}')]


def _make_commands(
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
            delay_ms = min(
                FIRST_RETRY_DELAY_MS << running.retry_count, MAX_RETRY_DELAY_MS
            )
            running.retry_count = min(running.retry_count + 1, 16)
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
        # Ownership may have changed since the claim was started.
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
    action: answer_caller.AnswerCaller,
) -> list[command.Command]:
    mutation = running.mutation
    count = messages.Count(f'mutation.answered.{action.kind}')
    if action.claim is not None:
        answer = messages.MutationAnswer(
            mutation_id=mutation.mutation_id,
            request_id=mutation.request_id,
            idempotency_key=mutation.idempotency_key,
            recorded=action.kind == answer_kind.AnswerKind.RECORDED,
            claim=action.claim,
        )
        return [answer, count]
    run_state = messages.RunState.OUTCOME_UNKNOWN
    if action.kind == answer_kind.AnswerKind.NOT_RUN:
        run_state = messages.RunState.NOT_RUN
    refusal = _make_refusal(state, mutation, action.code, run_state)
    if action.kind == answer_kind.AnswerKind.CONFLICT:
        refusal = dataclasses.replace(
            refusal,
            message='the idempotency key belongs to another request',
            remedy='use a new key for a new request',
        )
    decision = messages.Decision(
        'refuse_mutation',
        action.code,
        {
            'mutation': mutation.mutation_id,
            'key': mutation.idempotency_key,
            'run_state': str(run_state),
        },
    )
    return [refusal, decision, count]


def _make_refusal(
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
