"""The timer of probes, takeovers and repeated writes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QuotaTimer:
    """Checks all partitions, and is set again."""
