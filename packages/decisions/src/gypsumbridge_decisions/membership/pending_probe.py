"""The probe of the present round."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PendingProbe:
    """Who was probed, and whether anything came back."""

    target: str
    sequence: int
    acknowledged: bool = False
