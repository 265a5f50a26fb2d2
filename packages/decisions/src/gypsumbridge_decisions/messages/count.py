"""An increment of a metric."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Count:
    """Adds `value` to the counter `name`."""

    name: str
    value: int = 1
