"""The timeout of a direct acknowledgement."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class IndirectProbeTimer:
    """Triggers indirect probes unless the direct one was acknowledged."""

    sequence: int
