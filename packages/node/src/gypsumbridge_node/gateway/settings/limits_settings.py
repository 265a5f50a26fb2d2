"""The [limits] section of a gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LimitsSettings:
    """Memory in MB and descriptors that the process may take.

    With `memory_mb` 0, connections share 48 MiB; with `max_fds` 0, the
    process's own limit counts.
    """

    memory_mb: int = 0
    max_fds: int = 0
