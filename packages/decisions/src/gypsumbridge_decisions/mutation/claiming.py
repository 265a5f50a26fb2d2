"""Steps until the claim is held or refused."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import answer_kind
from gypsumbridge_decisions.mutation import answering
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import read_claim
from gypsumbridge_decisions.mutation import retry_later
from gypsumbridge_decisions.mutation import send_mutation
from gypsumbridge_decisions.mutation import settling
from gypsumbridge_decisions.mutation import stage as stages
from gypsumbridge_decisions.mutation import step
from gypsumbridge_decisions.mutation import timing as timings
from gypsumbridge_decisions.mutation import write_claim

STORE_UNAVAILABLE = 'store_unavailable'
DEADLINE = 'deadline'
CONFLICT = 'conflict'


def start_claim(run: claim_run.ClaimRun) -> step.Step:
    """Create the claim if the key is absent."""
    return _write_claim(run, 0)


def receive_claim_written(
    run: claim_run.ClaimRun,
    status: messages.StoreStatus,
    revision: int,
    timing: timings.Timing,
) -> step.Step:
    """Handle the store's reply to the claim write."""
    if status == messages.StoreStatus.OK:
        return _send_or_release(run, revision, timing)
    if status == messages.StoreStatus.CONFLICT:
        # Another request has claimed the key, unless the conflict is with an
        # own write whose reply was lost.
        first = run.first_attempt and run.maybe_written
        reading = dataclasses.replace(
            run, stage=stages.Stage.READING, first_attempt=first
        )
        return reading, [read_claim.ReadClaim()]
    if status == messages.StoreStatus.UNKNOWN:
        reading = dataclasses.replace(
            run, stage=stages.Stage.READING, maybe_written=True
        )
        return reading, [read_claim.ReadClaim()]
    return settling.refuse_and_settle(run, STORE_UNAVAILABLE, timing)


def receive_claim_read(
    run: claim_run.ClaimRun,
    status: messages.StoreStatus,
    found: messages.ClaimItem | None,
    timing: timings.Timing,
) -> step.Step:
    """Handle a read of the key: an own claim, another claim, or none.

    A write whose reply was lost is repeated if the key has not changed:
    both writes expect the same revision, so at most one of them applies.
    """
    if run.answered or timing != timings.Timing.IN_TIME:
        run, actions = answering.refuse(run, DEADLINE, timing)
        run, more = settling.settle_claim(run, status, found)
        return run, actions + more
    if status == messages.StoreStatus.NOT_FOUND:
        return _write_claim(run, 0)
    if status != messages.StoreStatus.OK or found is None:
        return settling.refuse_and_settle(run, STORE_UNAVAILABLE, timing)
    claim = found.claim
    if claim.nonce == run.claim.nonce:
        if claim.phase == messages.ClaimPhase.CLAIMED:
            return _send_or_release(run, found.revision, timing)
    else:
        # An earlier request exists, even if the caller stated otherwise.
        run = dataclasses.replace(run, first_attempt=False)
    return _handle_existing_claim(run, found)


def _handle_existing_claim(
    run: claim_run.ClaimRun, found: messages.ClaimItem
) -> step.Step:
    claim = found.claim
    ended = dataclasses.replace(run, stage=stages.Stage.ENDED)
    if claim.fingerprint != run.claim.fingerprint:
        return answering.answer(
            ended, answer_kind.AnswerKind.CONFLICT, CONFLICT
        )
    if claim.phase == messages.ClaimPhase.RELEASED:
        return _write_claim(run, found.revision)
    if claim.phase == messages.ClaimPhase.CLAIMED:
        waiting = dataclasses.replace(
            run, stage=stages.Stage.WAITING, maybe_written=False
        )
        return waiting, [retry_later.RetryLater()]
    return answering.answer(ended, answer_kind.AnswerKind.RECORDED, '', claim)


def _write_claim(run: claim_run.ClaimRun, expected_revision: int) -> step.Step:
    # A write that expected another revision can no longer apply.
    same = run.expected_revision == expected_revision
    claiming = dataclasses.replace(
        run,
        stage=stages.Stage.CLAIMING,
        expected_revision=expected_revision,
        maybe_written=run.maybe_written and same,
    )
    return claiming, [write_claim.WriteClaim(run.claim, expected_revision)]


def _send_or_release(
    run: claim_run.ClaimRun, revision: int, timing: timings.Timing
) -> step.Step:
    if run.answered or timing != timings.Timing.IN_TIME:
        run, actions = answering.refuse_held(run, DEADLINE, timing)
        run, more = settling.release(run, revision)
        return run, actions + more
    sent = dataclasses.replace(
        run,
        stage=stages.Stage.SENT,
        held_revision=revision,
        maybe_written=False,
    )
    return sent, [send_mutation.SendMutation()]
