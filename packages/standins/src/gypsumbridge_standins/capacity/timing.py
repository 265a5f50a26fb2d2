"""Processor time and memory of a piece of work."""

from collections.abc import Callable
import gc
import time
import tracemalloc
from typing import Any


def processor_us(work: Callable[[], Any], repeats: int) -> float:
    """Return the minimum processor time of one run, in microseconds.

    The minimum of the repeats has the least interference from other
    processes.
    """
    least = float('inf')
    for _ in range(repeats):
        started = time.process_time_ns()
        work()
        least = min(least, (time.process_time_ns() - started) / 1000)
    return least


def memory_bytes(make: Callable[[], Any]) -> float:
    """Return the memory in use by the object that `make` returns."""
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    after_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after_bytes - before_bytes)
