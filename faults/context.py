"""The objects that the processes, the clients and the injected faults of one soak share."""

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
    """The time that remained until SIGKILL when processes exited after SIGTERM."""

    count: int = 0
    min_margin_s: float = float("inf")

    def record(self, margin_s: float) -> None:
        """Record a process that exited `margin_s` seconds before SIGKILL was due."""
        self.count += 1
        self.min_margin_s = min(self.min_margin_s, margin_s)


@dataclass(frozen=True, slots=True)
class SoakContext:
    """The plan of a soak, its random numbers, and the objects that record what happens."""

    plan: Plan
    rng: random.Random
    notifications: Notifications
    oracle: Oracle
    discovery: FaultyDiscovery
    preload_library: Path  # the library that makes system calls of the sidecars fail
    command: str  # the shell command that starts a sidecar
    shutdowns: ShutdownTimes = field(default_factory=ShutdownTimes)
