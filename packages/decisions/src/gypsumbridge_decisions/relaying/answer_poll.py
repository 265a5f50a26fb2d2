"""A command to answer another node's poll."""

import dataclasses

from gypsumbridge_decisions.relaying import relayed_updates


@dataclasses.dataclass(frozen=True)
class AnswerPoll:
    """Sends `updates` to the node that polled.

    `proven_ms` is when this node's copy was last proven to be the newest, on
    the clock that counts suspended time; None if it never was. The age of
    this proof is computed when the answer is encoded.
    """

    poll_id: int
    updates: relayed_updates.RelayedUpdates
    proven_ms: int | None = None
