"""The first message on a new socket to a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Introduction:
    """Says where answers to `sender` go.

    A node that has just started sends queries before its news has reached
    every owner; without its address their answers would be dropped.
    """

    sender: str
    peer_address: str
