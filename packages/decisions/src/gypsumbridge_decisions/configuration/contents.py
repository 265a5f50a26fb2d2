"""The declared resources as stored, with their recent changes."""

import collections

from gypsumbridge_decisions import messages

# A node that is further behind gets a snapshot. At 35,000 changes a day
# this covers nearly three hours.
HISTORY_LENGTH = 4_096
# A value may have 1 MiB, so a part has at most 2 MiB of the 4 MiB that a
# frame between nodes may have.
PART_CHARACTERS = 1024 * 1024

Items = tuple[messages.StoreItem, ...]


class Contents:
    """The items by key, and every change after `history_start`."""

    def __init__(self) -> None:
        self.items: dict[str, messages.StoreItem] = {}
        self.history: collections.deque[messages.StoreItem] = (
            collections.deque()
        )
        self.history_start = 0

    def change(self, items: Items) -> None:
        """Apply changes in their order; a value of None deletes a key."""
        for item in items:
            if item.value is None:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item
            self.history.append(item)
            if len(self.history) > HISTORY_LENGTH:
                self.history_start = self.history.popleft().revision

    def replace(self, items: Items, revision: int) -> None:
        """Take over a snapshot of a revision."""
        self.items = {item.key: item for item in items}
        self.history.clear()
        self.history_start = revision


def changes_after(contents: Contents, revision: int) -> tuple[Items, bool]:
    """Return the next changes, and whether there are more of them."""
    behind = []
    for item in reversed(contents.history):
        if item.revision <= revision:
            break
        behind.append(item)
    behind.reverse()
    return take_part(behind)


def snapshot_after(contents: Contents, key: str) -> tuple[Items, bool]:
    """Return the next part of a snapshot, and whether there are more."""
    names = sorted(name for name in contents.items if name > key)
    return take_part([contents.items[name] for name in names])


def take_part(items: list[messages.StoreItem]) -> tuple[Items, bool]:
    """Return as many items as fit into one part."""
    size = 0
    for index, item in enumerate(items):
        size += len(item.key) + len(item.value or '')
        if index and size > PART_CHARACTERS:
            return tuple(items[:index]), True
    return tuple(items), False
