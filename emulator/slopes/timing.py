"""Measures the processor time of a function in this process."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from statistics import median

NS_PER_US = 1000


def processor_time_us(rounds: int, repeats: int, work: Callable[[], None]) -> float:
    """Return the processor time of one call of `work`, in microseconds.

    This is the median over `rounds` of the mean over `repeats`, because a single interruption does not shift
    a median.
    """
    means_us = []
    gc.collect()
    for _ in range(rounds):
        before_ns = time.process_time_ns()
        for _ in range(repeats):
            work()
        means_us.append((time.process_time_ns() - before_ns) / repeats / NS_PER_US)
    return median(means_us)
