"""The JSON body of the store's replies."""

import dataclasses

from gypsumbridge_decisions import messages


@dataclasses.dataclass(frozen=True)
class ReplyBody:
    """A revision and the items read, listed or watched."""

    revision: int
    items: tuple[messages.StoreItem, ...] = ()
