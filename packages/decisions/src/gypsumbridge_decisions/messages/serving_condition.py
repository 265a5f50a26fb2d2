"""One task's condition for accepting new work."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason
from gypsumbridge_decisions.messages import serving_changed


@dataclasses.dataclass(frozen=True)
class ServingCondition:
    """Sent to the lifecycle task, which combines all conditions.

    `source` names the reporting task. The other fields have the same
    meaning as in `ServingChanged`.
    """

    source: str
    refusal: missing_reason.MissingReason
    valid_until_ms: int = serving_changed.NO_EXPIRY_MS
