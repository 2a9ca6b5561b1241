"""Processor time and memory of one piece of work."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

_TRIES = 5
_US = 1_000_000


def cpu_us(work: Callable[[], Any], times: int) -> float:
    """Return processor microseconds of one call: the least of several tries.

    The least is the figure that other load on the machine disturbs least.
    """
    best = float("inf")
    for _ in range(_TRIES):
        gc.collect()
        start = time.process_time()
        for _ in range(times):
            work()
        best = min(best, time.process_time() - start)
    return best / times * _US


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes that what ``build`` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)
