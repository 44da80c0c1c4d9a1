"""What the processes, the clients and the injected faults of one soak share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path

from faults.discovery import FaultyDiscovery
from faults.notifications import Notifications
from faults.oracle import Oracle
from faults.plan import Plan


@dataclass(slots=True)
class ShutdownTimes:
    """How much time was left before SIGKILL when processes ended after SIGTERM."""

    count: int = 0
    least_margin_s: float = float("inf")

    def add(self, margin_s: float) -> None:
        """Note a process that ended `margin_s` seconds before its SIGKILL."""
        self.count += 1
        self.least_margin_s = min(self.least_margin_s, margin_s)


@dataclass(frozen=True, slots=True)
class SoakContext:
    """The plan of a soak, its random numbers, and the parts that all others report to."""

    plan: Plan
    rng: random.Random
    notifications: Notifications
    oracle: Oracle
    discovery: FaultyDiscovery
    library: Path  # the preloaded library that makes system calls fail
    command: str  # that starts a sidecar
    shutdowns: ShutdownTimes = field(default_factory=ShutdownTimes)
