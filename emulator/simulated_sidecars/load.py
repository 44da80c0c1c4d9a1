"""Synthetic requests at random times, for all sidecars of one process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import numpy as np

from emulator.scenario.document import Load

DRAW_BATCH_SIZE = 4096  # random numbers that are drawn at once
MS_PER_S = 1000


class ServiceTimes:
    """Lognormal service times with a given mean.

    Args:
        load: the mean, and the standard deviation of the logarithm.
        rng: a random number generator that nothing else uses.
    """

    def __init__(self, load: Load, rng: np.random.Generator) -> None:
        self.sigma = load.service_sigma
        self.mu = np.log(load.service_ms / MS_PER_S) - load.service_sigma**2 / 2
        self.rng = rng
        self._drawn_s: list[float] = []

    def draw_s(self) -> float:
        """Draw a service time in seconds."""
        if not self._drawn_s:
            self._drawn_s = self.rng.lognormal(self.mu, self.sigma, DRAW_BATCH_SIZE).tolist()
        return self._drawn_s.pop()


class RequestLoad:
    """One Poisson stream of arrivals for all sidecars, in place of one stream for each.

    Several Poisson streams together are a Poisson stream whose rate is the sum of their rates.

    Args:
        rng: a random number generator that nothing else uses.
        sidecars: the number of sidecars.
        send: called with the index of the sidecar that a request goes to.
        record_lateness: called with the lateness of each request, in seconds.
    """

    def __init__(
        self,
        rng: np.random.Generator,
        sidecars: int,
        send: Callable[[int], None],
        record_lateness: Callable[[float], None],
    ) -> None:
        self.rng = rng
        self.sidecars = sidecars
        self.send = send
        self.record_lateness = record_lateness
        self._requests_per_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def set_rate(self, requests_per_s: float) -> None:
        """Set the rate of requests of each sidecar; 0 ends the load."""
        self._requests_per_s = requests_per_s
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if requests_per_s > 0:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        """Send each request when it is due by the clock: a slow event loop must not reduce the load."""
        due_s = time.monotonic()
        while True:
            gaps = self.rng.exponential(1.0, DRAW_BATCH_SIZE).tolist()
            choices = self.rng.random(DRAW_BATCH_SIZE).tolist()
            for gap, choice in zip(gaps, choices, strict=True):
                due_s += gap / (self._requests_per_s * self.sidecars)
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                self.record_lateness(time.monotonic() - due_s)
                self.send(int(choice * self.sidecars))
