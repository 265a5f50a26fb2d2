"""Whether this node accepts new work."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason

# Later than any clock reading.
NO_EXPIRY_MS = 2**62


@dataclasses.dataclass(frozen=True)
class ServingChanged:
    """With an empty `refusal` the node accepts new work.

    It does so until `valid_until_ms` on its own clock. The limit is checked
    when work arrives, so that a node that was paused beyond it refuses work
    even before any of its timers has run.
    """

    refusal: missing_reason.MissingReason
    valid_until_ms: int = NO_EXPIRY_MS

    def refusal_at(self, now_ms: int) -> missing_reason.MissingReason:
        """Return why new work is refused at a time, or NONE."""
        if self.refusal:
            return self.refusal
        if now_ms >= self.valid_until_ms:
            return missing_reason.MissingReason.CONFIGURATION_STALE
        return missing_reason.MissingReason.NONE
