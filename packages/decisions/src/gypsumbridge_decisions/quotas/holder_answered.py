"""The answer of a holder."""

import dataclasses

from gypsumbridge_decisions.quotas import grant_reply


@dataclasses.dataclass(frozen=True)
class HolderAnswered:
    """Ends AskHolder with the holder's reply."""

    ask_id: int
    reply: grant_reply.GrantReply
