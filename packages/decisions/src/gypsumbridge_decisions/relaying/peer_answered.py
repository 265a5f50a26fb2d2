"""An answer from another node."""

import dataclasses

from gypsumbridge_decisions.relaying import relayed_updates


@dataclasses.dataclass(frozen=True)
class PeerAnswered:
    """The updates with which a node answered a poll."""

    node_id: str
    updates: relayed_updates.RelayedUpdates
