"""Partitions whose holders do not answer."""

FIRST_BACK_OFF_MS = 1_000
# A holder that is lost is replaced after about 36 s; the other partitions
# serve until then.
MAX_BACK_OFF_MS = 8_000


class BackOff:
    """The time until which each partition is not asked."""

    def __init__(self) -> None:
        self.failures: dict[int, int] = {}
        self.until_ms: dict[int, int] = {}

    def record_failure(self, partition: int, now_ms: int) -> None:
        """Leave a partition alone, longer after each failure in a row."""
        failures = self.failures.get(partition, 0)
        self.failures[partition] = failures + 1
        delay_ms = min(FIRST_BACK_OFF_MS << min(failures, 8), MAX_BACK_OFF_MS)
        self.until_ms[partition] = now_ms + delay_ms

    def reset(self, partition: int) -> None:
        """Forget the failures of a partition that answers or moves."""
        self.failures.pop(partition, None)
        self.until_ms.pop(partition, None)

    def is_active(self, partition: int, now_ms: int) -> bool:
        """Return whether a partition is not to be asked now."""
        return now_ms < self.until_ms.get(partition, now_ms)
