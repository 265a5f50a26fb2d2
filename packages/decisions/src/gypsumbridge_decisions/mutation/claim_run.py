"""One request's pass through the claim protocol."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import stage as stages


@dataclasses.dataclass(frozen=True)
class ClaimRun:
    """The complete protocol state at the node that received a request.

    `claim` is the value of the next write. `expected_revision` is the
    revision of the key on which the last claim write was conditional;
    `held_revision` is that of the claim which the outcome or the release
    replaces. `maybe_written` means that a claim write without a reply may
    have been applied, or may still be. Once `answered`, the caller has its
    answer and the mutation is not sent any more.
    """

    claim: messages.Claim
    first_attempt: bool
    stage: stages.Stage = stages.Stage.CLAIMING
    expected_revision: int = 0
    held_revision: int = 0
    maybe_written: bool = False
    answered: bool = False
