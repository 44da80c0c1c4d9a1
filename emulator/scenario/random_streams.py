"""Independent streams of random numbers, one for each purpose."""

from __future__ import annotations

import numpy as np


def random_stream(seed: int, *purpose: str | int) -> np.random.Generator:
    """Return the generator for one purpose; draws for one purpose do not affect those for another."""
    words = [seed, *(byte for part in purpose for byte in [*str(part).encode(), 0])]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(words)))
