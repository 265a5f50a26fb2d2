"""State of a request for tokens that waits for a connection."""

from typing import Any

from gypsumbridge_decisions import quotas


class HolderAsk:
    """A command to ask a holder, which must be answered by `due_ms`."""

    def __init__(self, command: quotas.AskHolder, due_ms: int) -> None:
        self.command = command
        self.due_ms = due_ms
        self.timer: Any = None
