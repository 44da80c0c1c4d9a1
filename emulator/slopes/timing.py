"""Times a piece of work in this process."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from statistics import median

NS_PER_US = 1000


def mean_us(rounds: int, repeats: int, work: Callable[[], None]) -> float:
    """Return the processor time of `work` in microseconds.

    It is the median over `rounds` of the mean over `repeats`: a stray pause moves no median.
    """
    means_us = []
    gc.collect()
    for _ in range(rounds):
        before_ns = time.process_time_ns()
        for _ in range(repeats):
            work()
        means_us.append((time.process_time_ns() - before_ns) / repeats / NS_PER_US)
    return median(means_us)
