"""One task's view of whether the node may take new work."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason
from gypsumbridge_decisions.messages import serving_changed


@dataclasses.dataclass(frozen=True)
class ServingCondition:
    """Reported to the lifecycle task, which combines all sources.

    `source` names the task. The fields mean the same as in
    `ServingChanged`.
    """

    source: str
    refusal: missing_reason.MissingReason
    valid_until_ms: int = serving_changed.NO_EXPIRY_MS
