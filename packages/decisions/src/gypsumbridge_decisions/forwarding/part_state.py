"""State of the part of a request that one service answers."""

from gypsumbridge_decisions.admission import waiting_part
from gypsumbridge_decisions.forwarding import attempt_ended


class PartState:
    """The attempts at one service and their results.

    `running` holds the ids of the attempts in flight, `tried` the ids of
    the searchers that were chosen. `runs` counts the attempts that may have
    run, `sends` all attempts. `failure` is the last error response of a
    searcher, `reason` the cause of the last failure. Without a searcher
    that may be sent requests, one may be again at `usable_at_ms`, if known.
    While another node gathers the part, it is `delegated`. While it is queued
    for room at a searcher, `waiting` is its entry, and `waited_from_ms` is
    when it was found that there was none. It is not hedged before
    `hedge_from_ms`.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.running: set[int] = set()
        self.tried: set[str] = set()
        self.sends = 0
        self.runs = 0
        self.answer: attempt_ended.AttemptEnded | None = None
        self.failure: attempt_ended.AttemptEnded | None = None
        self.reason = ''
        self.usable_at_ms: int | None = None
        self.delegated = False
        self.waiting: waiting_part.WaitingPart | None = None
        self.waited_from_ms: int | None = None
        self.needs_new_connection = False
        self.hedge_from_ms = 0

    def is_open(self) -> bool:
        """Return whether an answer may still arrive."""
        return self.answer is None and (
            bool(self.running) or self.delegated or self.waiting is not None
        )

    def may_be_hedged(self, now_ms: int) -> bool:
        """Return whether the part does not wait, and was not sent late."""
        return self.waiting is None and now_ms >= self.hedge_from_ms
