"""What the links between nodes do to messages."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LinkFaults:
    """Delay in milliseconds, and shares in [0, 1] lost and duplicated.

    A random part of up to `jitter_ms` is added to each delay, which also
    reorders messages.
    """

    delay_ms: int = 1
    jitter_ms: int = 0
    loss: float = 0.0
    duplication: float = 0.0
