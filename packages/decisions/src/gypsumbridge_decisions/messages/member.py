"""One node of the fleet."""

import dataclasses

from gypsumbridge_decisions.messages import member_state


@dataclasses.dataclass(frozen=True)
class Member:
    """A node, its addresses and its state as last reported.

    `incarnation` orders updates about the node; only the node itself
    increments it. `peer_address` and `http_address` are `ip:port`.
    """

    node_id: str
    failure_domain: str
    peer_address: str
    http_address: str
    incarnation: int = 0
    state: member_state.MemberState = member_state.MemberState.ALIVE
