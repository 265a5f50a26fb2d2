"""The store's reply to a call about claims."""

import dataclasses

from gypsumbridge_decisions.messages import claim_item
from gypsumbridge_decisions.messages import store_status


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """`revision` is the key's after a write; `items` is read or listed."""

    token: str
    status: store_status.StoreStatus
    revision: int = 0
    items: tuple[claim_item.ClaimItem, ...] = ()
