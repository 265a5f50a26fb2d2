"""Steps that undo a claim whose mutation was not sent."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import answering
from gypsumbridge_decisions.mutation import claim_run
from gypsumbridge_decisions.mutation import retry_later
from gypsumbridge_decisions.mutation import stage as stages
from gypsumbridge_decisions.mutation import step
from gypsumbridge_decisions.mutation import timing as timings
from gypsumbridge_decisions.mutation import write_claim


def refuse_and_settle(
    run: claim_run.ClaimRun, code: str, timing: timings.Timing
) -> step.Step:
    """Refuse the request, and check later whether a claim write applied."""
    run, actions = answering.refuse(run, code, timing)
    if not run.maybe_written:
        return dataclasses.replace(run, stage=stages.Stage.ENDED), actions
    settling = dataclasses.replace(run, stage=stages.Stage.SETTLING)
    return settling, [*actions, retry_later.RetryLater()]


def release(run: claim_run.ClaimRun, revision: int) -> step.Step:
    """Replace the key's value at a revision by the released claim."""
    released = dataclasses.replace(
        run.claim, phase=messages.ClaimPhase.RELEASED
    )
    releasing = dataclasses.replace(
        run,
        stage=stages.Stage.RELEASING,
        claim=released,
        held_revision=revision,
        maybe_written=True,
    )
    return releasing, [write_claim.WriteClaim(released, revision)]


def settle_claim(
    run: claim_run.ClaimRun,
    status: messages.StoreStatus,
    found: messages.ClaimItem | None,
) -> step.Step:
    """Release the own claim, or prevent its write from applying later.

    While the key still has the revision that the lost write expects, that
    write may still be applied; writing a released claim prevents it.
    """
    ended = dataclasses.replace(run, stage=stages.Stage.ENDED)
    if not run.maybe_written:
        return ended, []
    if status == messages.StoreStatus.NOT_FOUND:
        if run.expected_revision == 0:
            return release(run, 0)
        return ended, []
    if status != messages.StoreStatus.OK or found is None:
        settling = dataclasses.replace(run, stage=stages.Stage.SETTLING)
        return settling, [retry_later.RetryLater()]
    phase = found.claim.phase
    if found.claim.nonce == run.claim.nonce:
        if phase == messages.ClaimPhase.CLAIMED:
            return release(run, found.revision)
        return ended, []
    if phase == messages.ClaimPhase.RELEASED:
        if found.revision == run.expected_revision:
            return release(run, found.revision)
    return ended, []
