"""Merge of the records of several parts."""

from collections.abc import Iterable
import heapq

RECORD_BYTES = 16


def greatest_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records, greatest first.

    A body is a sequence of records of `RECORD_BYTES`, compared byte by
    byte; a shorter remainder at its end is not a record.
    """
    records = []
    for body in bodies:
        whole = len(body) - len(body) % RECORD_BYTES
        for start in range(0, whole, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    return b''.join(heapq.nlargest(top_k, records))
