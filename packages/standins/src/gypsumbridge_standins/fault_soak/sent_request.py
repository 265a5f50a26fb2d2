"""A request as a caller sent it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """One request; `kind` is `all`, `one`, `once`, `new` or `dropped`.

    The kinds are a gather, a safe request, an unsafe one that must not run
    twice, one on a route that must be in force by now, and one on a route
    that must be dropped by now. Times are in ms on the monotonic clock.
    """

    request_id: str
    kind: str
    target: str
    node: str
    sent_ms: int
    give_up_at_ms: int
