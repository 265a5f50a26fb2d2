"""A key of the configuration store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreItem:
    """A key, its value (None once deleted) and its last revision."""

    key: str
    value: str | None
    revision: int
