"""The plan of a run."""

import dataclasses

from gypsumbridge_standins.fault_soak import fault as faults


@dataclasses.dataclass(frozen=True)
class SoakPlan:
    """The seed, size and faults of a run; faults are in order of time.

    With `relayed`, one gateway of each failure domain watches the store and
    relays its updates to the others, and the first gateways gather for them.
    With `eras`, the store states its era. With `wave`, the demand moves
    between the failure domains.
    """

    seed: int
    seconds: int
    gateways: int
    faults: tuple[faults.Fault, ...]
    relayed: bool = False
    eras: bool = False
    wave: bool = False
