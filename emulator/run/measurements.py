"""Computes the measurements of a run from its observations. Does no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import numpy as np

from emulator.run.observations import Snapshot, Window
from emulator.run.records import Measurement
from emulator.run.scenario_runner import ScenarioRunner
from emulator.run.timeline import (
    NS_PER_S,
    ListChange,
    arrivals_on_new_connections,
    first_notified_s,
    last_applied_s,
    last_call_s,
    last_notified_s,
    running_at,
)

PROFILE_DURATION_S = 10.0  # period after an event for which calls to discovery are counted
PROFILE_STEP_S = 0.1
NOTIFICATION_BOUND_S = 6  # the protocol requires that a sidecar is notified of a change within this time
OUTAGE_MEASUREMENT = "outage"
START_MEASUREMENT = "start"  # the start of all sidecars at the beginning of the run


def measure(runner: ScenarioRunner) -> list[Measurement]:
    """Return all measurements of a run; the first, the emulator's lateness, decides whether all are valid."""
    return _Measurements(runner).compute()


def summarize(values: Sequence[float]) -> dict[str, float]:
    """Return the number of values, their minimum, median and maximum, with the keys of the records."""
    return {
        "count": len(values),
        "least": round(min(values), 4),
        "median": round(float(np.median(values)), 4),
        "most": round(max(values), 4),
    }


class _Measurements:
    """Computes the measurements of one run; their names and the keys of their details go into the records."""

    def __init__(self, runner: ScenarioRunner) -> None:
        self.runner = runner
        self.observations = runner.observations
        self.statistics = runner.server.statistics
        self.valid = self.observations.lateness.worst_ms <= runner.scenario.max_lateness_ms
        self.measurements: list[Measurement] = []

    def compute(self) -> list[Measurement]:
        self._add_lateness()
        self._add_calls()
        self._add_starts()
        for name, window in self.observations.windows.items():
            self._add_window(name, window)
        self._add_changes()
        for at_ns in self.observations.outage_ends_ns:
            self._add_outage_end(at_ns)
        self._add_settings()
        return self.measurements

    def _add(self, name: str, value: float | None, unit: str, note: str = "", **detail: Any) -> None:
        rounded = None if value is None else round(value, 4)
        scenario, size = self.runner.scenario.name, self.runner.size
        self.measurements.append(Measurement(scenario, size, name, rounded, unit, self.valid, note, detail))

    # --- the run ---

    def _add_lateness(self) -> None:
        lateness = self.observations.lateness
        note = "the worst of its loops"
        self._add(
            "emulator.late_p99",
            lateness.worst_ms,
            "ms",
            note if self.valid else "it could not hold its own times: the run counts for nothing",
            most_ms=round(lateness.simulated_max_ms, 1),
            discovery_p99_ms=round(lateness.runner_p99_ms, 2),
            bound_ms=self.runner.scenario.max_lateness_ms,
            by_stretch_ms=[round(p99, 1) for p99 in lateness.simulated_p99_ms],
        )

    def _add_calls(self) -> None:
        statistics = self.statistics
        failed = {"failed": statistics.failed} if statistics.failed else {}
        self._add(
            "run.calls",
            statistics.polls.total(),
            "calls",
            "on discovery, all the run",
            peak_per_s=statistics.peak_per_s,
            kinds={form.value: count for form, count in statistics.polls.items()} | failed,
            per_second=statistics.count_per_second(),
            bytes_out=statistics.bytes_out,
            synthetic=dict(self.observations.outcomes),
        )

    def _profile(self, since_ns: int) -> dict[str, Any]:
        """Return the calls to discovery after a time: by 100 ms, the peak second, and the total of 6 s."""
        since_s = since_ns / NS_PER_S
        profile = self.statistics.count_per_step(since_s, since_s + PROFILE_DURATION_S, PROFILE_STEP_S)
        per_second = round(1 / PROFILE_STEP_S)
        peak = max(sum(profile[i : i + per_second]) for i in range(len(profile) - per_second + 1))
        calls_in_6s = sum(profile[: NOTIFICATION_BOUND_S * per_second])
        return {"calls_per_100ms": profile, "peak_in_1s": peak, "calls_in_6s": calls_in_6s}

    def _add_starts(self) -> None:
        for step, at_ns in self.observations.starts:
            at_s, count = at_ns / NS_PER_S, len(step.sidecars)
            arrivals = arrivals_on_new_connections(at_s, self.statistics.arrivals)
            if step.measurement == START_MEASUREMENT:
                # Real sidecars start at the same time, or have called before: count all calls of the run.
                count, arrivals = self.runner.sidecar_count, self.statistics.arrivals
            self._add(
                f"{step.measurement}.last_asked",
                last_call_s(at_s, count, arrivals),
                "s",
                f"{count} sidecars, spread over {step.spread_s:g} s",
                **self._profile(at_ns),
            )

    # --- windows ---

    def _add_window(self, name: str, window: Window) -> None:
        opened, closed = window
        seconds = closed.at_s - opened.at_s
        calls, bytes_moved = closed.calls - opened.calls, closed.bytes_moved - opened.bytes_moved
        busy_s = closed.busy_s - opened.busy_s
        self._add(f"{name}.calls_per_s", calls / seconds, "1/s", "on discovery")
        per_sidecar = bytes_moved / seconds / self.runner.sidecar_count
        self._add(f"{name}.bytes_per_s", per_sidecar, "B/s", "discovery, each sidecar")
        self._add(f"{name}.discovery_busy", 100 * busy_s / seconds, "%", "assumed costs")
        self._add_simulated_usage(name, opened, closed, seconds)
        if closed.real:
            self._add_real_usage(name, opened, closed, seconds)

    def _add_simulated_usage(self, name: str, opened: Snapshot, closed: Snapshot, seconds: float) -> None:
        size = self.runner.size
        pairs = list(zip(opened.samples, closed.samples, strict=True))
        cpu_s = sum(after.cpu_s - before.cpu_s for before, after in pairs)
        requests = sum(after.requests - before.requests for before, after in pairs)
        rss_mb = sum(sample.rss_mb for sample in closed.samples)
        initial_mb = sum(sample.initial_rss_mb for sample in closed.samples)
        self._add(
            f"{name}.cpu",
            100 * cpu_s / seconds / size,
            "% of a core",
            "each simulated sidecar, with its share of the emulator's own",
            synthetic_calls_per_s=round(requests / seconds / size, 3),
        )
        self._add(
            f"{name}.rss",
            (rss_mb - initial_mb) / size,
            "MB",
            "each simulated sidecar, above an empty process; they share one copy of the initial list",
            processes_mb=round(rss_mb, 1),
            base_mb=round(initial_mb, 1),
        )

    def _add_real_usage(self, name: str, opened: Snapshot, closed: Snapshot, seconds: float) -> None:
        pairs = zip(opened.real, closed.real, strict=True)
        shares = [100 * (after.cpu_s - before.cpu_s) / seconds for before, after in pairs]
        mean_mb = sum(usage.resident_mb for usage in closed.real) / len(closed.real)
        self._add(f"{name}.real_cpu", sum(shares) / len(shares), "% of a core", "each real sidecar, idle")
        self._add(f"{name}.real_rss", mean_mb, "MB", "each real sidecar, in all")

    # --- changes of lists ---

    def _add_changes(self) -> None:
        by_name: dict[str, list[ListChange]] = {}
        for change in self.observations.changes:
            if change.measurement != OUTAGE_MEASUREMENT:
                by_name.setdefault(change.measurement, []).append(change)
        for name, changes in by_name.items():
            self._add_last_applied(name, changes)

    def _add_last_applied(self, name: str, changes: Sequence[ListChange]) -> None:
        times_s = [
            last_applied_s(change, self._running(change), self.observations.notifications)
            for change in changes
        ]
        applied_s = [last_s for last_s in times_s if last_s is not None]
        missing = len(times_s) - len(applied_s)
        self._add(
            f"{name}.last_applied",
            None if missing else max(applied_s),
            "s",
            f"{missing} of {len(times_s)} changes did not reach all" if missing else "the slowest change",
            **(summarize(applied_s) if applied_s else {}),
        )

    def _running(self, change: ListChange) -> list[int]:
        sidecars = self.runner.sidecars_by_service[change.service]
        return running_at(change.at_ns, sidecars, self.observations.transitions())

    # --- ends of outages ---

    def _add_outage_end(self, at_ns: int) -> None:
        profile = self._profile(at_ns)
        note = "after discovery's return"
        at_s = at_ns / NS_PER_S
        arrivals = arrivals_on_new_connections(at_s, self.statistics.arrivals)
        last_s = last_call_s(at_s, self.runner.sidecar_count, arrivals)
        self._add("outage.last_asked", last_s, "s", note, **profile)
        self._add_last_notified(at_ns, note)
        peak = profile["peak_in_1s"]
        self._add("outage.peak", peak, "calls", "in the busiest second after the return")
        self._add("outage.failed", self.statistics.failed, "calls", "answered 503, all the run")

    def _add_last_notified(self, at_ns: int, note: str) -> None:
        sidecars = range(self.runner.size)
        notifications = self.observations.notifications
        firsts_s = [first_notified_s(at_ns, notifications.get(number, ())) for number in sidecars]
        notified_s = [first_s for first_s in firsts_s if first_s is not None]
        detail: dict[str, Any] = {}
        if notified_s:
            in_time = sum(first_s <= NOTIFICATION_BOUND_S for first_s in notified_s)
            detail = {**summarize(notified_s), "told_within_6s": in_time}
        self._add(
            "outage.last_told",
            last_notified_s(at_ns, sidecars, notifications),
            "s",
            f"{note}; {len(notified_s)} of {self.runner.size} were notified",
            **detail,
        )

    # --- settings ---

    def _add_settings(self) -> None:
        for revision, at_ns in self.observations.reloads_ns.items():
            applied_at_ns = self.observations.applied_settings.get(revision, {})
            times_s = [(applied_ns - at_ns) / NS_PER_S for applied_ns in applied_at_ns.values()]
            complete = len(times_s) == self.runner.size
            self._add(
                "settings.last_in_force",
                max(times_s) if complete else None,
                "s",
                "" if complete else f"incomplete: in force at {len(times_s)} of {self.runner.size}",
                **self._profile(at_ns),
            )
