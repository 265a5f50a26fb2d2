"""The results of one run."""

from collections.abc import Mapping
import dataclasses

from gypsumbridge_standins.policy_bench import cell


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Results of one policy with one case, deployment and seed.

    By window, `extra_attempt_share` is the number of attempts beyond the
    needed ones, as a share of those. `used_share` is the slot time used in
    the steady window as a share of the live endpoints' slot time, and
    `useful_share` the share of the slot time since the start that was spent
    on parts of answers. `served_share` is each rank's useful slot time as a
    share of the live endpoints' slot time. `connection_share` is the
    maximum share of an endpoint's connection limit in use.
    """

    case: str
    deployment: str
    policy: str
    seed: int
    cells: Mapping[tuple[str, str, str], cell.Cell]
    extra_attempt_share: Mapping[str, float]
    used_share: float
    useful_share: float
    served_share: Mapping[str, float]
    false_not_run: int
    connection_share: float
    reference_ms: Mapping[str, float]
