"""One change of a key in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreRecord:
    """A key with the revision of its last change.

    `value` is None when the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None
