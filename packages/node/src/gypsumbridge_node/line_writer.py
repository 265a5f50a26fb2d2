"""Writes log lines without blocking on their reader."""

import collections
import os

import msgspec

# Bounds the lines buffered while the reader is slow.
MAX_WAITING_BYTES = 262_144


class LineWriter:
    """Writes lines to a file descriptor and buffers what it cannot write.

    A line that would raise the buffer above `max_bytes` is dropped. The
    number of dropped lines is written as a line of its own when the buffer
    is empty again.
    """

    def __init__(self, descriptor: int, max_bytes: int) -> None:
        self.descriptor = descriptor
        self.max_bytes = max_bytes
        self.waiting: collections.deque[bytes] = collections.deque()
        self.waiting_bytes = 0
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Write text that ends with a newline, or buffer it."""
        line = text.encode()
        if self.waiting_bytes + len(line) > self.max_bytes:
            self.dropped_lines += 1
            return
        self._append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except BrokenPipeError:
                # The reader has closed the pipe.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()
            if not self.waiting and self.dropped_lines:
                self._append(self._dropped_count_line())

    def _append(self, line: bytes) -> None:
        self.waiting.append(line)
        self.waiting_bytes += len(line)

    def _dropped_count_line(self) -> bytes:
        line = {
            'level': 'warning',
            'message': 'log lines dropped because the reader is slow',
            'count': self.dropped_lines,
        }
        self.dropped_lines = 0
        return msgspec.json.encode(line) + b'\n'


def make_line_writer(
    descriptor: int, max_bytes: int = MAX_WAITING_BYTES
) -> LineWriter:
    """Return a writer on a descriptor, which is made non-blocking."""
    os.set_blocking(descriptor, False)
    return LineWriter(descriptor, max_bytes)
