"""News from another node."""

import dataclasses

from gypsumbridge_decisions.relaying import relayed_updates


@dataclasses.dataclass(frozen=True)
class PeerAnswered:
    """The answer of a node that was asked."""

    node_id: str
    news: relayed_updates.RelayedUpdates
