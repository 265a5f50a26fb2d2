"""The end of a call to the configuration store."""

import dataclasses

from gypsumbridge_decisions.messages import store_item
from gypsumbridge_decisions.messages import store_status


@dataclasses.dataclass(frozen=True)
class StoreReply:
    """`revision` is the store's for reads, and the key's after a write
    or in a conflict.
    """

    token: str
    status: store_status.StoreStatus
    revision: int = 0
    items: tuple[store_item.StoreItem, ...] = ()
