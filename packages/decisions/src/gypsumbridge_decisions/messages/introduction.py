"""The first message on a new socket to a node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Introduction:
    """Gives the address for replies to `sender`.

    A node that has just started sends queries before every owner has learned
    of it through membership; without its address, their replies would be
    dropped.
    """

    sender: str
    peer_address: str
