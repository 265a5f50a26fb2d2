"""One request's pass through the claim protocol."""

import dataclasses

from gypsumbridge_decisions import messages
from gypsumbridge_decisions.mutation import stage as stages


@dataclasses.dataclass(frozen=True)
class ClaimRun:
    """The protocol's whole state at the node that received a request.

    `claim` is what the run writes next. `expected_revision` is the key's
    revision that the last claim write was conditional on; `held_revision`
    that of the claim which the outcome or the release replaces.
    `maybe_written` says that a claim write may have been applied, now or
    later, without a reply. `answered` says that the caller has its answer;
    nothing is sent after that.
    """

    claim: messages.Claim
    first_attempt: bool
    stage: stages.Stage = stages.Stage.CLAIMING
    expected_revision: int = 0
    held_revision: int = 0
    maybe_written: bool = False
    answered: bool = False
