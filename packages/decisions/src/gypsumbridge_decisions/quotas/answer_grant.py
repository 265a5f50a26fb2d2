"""A command to answer a request for tokens."""

import dataclasses

from gypsumbridge_decisions.quotas import grant_reply


@dataclasses.dataclass(frozen=True)
class AnswerGrant:
    """Sends `reply` to the node that asked."""

    call_id: int
    reply: grant_reply.GrantReply
