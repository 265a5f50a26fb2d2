"""A command to put a revision into force on this node."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class Publish:
    """`items` are the changed ones, or all items if `replace` is set."""

    revision: int
    items: tuple[messages.StoreItem, ...]
    replace: bool
