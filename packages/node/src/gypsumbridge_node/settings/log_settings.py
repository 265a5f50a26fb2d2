"""The [log] section."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """Least level, and the most decision lines a second."""

    level: str = 'info'
    decision_lines_per_second: int = 200
