"""A message to a node at a given address."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class ToAddress:
    """Sends `message` to `ip:port`.

    Membership uses it for nodes that are not in the published view: new
    senders that no host list contains yet, and members declared dead.
    """

    node_id: str
    address: str
    message: Any
