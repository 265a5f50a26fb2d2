"""A command to ask a holder for tokens."""

import dataclasses

from gypsumbridge_decisions.quotas import grant_request
from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class AskHolder:
    """Answered by HolderAnswered or HolderFailed within `timeout_ms`."""

    ask_id: int
    peer: peer_node.PeerNode
    request: grant_request.GrantRequest
    timeout_ms: int
