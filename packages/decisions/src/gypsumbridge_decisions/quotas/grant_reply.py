"""The answer of a holder to a request for tokens."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class GrantReply:
    """`tokens` may be used for `lifetime_ms` after the request was sent.

    With fewer tokens than requested, the bucket has one again after
    `retry_after_ms`. A `refusal` names why the node cannot tell.
    """

    tokens: int = 0
    lifetime_ms: int = 0
    retry_after_ms: int = 0
    refusal: str = ''
