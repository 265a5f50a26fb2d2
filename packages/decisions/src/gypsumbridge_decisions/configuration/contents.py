"""The declared resources, with their recent changes."""

import collections

from gypsumbridge_decisions import messages

# A node that lags by more changes gets a snapshot. At 35,000 changes a day
# this covers nearly three hours.
HISTORY_LENGTH = 4_096
# A value may have up to 1 MiB, so a chunk has at most 2 MiB; a frame between
# nodes is limited to 4 MiB.
MAX_CHUNK_CHARACTERS = 1024 * 1024

Items = tuple[messages.StoreItem, ...]


class Contents:
    """The items by key, and all changes after revision `history_start`."""

    def __init__(self) -> None:
        self.items: dict[str, messages.StoreItem] = {}
        self.history: collections.deque[messages.StoreItem] = (
            collections.deque()
        )
        self.history_start = 0

    def apply_changes(self, items: Items) -> None:
        """Apply changes in order; a value of None deletes the key."""
        for item in items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
            self.history.append(item)
            if len(self.history) > HISTORY_LENGTH:
                self.history_start = self.history.popleft().revision

    def replace(self, items: Items, revision: int) -> None:
        """Replace all items by the snapshot of a revision."""
        self.items = {item.key: item for item in items}
        self.history.clear()
        self.history_start = revision


def changes_after(contents: Contents, revision: int) -> tuple[Items, bool]:
    """Return the next chunk of changes, and whether there are more."""
    newer = []
    for item in reversed(contents.history):
        if item.revision <= revision:
            break
        newer.append(item)
    newer.reverse()
    return first_chunk(newer)


def snapshot_after(contents: Contents, key: str) -> tuple[Items, bool]:
    """Return the next chunk of a snapshot, and whether there are more."""
    keys = sorted(item_key for item_key in contents.items if item_key > key)
    return first_chunk([contents.items[item_key] for item_key in keys])


def first_chunk(items: list[messages.StoreItem]) -> tuple[Items, bool]:
    """Return the items of the first chunk, and whether there are more."""
    size = 0
    for index, item in enumerate(items):
        size += len(item.key) + len(item.value or '')
        if index and size > MAX_CHUNK_CHARACTERS:
            return tuple(items[:index]), True
    return tuple(items), False
