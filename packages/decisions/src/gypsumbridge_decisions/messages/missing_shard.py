"""A shard that an answer does not cover."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason


@dataclasses.dataclass(frozen=True)
class MissingShard:
    """A shard of the pinned shard map without a result, and why."""

    shard: str
    reason: missing_reason.MissingReason
