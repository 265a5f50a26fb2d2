"""A command to delegate a request to a coordinator."""

import dataclasses

from gypsumbridge_decisions.forwarding import delegated_request
from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class DelegateRequest:
    """Sends the request to the coordinator, and reports the result."""

    delegation_id: int
    coordinator: peer_node.PeerNode
    delegated: delegated_request.DelegatedRequest
