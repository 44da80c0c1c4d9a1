"""The plan of a soak: its sizes, settings and faults, drawn from a seed or given by the caller."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

US_PER_S = 1_000_000
KILL_MARGIN_S = 0.7  # SIGKILL is sent this long after SIGTERM plus the maximum deadline
# A longer maximum deadline is counted as this one in the time from SIGTERM to SIGKILL.
MAX_KILL_DEADLINE_S = 3.0
DEADLINE_SHARES = (0.15, 0.3, 0.6, 1.0)  # the deadlines of clients, as shares of the maximum deadline
MIN_DEADLINE_S = 0.1  # the lower limit of the deadlines of clients
LATENCY_OBJECTIVE_SHARE = 0.4  # the latency objective, as a share of the maximum deadline
# The name of each request class, and what sending its requests twice does (the setting `Effect`).
REQUEST_CLASSES = (("look", "idempotent"), ("hold", "deduplicated"), ("pay", "at_most_once"))
PUSHED_SHARE = 0.25  # share of seeds with pushed lists
SPLIT_RESPONSES_SHARE = 0.5  # share of seeds whose discovery writes responses in small pieces
OMITS_DRAINING_SHARE = 0.5  # share of seeds whose full lists leave out draining endpoints
IDLE_CLIENTS_SHARE = 0.35  # share of seeds with idle clients that exhaust a sidecar's descriptors
OVERLOADED_SHARE = 0.4  # share of the seeds without pushed lists whose discovery is overloaded
OVERLOADED_ROUND_S = (1.0, 1.5, 2.0)  # the time that an overloaded discovery needs for one call per sidecar
QUEUE_LIMIT_S = 2.5  # the longest wait in an overloaded discovery's queue, for the seeds that limit it
OVERLOADED_PLAN_ENDPOINTS = 5


class Fault(Enum):
    """A fault that a soak injects; the report prints the values."""

    RESTART = "restart"
    KILL = "kill"
    RELOAD = "reload"
    MOVE_DISCOVERY = "move discovery"
    STALL_PROCESS = "stall a process"
    STEP_CLOCK = "step the clock"
    FAIL_SYSTEM_CALLS = "fail system calls"
    DISCOVERY_OUTAGE = "discovery outage"
    DRAIN_ENDPOINT = "drain an endpoint"
    RESTORE_ENDPOINT = "restore an endpoint"
    BREAK_CONNECTIONS = "break connections"
    FAIL_ENDPOINT = "fail an endpoint"
    CORRUPT_CONFIG = "corrupt a configuration"
    RESET_DISCOVERY_CONNECTIONS = "reset discovery connections"
    EXHAUST_DESCRIPTORS = "exhaust descriptors"


# Faults are drawn from this tuple with equal probability, so a fault that is listed twice is injected twice
# as often. The order must not change: it determines which faults a given seed draws.
FAULTS = (
    Fault.RESTART,
    Fault.RESTART,
    Fault.KILL,
    Fault.RELOAD,
    Fault.MOVE_DISCOVERY,
    Fault.MOVE_DISCOVERY,
    Fault.STALL_PROCESS,
    Fault.STEP_CLOCK,
    Fault.FAIL_SYSTEM_CALLS,
    Fault.FAIL_SYSTEM_CALLS,
    Fault.DISCOVERY_OUTAGE,
    Fault.DRAIN_ENDPOINT,
    Fault.DRAIN_ENDPOINT,
    Fault.RESTORE_ENDPOINT,
    Fault.BREAK_CONNECTIONS,
    Fault.FAIL_ENDPOINT,
    Fault.CORRUPT_CONFIG,
    Fault.RESET_DISCOVERY_CONNECTIONS,
)
OVERLOADED_DISCOVERY_FAULTS = (
    Fault.MOVE_DISCOVERY,
    Fault.MOVE_DISCOVERY,
    Fault.MOVE_DISCOVERY,
    Fault.DRAIN_ENDPOINT,
    Fault.DRAIN_ENDPOINT,
    Fault.RESTORE_ENDPOINT,
)


@dataclass(frozen=True, slots=True)
class DiscoveryProfile:
    """How fast discovery responds to calls, which calls it rejects, and how it writes or loses responses."""

    # The time for one call. Discovery serves calls one after another. A watch that has to wait for a change
    # takes this time once when it arrives and once more for its response.
    service_time_s: float = 0.0
    rejection_time_share: float = 0.05  # the time that rejecting a call takes, as a share of the service time
    capacity: int = 1_000  # calls that may wait in the queue; further calls are rejected at once
    queue_limit_s: float | None = None  # a call that would wait longer is rejected after this time
    lost_share: float = 0.0  # share of responses that are withheld, stalled halfway or truncated
    split_responses: bool = False  # whether responses are written in small pieces
    full_list_share: float = 0.0  # share of full lists among the responses that could hold just the changes
    omits_draining: bool = False  # whether full lists leave out draining endpoints


@dataclass(frozen=True, slots=True)
class Plan:
    """The sizes, settings and faults of one soak."""

    seed: int
    sidecars: int
    endpoints: int
    seconds: float
    pushed: bool = False  # whether the settings say that lists are pushed to the sidecars
    max_deadline_s: float = 2.5
    drain_grace_s: float = 1.5
    deduplication_window_s: float = 1.5
    socket_limits: tuple[int, ...] = (128, 512)  # each written configuration gets one of these limits
    discovery: DiscoveryProfile = field(default_factory=DiscoveryProfile)
    faults: tuple[Fault, ...] = FAULTS
    mean_fault_interval_s: float = 0.3
    endpoint_fault_scale: float = 1.0  # factor on the default shares of attempts that endpoints fail

    @property
    def kill_after_s(self) -> float:
        """The time from SIGTERM until a process is killed: the shortest that the protocol allows."""
        return min(self.max_deadline_s, MAX_KILL_DEADLINE_S) + KILL_MARGIN_S

    @property
    def deadlines_s(self) -> tuple[float, ...]:
        """The deadlines from which clients draw one for each request, in seconds."""
        return tuple(max(MIN_DEADLINE_S, share * self.max_deadline_s) for share in DEADLINE_SHARES)

    def settings(self) -> dict[str, Any]:
        """Return the settings of a sidecar under the protocol's keys."""
        return {
            "Categories": self._class_settings(),
            "Allowed": {
                "MaxAttempts": 4,
                "MayCancel": True,
                "RetryAfter": True,
                "ConnIdleUs": 3_000_000,
                "ConnectTimeoutUs": 250_000,
            },
            "Rules": {
                "ColdUs": 3_000_000,
                "ColdFrom": 0.3,
                "DrainGraceUs": int(self.drain_grace_s * US_PER_S),
                "AskEveryUs": 10_000_000,
            },
            "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 10_000.0}],
            "Discovery": "push" if self.pushed else "ask",
            "MyZone": "a",
            "Tiers": ["one"],
        }

    def _class_settings(self) -> list[dict[str, Any]]:
        classes: list[dict[str, Any]] = [
            {
                "Name": name,
                "Effect": effect,
                "AimUs": int(LATENCY_OBJECTIVE_SHARE * self.max_deadline_s * US_PER_S),
                "DeadlineUs": int(self.max_deadline_s * US_PER_S),
                "LateShare": 0.5,
            }
            for name, effect in REQUEST_CLASSES
        ]
        classes[1] |= {"Group": "all", "DedupWindowUs": int(self.deduplication_window_s * US_PER_S)}
        return classes

    def describe(self) -> str:
        """Return the drawn settings in one line of text."""
        discovery = self.discovery
        idle_clients = Fault.EXHAUST_DESCRIPTORS in self.faults
        return (
            f"{'push' if self.pushed else 'poll'}, deadline {self.max_deadline_s:g} s,"
            f" grace {self.drain_grace_s:g} s, window {self.deduplication_window_s:g} s,"
            f" sockets {self.socket_limits}; discovery {discovery.service_time_s:g} s per call, capacity"
            f" {discovery.capacity}, {discovery.lost_share:.0%} lost, idle clients {idle_clients}"
        )


def draw_plan(seed: int, sidecars: int, endpoints: int, seconds: float) -> Plan:
    """Return a plan with all faults, whose settings are drawn from the seed."""
    rng = random.Random(f"plan-{seed}")
    pushed = rng.random() < PUSHED_SHARE
    # Pushed lists come from an agent beside each sidecar, which is not overloaded and loses no responses.
    discovery = DiscoveryProfile(
        service_time_s=0.0 if pushed else rng.choice((0.0, 0.005, 0.02, 1.0 / sidecars / 6)),
        capacity=rng.choice((1, 4, 1_000)),
        lost_share=0.0 if pushed else rng.choice((0.0, 0.0, 0.03)),
        split_responses=rng.random() < SPLIT_RESPONSES_SHARE,
        full_list_share=rng.choice((0.0, 0.3)),
        omits_draining=rng.random() < OMITS_DRAINING_SHARE,
    )
    plan = Plan(
        seed,
        sidecars,
        endpoints,
        seconds,
        pushed=pushed,
        max_deadline_s=rng.choice((0.3, 0.7, 1.5, 2.5, 3.0)),
        drain_grace_s=rng.choice((0.8, 1.5, 2.5)),
        deduplication_window_s=rng.choice((0.6, 1.5, 4.0)),
        socket_limits=rng.choice(((96,), (128, 512), (256, 1024))),
        discovery=discovery,
        faults=(*FAULTS, Fault.EXHAUST_DESCRIPTORS) if rng.random() < IDLE_CLIENTS_SHARE else FAULTS,
    )
    # Drawn last, so that the other settings of a given seed do not depend on it.
    if not pushed and rng.random() < OVERLOADED_SHARE:
        return replace(plan, discovery=_draw_overloaded(rng, sidecars, discovery))
    return plan


def _draw_overloaded(rng: random.Random, sidecars: int, discovery: DiscoveryProfile) -> DiscoveryProfile:
    """Return a profile of a discovery that its sidecars keep busy.

    Its queue is short, or has room for one call of every sidecar, or is practically unlimited.
    """
    return replace(
        discovery,
        service_time_s=rng.choice(OVERLOADED_ROUND_S) / sidecars,
        capacity=rng.choice((0, 1, 2, sidecars - 1, 1_000)),
        queue_limit_s=rng.choice((None, QUEUE_LIMIT_S)),
        lost_share=0.0,
    )


def overloaded_plan(seed: int, sidecars: int, seconds: float, discovery: DiscoveryProfile) -> Plan:
    """Return a plan of drains and of reloads that move discovery, with a discovery that is slow or lossy."""
    return Plan(
        seed,
        sidecars,
        OVERLOADED_PLAN_ENDPOINTS,
        seconds,
        discovery=discovery,
        faults=OVERLOADED_DISCOVERY_FAULTS,
        mean_fault_interval_s=min(0.5, 2.0 / sidecars),
        endpoint_fault_scale=0.0,
    )
