"""Processor time and memory of one piece of work."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

_REPEATS = 5
_US_PER_S = 1_000_000


def cpu_us(work: Callable[[], Any], times: int) -> float:
    """Return processor microseconds of one call: the minimum of several repeats.

    Other load on the machine affects the minimum least.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        gc.collect()
        start = time.process_time()
        for _ in range(times):
            work()
        best = min(best, time.process_time() - start)
    return best / times * _US_PER_S


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the bytes that the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        retained = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del retained
    return float(after - before)
