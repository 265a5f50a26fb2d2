"""One change of a key in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class StoreRecord:
    """A key with the revision of its last change.

    `value` is None when the key was deleted. It is not in the representation,
    since the configuration holds the customers' keys. Revisions are ordered
    within an era of the store; records of a later era follow all earlier
    ones.
    """

    key: str
    revision: int
    value: bytes | None = dataclasses.field(repr=False)
    era: int = 0

    def position(self) -> tuple[int, int]:
        """Return the era and the revision, which order all records."""
        return self.era, self.revision
