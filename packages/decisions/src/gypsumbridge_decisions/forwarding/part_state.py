"""State of one service's part of a request."""

from gypsumbridge_decisions.forwarding import attempt_ended


class PartState:
    """The attempts for one service and what came of them.

    `runs` counts the attempts that may have run, `sends` all that were
    passed to a connection. `failure` is the last failed response of a
    searcher, `reason` why the part is missing.
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

    def is_open(self) -> bool:
        """Return whether an answer may still arrive."""
        return self.answer is None and bool(self.running)
