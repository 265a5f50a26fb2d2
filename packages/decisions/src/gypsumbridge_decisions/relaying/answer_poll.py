"""An order to answer another node."""

import dataclasses

from gypsumbridge_decisions.relaying import relayed_updates


@dataclasses.dataclass(frozen=True)
class AnswerPoll:
    """Sends `news` to the node whose poll this was."""

    poll_id: int
    news: relayed_updates.RelayedUpdates
