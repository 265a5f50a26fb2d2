"""The [log] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Minimum level, and the maximum number of decision lines per second."""

    level: str = 'info'
    decision_lines_per_second: int = 200
