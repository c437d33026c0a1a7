"""Measures the processor time and the memory of a piece of code."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

REPEATS = 5


def cpu_s(action: Callable[[], object], count: int) -> float:
    """
    Return the processor time of one call, in seconds.

    :param count: calls in one repeat.
    :return: the median of ``REPEATS`` repeats.
    """
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            action()
        times.append((time.process_time() - started_s) / count)
    return statistics.median(times)


async def async_cpu_s(action: Callable[[], Awaitable[object]], count: int) -> float:
    """
    Return the processor time of one awaited call, in seconds.

    :param count: calls in one repeat.
    :return: the median of ``REPEATS`` repeats.
    """
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            await action()
        times.append((time.process_time() - started_s) / count)
    return statistics.median(times)


def resident_bytes(make: Callable[[], object]) -> int:
    """Return how many bytes a new object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        new_object = make()
        gc.collect()
        size_bytes = tracemalloc.get_traced_memory()[0]
        del new_object
    finally:
        tracemalloc.stop()
    return size_bytes


def peak_bytes(action: Callable[[], object]) -> int:
    """Return the largest number of bytes allocated at a time in a call."""
    gc.collect()
    tracemalloc.start()
    try:
        action()
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
