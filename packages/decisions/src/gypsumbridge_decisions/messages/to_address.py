"""A message to a node at a given address."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class ToAddress:
    """Sends `message` to `ip:port`.

    Membership uses it to reach nodes that are not in the published view:
    senders that nobody listed yet and members that are believed dead.
    """

    node_id: str
    address: str
    message: Any
