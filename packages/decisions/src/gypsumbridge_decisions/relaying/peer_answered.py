"""An answer from another node."""

import dataclasses

from gypsumbridge_decisions.relaying import relayed_updates


@dataclasses.dataclass(frozen=True)
class PeerAnswered:
    """The updates with which a node answered a poll.

    `sent_ms` is when the poll was sent, on the clock that counts suspended
    time; None where it is not known.
    """

    node_id: str
    updates: relayed_updates.RelayedUpdates
    sent_ms: int | None = None
