"""A message to a node."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class ToPeer:
    """Sends `message` to the node `node_id`, which may be this one."""

    node_id: str
    message: Any
