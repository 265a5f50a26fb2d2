"""A copy of the store, from which it comes back in a drill."""

import dataclasses

from gypsumbridge_platform import item as items


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """The store's items at a revision."""

    revision: int
    items: dict[str, items.Item]
