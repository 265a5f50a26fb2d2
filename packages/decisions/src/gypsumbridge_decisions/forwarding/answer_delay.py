"""Estimate of the delay between an objective timer and its response."""

# As in RFC 6298, which estimates round-trip times by mean and deviation.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 2.0


class AnswerDelay:
    """Moving average and mean deviation of the delay, in milliseconds."""

    def __init__(self, estimate_ms: float) -> None:
        self.mean_ms = estimate_ms
        self.deviation_ms = 0.0

    def add(self, delay_ms: float) -> None:
        """Add the delay of one response."""
        error_ms = delay_ms - self.mean_ms
        self.mean_ms += MEAN_WEIGHT * error_ms
        self.deviation_ms += DEVIATION_WEIGHT * (
            abs(error_ms) - self.deviation_ms
        )

    def upper_ms(self) -> float:
        """Return an upper estimate, which most delays stay below."""
        return self.mean_ms + DEVIATIONS * self.deviation_ms
