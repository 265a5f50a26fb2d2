"""One change of a key in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreRecord:
    """A key with the revision of its last change.

    `value` is None when the key was deleted. It is not in the representation,
    since the configuration holds the customers' keys.
    """

    key: str
    revision: int
    value: bytes | None = dataclasses.field(repr=False)
