"""The result of one shard call."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason
from gypsumbridge_decisions.messages import part_outcome


@dataclasses.dataclass(frozen=True)
class Part:
    """One shard's result, from an owner to a front.

    `payload` is the endpoint's JSON reply; it is empty unless the shard is
    covered. `attempts` counts the requests that endpoints received for it.
    """

    shard: str
    version: str
    outcome: part_outcome.PartOutcome
    reason: missing_reason.MissingReason
    payload: bytes
    endpoint: str
    attempts: int
