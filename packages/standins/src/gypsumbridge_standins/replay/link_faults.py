"""Faults of the links between nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LinkFaults:
    """Delay in ms, and the shares in [0, 1] of messages lost or duplicated.

    Up to `jitter_ms` is added to each delay at random, which also reorders
    messages.
    """

    delay_ms: int = 1
    jitter_ms: int = 0
    loss: float = 0.0
    duplication: float = 0.0
