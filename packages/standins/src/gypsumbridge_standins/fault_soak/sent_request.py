"""A request as a caller sent it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """One request; `kind` is `all`, `one`, `once`, `new` or `dropped`.

    The kinds stand for a gather, a safe request, one that must not run
    twice, one on a route that came into force long enough ago and one on a
    route that was dropped as long ago. Times are in ms of the steady clock.
    """

    request_id: str
    kind: str
    target: str
    node: str
    sent_ms: int
    gives_up_ms: int
