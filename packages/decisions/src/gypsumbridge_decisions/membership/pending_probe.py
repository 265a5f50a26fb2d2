"""The probe of the current round."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PendingProbe:
    """The probed member, and whether it has acknowledged."""

    target: str
    sequence: int
    acknowledged: bool = False
