"""Functions with which the lifecycle task controls the process."""

from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True)
class ProcessControls:
    """`close_port` stops listening, `exit_process` takes an exit status."""

    close_port: Callable[[], object]
    exit_process: Callable[[int], None]
