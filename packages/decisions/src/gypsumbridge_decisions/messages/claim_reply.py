"""The store's reply to a call on claims."""

import dataclasses

from gypsumbridge_decisions.messages import claim_item
from gypsumbridge_decisions.messages import store_status


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """`revision` is that of the key after a write.

    `items` holds the claims that were read or listed.
    """

    token: str
    status: store_status.StoreStatus
    revision: int = 0
    items: tuple[claim_item.ClaimItem, ...] = ()
