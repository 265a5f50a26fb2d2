"""The reply to a call to the configuration store."""

import dataclasses

from gypsumbridge_decisions.messages import store_item
from gypsumbridge_decisions.messages import store_status


@dataclasses.dataclass(frozen=True)
class StoreReply:
    """The outcome of a call and the items that it returned.

    `revision` is that of the store for operations that only read, and that
    of the key after a write or a conflict.
    """

    token: str
    status: store_status.StoreStatus
    revision: int = 0
    items: tuple[store_item.StoreItem, ...] = ()
