"""Steps after the mutation has been sent."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import answer_kind
from gypsumbridge_decisions.mutation import answering
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import read_claim
from gypsumbridge_decisions.mutation import retry_later
from gypsumbridge_decisions.mutation import settling
from gypsumbridge_decisions.mutation import stage as stages
from gypsumbridge_decisions.mutation import step
from gypsumbridge_decisions.mutation import timing as timings
from gypsumbridge_decisions.mutation import write_claim

# A claim is kept for every key until the key expires, so payloads are limited:
# 4.3 million claims take at most 4 GB in the store.
MAX_RECORDED_PAYLOAD_BYTES = 1024
_FINAL_STATUSES = (messages.StoreStatus.OK, messages.StoreStatus.REJECTED)


def receive_result(
    run: claim_run.ClaimRun,
    outcome: messages.PartOutcome,
    reason: str,
    payload: bytes,
    timing: timings.Timing,
) -> step.Step:
    """Answer the caller, then record the outcome or release the claim.

    The answer precedes the release, so that no other request can run with
    the key before this caller receives not_run. A failure with unknown
    effect leaves the claim unchanged.
    """
    if run.stage != stages.Stage.SENT:
        return run, []
    if outcome == messages.PartOutcome.COVERED:
        return _record(run, payload)
    if outcome == messages.PartOutcome.NOT_RUN:
        run, actions = answering.refuse_held(run, reason, timing)
        run, more = settling.release(run, run.held_revision)
        return run, actions + more
    ended = dataclasses.replace(run, stage=stages.Stage.ENDED)
    return answering.answer(
        ended, answer_kind.AnswerKind.OUTCOME_UNKNOWN, reason
    )


def receive_record_written(
    run: claim_run.ClaimRun, status: messages.StoreStatus
) -> step.Step:
    """Retry the write of an outcome or a release until the store applies it.

    A conflict means that an operator's write or an earlier write with a
    lost reply was applied first. A release then reads the key again, since
    that write may be this run's own claim, applied late.
    """
    ended = dataclasses.replace(run, stage=stages.Stage.ENDED)
    if status in _FINAL_STATUSES:
        return ended, []
    if status == messages.StoreStatus.CONFLICT:
        if run.stage == stages.Stage.RECORDING:
            return ended, []
        unsettled = dataclasses.replace(run, stage=stages.Stage.SETTLING)
        return unsettled, [read_claim.ReadClaim()]
    return run, [retry_later.RetryLater()]


def resume(run: claim_run.ClaimRun) -> step.Step:
    """Continue after the delay of `RetryLater`."""
    if run.stage == stages.Stage.WAITING:
        reading = dataclasses.replace(run, stage=stages.Stage.READING)
        return reading, [read_claim.ReadClaim()]
    if run.stage == stages.Stage.SETTLING:
        return run, [read_claim.ReadClaim()]
    if run.stage in (stages.Stage.RECORDING, stages.Stage.RELEASING):
        write = write_claim.WriteClaim(run.claim, run.held_revision)
        return run, [write]
    return run, []


def handle_deadline(
    run: claim_run.ClaimRun, code: str, timing: timings.Timing
) -> step.Step:
    """Answer the caller at its deadline.

    The mutation is not sent after that.
    """
    if run.stage == stages.Stage.SENT:
        return answering.answer(
            run, answer_kind.AnswerKind.OUTCOME_UNKNOWN, code
        )
    waiting = run.stage == stages.Stage.WAITING
    run, actions = answering.refuse(run, code, timing)
    if waiting:
        run = dataclasses.replace(run, stage=stages.Stage.ENDED)
    return run, actions


def _record(run: claim_run.ClaimRun, payload: bytes) -> step.Step:
    omitted = len(payload) > MAX_RECORDED_PAYLOAD_BYTES
    done = dataclasses.replace(
        run.claim,
        phase=messages.ClaimPhase.DONE,
        outcome=messages.ClaimOutcome.RAN,
        payload=b'' if omitted else payload,
        payload_omitted=omitted,
    )
    complete = dataclasses.replace(
        done, payload=payload, payload_omitted=False
    )
    run, actions = answering.answer(
        run, answer_kind.AnswerKind.RAN, '', complete
    )
    recording = dataclasses.replace(
        run, stage=stages.Stage.RECORDING, claim=done
    )
    write = write_claim.WriteClaim(done, run.held_revision)
    return recording, [*actions, write]
