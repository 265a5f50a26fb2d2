"""State of the part of a request that one service answers."""

from gypsumbridge_decisions.forwarding import attempt_ended


class PartState:
    """The attempts at one service and their results.

    `running` holds the ids of the attempts in flight, `tried` the ids of
    the searchers that were chosen. `runs` counts the attempts that may have
    run, `sends` all attempts. `failure` is the last error response of a
    searcher, `reason` the cause of the last failure. Without a searcher
    that may be sent requests, one may be again at `usable_at_ms`, if known.
    While another node gathers the part, it is `delegated`.
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

    def is_open(self) -> bool:
        """Return whether an answer may still arrive."""
        return self.answer is None and (bool(self.running) or self.delegated)
