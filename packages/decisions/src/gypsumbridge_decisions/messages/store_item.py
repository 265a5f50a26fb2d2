"""A key of the configuration store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreItem:
    """A key, its value (None if deleted) and the revision of that change."""

    key: str
    value: str | None
    revision: int
