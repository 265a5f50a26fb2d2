"""One measured property of a case."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_standins.policy_bench import run_result

Measure = Callable[[run_result.RunResult, run_result.RunResult], float]


@dataclasses.dataclass(frozen=True)
class Metric:
    """A measure of a case and the aim that was set for it beforehand.

    `measure` takes the run and the same system's quiet run of the same
    seed. `limit` is None where a figure is only reported.
    """

    case: str
    name: str
    measure: Measure
    limit: float | None
    at_most: bool = True

    def hit(self, value: float) -> bool:
        """Say whether a value is within the aim."""
        if self.limit is None:
            return True
        if self.at_most:
            return value <= self.limit
        return value >= self.limit
