"""The owner's result of a mutation."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason
from gypsumbridge_decisions.messages import part_outcome


@dataclasses.dataclass(frozen=True)
class MutationResult:
    """The outcome of a mutation at the owner.

    `outcome` is not_run only if no byte of the request left the owner, or
    if the endpoint reported that it did not run the request.
    """

    sender: str
    mutation_id: str
    outcome: part_outcome.PartOutcome
    reason: missing_reason.MissingReason
    payload: bytes
    endpoint: str
