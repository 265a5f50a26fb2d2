"""What the lifecycle task may do to the process."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True)
class ProcessControls:
    """`close_port` ends new connections, `exit_process` takes a status."""

    close_port: Callable[[], object]
    exit_process: Callable[[int], None]
