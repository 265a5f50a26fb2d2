"""One figure of a case."""

from collections.abc import Callable
import dataclasses

from gypsumbridge_standins.policy_bench import run_result

Measure = Callable[[run_result.RunResult, run_result.RunResult], float]


@dataclasses.dataclass(frozen=True)
class Metric:
    """A measure of a case and its aim, an upper or lower limit.

    `measure` takes the run and the same system's quiet run of the same
    seed. `limit` is None if the figure has no aim.
    """

    case: str
    name: str
    measure: Measure
    limit: float | None
    at_most: bool = True

    def is_met(self, value: float) -> bool:
        """Return whether a value meets the aim."""
        if self.limit is None:
            return True
        if self.at_most:
            return value <= self.limit
        return value >= self.limit
