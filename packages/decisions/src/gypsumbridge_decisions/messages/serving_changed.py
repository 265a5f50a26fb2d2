"""Whether this node may take new work."""

import dataclasses

from gypsumbridge_decisions.messages import missing_reason

# Far later than any clock reading.
NO_EXPIRY_MS = 2**62


@dataclasses.dataclass(frozen=True)
class ServingChanged:
    """An empty `refusal` means that the node takes new work.

    It holds until `valid_until_ms` on the node's own clock. The limit is
    checked when work arrives, so a node that was paused past it refuses
    work before any of its timers has run.
    """

    refusal: missing_reason.MissingReason
    valid_until_ms: int = NO_EXPIRY_MS

    def refusal_at(self, now_ms: int) -> missing_reason.MissingReason:
        """Return why no new work is taken at a time, or NONE."""
        if self.refusal:
            return self.refusal
        if now_ms >= self.valid_until_ms:
            return missing_reason.MissingReason.CONFIGURATION_STALE
        return missing_reason.MissingReason.NONE
