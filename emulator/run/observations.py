"""The observations of a run: its steps with their times, and the reports of its processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import numpy as np

from emulator.run.processes import RealUsage
from emulator.run.timeline import ListChange, Transition
from emulator.scenario.plan import KillSidecars, StartSidecars
from emulator.simulated_sidecars.messages import Notification, Sample


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All counters at one monotonic time."""

    at_s: float
    samples: Sequence[Sample]
    calls: int  # calls that discovery received
    bytes_moved: int  # bytes that discovery sent and received
    busy_s: float  # service time that discovery has spent
    real: Sequence[RealUsage]


class Window(NamedTuple):
    """The snapshots at both ends of a measurement window."""

    opened: Snapshot
    closed: Snapshot


class TimedStart(NamedTuple):
    """A start of sidecars and its monotonic time."""

    step: StartSidecars
    at_ns: int


class TimedKill(NamedTuple):
    """A kill of sidecars and its monotonic time."""

    step: KillSidecars
    at_ns: int


@dataclass(slots=True)
class Lateness:
    """The lateness of the event loops; the worst interval between two samples decides."""

    simulated_p99_ms: list[float] = field(default_factory=list)  # by interval, of the worst process
    simulated_max_ms: float = 0.0
    runner_p99_ms: float = 0.0  # worst interval of the loop that runs discovery
    # The lateness of the loop that runs discovery, sampled in the current interval.
    runner_lateness_s: list[float] = field(default_factory=list)

    def add_samples(self, samples: Sequence[Sample]) -> None:
        """Record the samples of all processes, which ends the current interval."""
        if self.runner_lateness_s:
            self.runner_p99_ms = max(
                self.runner_p99_ms, float(np.percentile(self.runner_lateness_s, 99)) * 1000
            )
            self.runner_lateness_s.clear()
        self.simulated_p99_ms.append(max(sample.lateness_p99_ms for sample in samples))
        latest_ms = max(sample.lateness_max_ms for sample in samples)
        self.simulated_max_ms = max(self.simulated_max_ms, latest_ms)

    @property
    def worst_ms(self) -> float:
        """The 99th percentile of the worst interval of any loop, in milliseconds."""
        return max(*self.simulated_p99_ms, self.runner_p99_ms)


@dataclass(slots=True)
class Observations:
    """Everything from which the measurements are computed; times are monotonic."""

    changes: list[ListChange] = field(default_factory=list)
    notifications: dict[int, list[Notification]] = field(default_factory=dict)  # by sidecar
    # The times in nanoseconds at which settings were applied, by revision and by sidecar.
    applied_settings: dict[int, dict[int, int]] = field(default_factory=dict)
    reloads_ns: dict[int, int] = field(default_factory=dict)  # times of the reload commands, by revision
    outage_ends_ns: list[int] = field(default_factory=list)  # times at which discovery returned
    kills: list[TimedKill] = field(default_factory=list)
    starts: list[TimedStart] = field(default_factory=list)
    windows: dict[str, Window] = field(default_factory=dict)
    lateness: Lateness = field(default_factory=Lateness)
    outcomes: Counter[str] = field(default_factory=Counter)  # of synthetic requests

    def transitions(self) -> list[Transition]:
        """Return all starts and kills."""
        kills = [Transition(at_ns, kill.sidecars, False) for kill, at_ns in self.kills]
        return kills + [Transition(at_ns, start.sidecars, True) for start, at_ns in self.starts]

    def add_samples(self, samples: Sequence[Sample]) -> None:
        """Record one sample from each process."""
        self.lateness.add_samples(samples)
        self.outcomes.clear()
        for sample in samples:
            for notification in sample.notifications:
                self.notifications.setdefault(notification.sidecar, []).append(notification)
            for applied in sample.applied_settings:
                self.applied_settings.setdefault(applied.revision, {})[applied.sidecar] = applied.at_ns
            self.outcomes.update(sample.outcomes)
