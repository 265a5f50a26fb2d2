"""Checks the heads of a response while they arrive."""

import re

from gypsumbridge_wire import status_kind
from gypsumbridge_wire import status_line

# Twisted limits the length of a line, but not the number of lines.
MAX_HEAD_BYTES = 64 * 1_024
_BLANK_LINE = re.compile(rb'\r?\n\r?\n')


class HeadScan:
    """Reads interim heads and the final one, with a limit on each.

    Twisted's parser takes any number for a status (`+200`, `0200`, 0), so
    the status line is checked before it is passed on.
    """

    def __init__(self) -> None:
        self.head = bytearray()
        self.kind: status_kind.StatusKind | None = None
        self.ended = False

    def accept(self, data: bytes) -> bool:
        """Add received bytes; return whether the heads are acceptable."""
        if self.ended:
            return True
        self.head += data
        while not self.ended:
            if not self._check_line():
                return False
            end = _BLANK_LINE.search(self.head)
            if end is None:
                return len(self.head) <= MAX_HEAD_BYTES
            self.ended = self.kind is status_kind.StatusKind.ANSWER
            del self.head[: end.end()]
            self.kind = None
        self.head.clear()
        return True

    def _check_line(self) -> bool:
        """Classify the status line once it is complete."""
        line, end, _ = self.head.partition(b'\n')
        if end and self.kind is None:
            self.kind = status_line.classify_line(
                bytes(line).removesuffix(b'\r')
            )
        return self.kind is not status_kind.StatusKind.BROKEN
