"""The owner's report on a mutation."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason
from gypsumbridge_decisions.messages import part_outcome


@dataclasses.dataclass(frozen=True)
class MutationResult:
    """How a mutation ended.

    `outcome` is not_run only when no byte of the request left the owner
    or the endpoint itself said that it did not run it.
    """

    sender: str
    mutation_id: str
    outcome: part_outcome.PartOutcome
    reason: missing_reason.MissingReason
    payload: bytes
    endpoint: str
