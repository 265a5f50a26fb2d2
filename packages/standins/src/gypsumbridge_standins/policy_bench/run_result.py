"""What one run of one policy gave."""

from collections.abc import Mapping
import dataclasses

from gypsumbridge_standins.policy_bench import cell


@dataclasses.dataclass(frozen=True)
class RunResult:
    """Results of one policy on one case, deployment and seed.

    `extra` is the share of attempts above the needed ones by window.
    `worked` is the slot time used as a share of the slots that are up, in
    the steady window, and `useful` the share of the slot time since the
    start that went into answers. `served` is each rank's useful slot time
    as a share of the slots that are up. `connection_share` is the largest
    share of an endpoint's connection limit that was ever in use.
    """

    case: str
    deployment: str
    policy: str
    seed: int
    cells: Mapping[tuple[str, str, str], cell.Cell]
    extra: Mapping[str, float]
    worked: float
    useful: float
    served: Mapping[str, float]
    false_not_run: int
    connection_share: float
    reference_ms: Mapping[str, float]
