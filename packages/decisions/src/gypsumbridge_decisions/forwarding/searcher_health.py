"""This node's measurements of one searcher."""

import math

# The time constant of the decay: measurements of this age have lost two
# thirds of their weight, so that a recovered searcher gets requests again. It
# is extended by `DECAY_SAMPLES` average intervals between samples, so that
# rare samples are not forgotten before the next one.
DECAY_MS = 3_000
DECAY_SAMPLES = 2
MAX_INTERVAL_MS = 5_000
# The minimum weight of a new sample in the moving averages. The weight grows
# with the time since the previous sample, with the time constant
# `SAMPLE_WEIGHT_TIME_MS`.
SAMPLE_WEIGHT = 0.25
SAMPLE_WEIGHT_TIME_MS = 2_000
FAILURES_TO_EJECT = 2
FIRST_EJECTION_MS = 500
MAX_EJECTION_MS = 4_000
# An entry that lapses although its searcher is alive is back by then.
LAPSE_MS = 10_000
# The time over which a searcher of a failure domain that was under evacuation
# gets its share of the requests back. It may be cold, and all nodes learn at
# the same moment that it can be used.
RETURN_MS = 3_000
# Limits the time that a searcher may state in its Retry-After header.
MAX_RETRY_AFTER_MS = 600_000
# The time for which a searcher that rejects requests counts as full doubles
# with each rejection in a row, up to this. Most have room long before.
MAX_FULL_MS = 1_000


class SearcherHealth:
    """Moving averages and an ejection time.

    `slowness` is the ratio of this searcher's latency to the median latency
    of the same route; `failure_rate` is between 0 and 1. `replaced` is set
    when another searcher has answered at the address, `leaving` when the
    searcher has stated that it is about to exit. It has asked for no requests
    before `closed_until_ms`. While its entry is missing, it is used before
    `held_until_ms`. After `rejections` in a row of requests, it is expected to
    have room again at `full_until_ms`. `interval_ms` is the average time
    between samples. While its failure domain is `evacuated`, it gets no
    requests; after that it returns gradually from `returned_ms` on, and
    `return_credit` is the share of a request that it has been withheld since.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.overdue = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.measured_ms = 0
        self.sampled_ms = 0
        self.interval_ms = 0.0
        self.consecutive_failures = 0
        self.ejected_until_ms = 0
        self.replaced = False
        self.leaving = False
        self.closed_until_ms = 0
        self.held_until_ms: int | None = None
        self.evacuated = False
        self.returned_ms: int | None = None
        self.return_credit = 0.0
        self.rejections = 0
        self.full_until_ms = 0

    def decay(self, now_ms: int) -> None:
        """Move the averages towards their defaults by the elapsed time."""
        decay_ms = DECAY_MS + DECAY_SAMPLES * self.interval_ms
        kept_share = math.exp(-max(0, now_ms - self.measured_ms) / decay_ms)
        self.slowness = 1.0 + (self.slowness - 1.0) * kept_share
        self.failure_rate *= kept_share
        self.measured_ms = now_ms

    def sample(self, now_ms: int) -> float:
        """Record the time of a sample and return its weight."""
        self.decay(now_ms)
        gap_ms = min(now_ms - self.sampled_ms, MAX_INTERVAL_MS)
        self.sampled_ms = now_ms
        self.interval_ms += SAMPLE_WEIGHT * (gap_ms - self.interval_ms)
        return max(
            SAMPLE_WEIGHT, 1.0 - math.exp(-gap_ms / SAMPLE_WEIGHT_TIME_MS)
        )

    def reset_statements(self) -> None:
        """Forget what an earlier process of the searcher has stated."""
        self.replaced = False
        self.leaving = False
        self.closed_until_ms = 0

    def is_remembered(self, departed_ms: int, now_ms: int) -> bool:
        """Return whether the statements hold without an entry.

        The entry has been missing since `departed_ms`.
        """
        if self.closed_until_ms > now_ms:
            return True
        stated = self.replaced or self.leaving
        return stated and now_ms < departed_ms + LAPSE_MS

    def set_evacuated(self, evacuated: bool, now_ms: int) -> None:
        """Record whether the searcher's failure domain is evacuated.

        What was measured before is kept.
        """
        if self.evacuated and not evacuated:
            self.returned_ms = now_ms
            self.return_credit = 0.0
        self.evacuated = evacuated

    def is_passed_over(self, now_ms: int) -> bool:
        """Return whether other searchers go first this time.

        After an evacuation the share of the requests for which the searcher
        is considered grows from 0 to 1 within `RETURN_MS`.
        """
        if self.returned_ms is None:
            return False
        share = (now_ms - self.returned_ms) / RETURN_MS
        if share >= 1.0:
            self.returned_ms = None
            return False
        self.return_credit += share
        if self.return_credit < 1.0:
            return True
        self.return_credit -= 1.0
        return False

    def may_be_sent_requests(self, now_ms: int) -> bool:
        """Return whether requests are allowed.

        Evacuations, its entry and its own statements may exclude them.
        """
        return not self.evacuated and self.is_open(now_ms)

    def is_open(self, now_ms: int) -> bool:
        """Return whether its entry and its own statements allow requests."""
        if self.replaced or self.leaving:
            return False
        if self.held_until_ms is not None and now_ms >= self.held_until_ms:
            return False
        return self.closed_until_ms <= now_ms

    def record_refusal(self, retry_after_ms: int, now_ms: int) -> None:
        """Record the time for which the searcher wants no requests."""
        retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
        until_ms = now_ms + retry_after_ms
        self.closed_until_ms = max(self.closed_until_ms, until_ms)

    def record_rejection(self, room_ms: float, now_ms: int) -> None:
        """Record that the searcher is full; a slot is free in `room_ms`."""
        full_ms = min(room_ms * 2 ** min(self.rejections, 8), MAX_FULL_MS)
        self.rejections += 1
        self.full_until_ms = now_ms + max(1, int(full_ms))

    def record_answer(self, slowness: float, now_ms: int) -> None:
        """Add a response that took `slowness` times the median latency."""
        weight = self.sample(now_ms)
        self.slowness += weight * (slowness - self.slowness)
        self.failure_rate -= weight * self.failure_rate
        self.consecutive_failures = 0
        self.rejections = 0

    def record_failure(self, now_ms: int, unreachable: bool) -> None:
        """Add a failure; several consecutive ones eject the searcher.

        An unreachable searcher is ejected by its first failure.
        """
        weight = self.sample(now_ms)
        self.failure_rate += weight * (1.0 - self.failure_rate)
        self.consecutive_failures += 1
        extra = self.consecutive_failures - FAILURES_TO_EJECT
        if unreachable or extra >= 0:
            ejection_ms = min(
                FIRST_EJECTION_MS << max(0, min(extra, 8)), MAX_EJECTION_MS
            )
            self.ejected_until_ms = now_ms + ejection_ms
