"""Processor time and memory of a piece of work."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any


def processor_us(work: Callable[[], Any], repeats: int) -> float:
    """Return the least processor time of one run, in microseconds.

    The least of the repeats is the one that other processes disturbed
    the least.
    """
    best = float('inf')
    for _ in range(repeats):
        started = time.process_time_ns()
        work()
        best = min(best, (time.process_time_ns() - started) / 1000)
    return best


def memory_bytes(make: Callable[[], Any]) -> float:
    """Return the memory that an object takes while it is kept."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)
