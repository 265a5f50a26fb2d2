"""The end of the wait for a direct acknowledgement."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class IndirectProbeTimer:
    """Asks other members to probe unless the probe was acknowledged."""

    sequence: int
