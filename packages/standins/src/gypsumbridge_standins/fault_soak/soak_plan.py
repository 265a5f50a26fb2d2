"""What a run is to do."""

import dataclasses

from gypsumbridge_standins.fault_soak import fault as faults


@dataclasses.dataclass(frozen=True)
class SoakPlan:
    """The seed of a run, its size and its faults in order of time.

    With `relayed`, one gateway of each failure domain watches the store and
    tells the others.
    """

    seed: int
    seconds: int
    gateways: int
    faults: tuple[faults.Fault, ...]
    relayed: bool = False
