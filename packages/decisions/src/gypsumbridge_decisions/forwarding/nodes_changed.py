"""Update of the nodes of the fleet."""

import dataclasses

from gypsumbridge_decisions.relaying import peer_node


@dataclasses.dataclass(frozen=True)
class NodesChanged:
    """All known nodes, including this one and nodes that are gone."""

    nodes: tuple[peer_node.PeerNode, ...]
