"""A command to answer another node's poll."""

import dataclasses

from gypsumbridge_decisions.relaying import relayed_updates


@dataclasses.dataclass(frozen=True)
class AnswerPoll:
    """Sends `updates` to the node that polled."""

    poll_id: int
    updates: relayed_updates.RelayedUpdates
