"""The greatest records of several parts."""

import struct

RECORD_BYTES = 16
_RECORD = struct.Struct(f'{RECORD_BYTES}s')


class TopRecords:
    """Merges parts as they arrive, so that the final merge is short.

    A body is a sequence of records of `RECORD_BYTES`, compared byte by
    byte; a shorter remainder at its end is ignored. Equal records are all
    kept.
    """

    def __init__(self, top_k: int) -> None:
        self.top_k = top_k
        # Greatest first.
        self.records: list[bytes] = []

    def add(self, body: bytes) -> None:
        """Merge the records of one more part."""
        used_bytes = len(body) - len(body) % RECORD_BYTES
        found = [
            record for (record,) in _RECORD.iter_unpack(body[:used_bytes])
        ]
        if len(self.records) == self.top_k and self.top_k:
            least = self.records[-1]
            found = [record for record in found if record > least]
        if not found:
            return
        found += self.records
        found.sort(reverse=True)
        self.records = found[: self.top_k]

    def body(self) -> bytes:
        """Return the `top_k` greatest records, greatest first."""
        return b''.join(self.records)
