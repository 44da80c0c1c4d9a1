"""What a soak plays: sizes, settings and faults, drawn from a seed or stated."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

US_PER_S = 1_000_000
KILL_MARGIN_S = 0.7  # SIGKILL comes the longest deadline, and this, after SIGTERM
LONGEST_COUNTED_S = 3.0  # a longer deadline counts as this there
DEADLINE_SHARES = (0.15, 0.3, 0.6, 1.0)  # of the longest deadline, that clients have
LEAST_DEADLINE_S = 0.1
LATENCY_OBJECTIVE_SHARE = 0.4  # of the longest deadline
CLASSES = (("look", "idempotent"), ("hold", "deduplicated"), ("pay", "at_most_once"))
PUSHED_SHARE = 0.25  # of the seeds
IN_PIECES_SHARE = 0.5
OMITS_DRAINING_SHARE = 0.5
IDLE_CLIENTS_SHARE = 0.35
OVERLOADED_SHARE = 0.4  # of the seeds whose lists are polled for
ROUNDS_S = (1.0, 1.5, 2.0)  # that an overloaded discovery needs for one call of every sidecar
QUEUE_LIMIT_S = 2.5
OVERLOADED_ENDPOINTS = 5


class Fault(Enum):
    """A fault that a soak injects; the values stand in its report."""

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
    RESET_WATCHES = "reset watches"
    EXHAUST_DESCRIPTORS = "exhaust descriptors"


# Drawn from evenly: what stands here twice comes twice as often. A kept seed plays by the order.
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
    Fault.RESET_WATCHES,
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
    """How discovery serves."""

    cost_s: float = 0.0  # of each poll and of each response to a watch, one after another
    rejection_cost_share: float = 0.05  # of that cost, that rejecting a poll costs
    capacity: int = 1_000  # polls that may wait for their turn; more are rejected at once
    queue_limit_s: float | None = None  # a poll that would wait for longer is rejected after so long
    lost_share: float = 0.0  # of responses: kept back, truncated or broken off
    in_pieces: bool = False  # responses are written in small pieces
    full_list_share: float = 0.0  # of responses that could be changes alone, those that are the full list
    omits_draining: bool = False  # full lists leave out draining endpoints


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak."""

    seed: int
    sidecars: int
    endpoints: int
    seconds: float
    pushed: bool = False
    longest_deadline_s: float = 2.5
    drain_grace_s: float = 1.5
    deduplication_window_s: float = 1.5
    sockets: tuple[int, ...] = (128, 512)  # limits that a sidecar may be configured with
    discovery: DiscoveryProfile = field(default_factory=DiscoveryProfile)
    faults: tuple[Fault, ...] = FAULTS
    mean_fault_interval_s: float = 0.3
    endpoint_fault_scale: float = 1.0  # times the usual share of responses that fail

    @property
    def kill_after_s(self) -> float:
        """How long after SIGTERM a process is killed: the earliest that the protocol allows."""
        return min(self.longest_deadline_s, LONGEST_COUNTED_S) + KILL_MARGIN_S

    @property
    def deadlines_s(self) -> tuple[float, ...]:
        """The deadlines that clients draw from, in seconds."""
        return tuple(max(LEAST_DEADLINE_S, share * self.longest_deadline_s) for share in DEADLINE_SHARES)

    def settings(self) -> dict[str, Any]:
        """Return the settings of a sidecar, with the keys of the protocol."""
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
                "AimUs": int(LATENCY_OBJECTIVE_SHARE * self.longest_deadline_s * US_PER_S),
                "DeadlineUs": int(self.longest_deadline_s * US_PER_S),
                "LateShare": 0.5,
            }
            for name, effect in CLASSES
        ]
        classes[1] |= {"Group": "all", "DedupWindowUs": int(self.deduplication_window_s * US_PER_S)}
        return classes

    def text(self) -> str:
        """Return the settings that were drawn, in one line."""
        discovery = self.discovery
        idle_clients = Fault.EXHAUST_DESCRIPTORS in self.faults
        return (
            f"{'push' if self.pushed else 'poll'}, deadline {self.longest_deadline_s:g} s,"
            f" grace {self.drain_grace_s:g} s, window {self.deduplication_window_s:g} s,"
            f" sockets {self.sockets}; discovery {discovery.cost_s:g} s a poll, capacity"
            f" {discovery.capacity}, {discovery.lost_share:.0%} lost, idle clients {idle_clients}"
        )


def draw_plan(seed: int, sidecars: int, endpoints: int, seconds: float) -> Plan:
    """Return a soak with all faults, its settings drawn from the seed."""
    rng = random.Random(f"plan-{seed}")
    pushed = rng.random() < PUSHED_SHARE
    # Where lists are pushed an agent stands at each sidecar: it is not overloaded and loses no responses.
    discovery = DiscoveryProfile(
        cost_s=0.0 if pushed else rng.choice((0.0, 0.005, 0.02, 1.0 / sidecars / 6)),
        capacity=rng.choice((1, 4, 1_000)),
        lost_share=0.0 if pushed else rng.choice((0.0, 0.0, 0.03)),
        in_pieces=rng.random() < IN_PIECES_SHARE,
        full_list_share=rng.choice((0.0, 0.3)),
        omits_draining=rng.random() < OMITS_DRAINING_SHARE,
    )
    plan = Plan(
        seed,
        sidecars,
        endpoints,
        seconds,
        pushed=pushed,
        longest_deadline_s=rng.choice((0.3, 0.7, 1.5, 2.5, 3.0)),
        drain_grace_s=rng.choice((0.8, 1.5, 2.5)),
        deduplication_window_s=rng.choice((0.6, 1.5, 4.0)),
        sockets=rng.choice(((96,), (128, 512), (256, 1024))),
        discovery=discovery,
        faults=(*FAULTS, Fault.EXHAUST_DESCRIPTORS) if rng.random() < IDLE_CLIENTS_SHARE else FAULTS,
    )
    # Drawn last, so that the other settings of a seed stay as they were.
    if not pushed and rng.random() < OVERLOADED_SHARE:
        return replace(plan, discovery=_draw_overloaded(rng, sidecars, discovery))
    return plan


def _draw_overloaded(rng: random.Random, sidecars: int, discovery: DiscoveryProfile) -> DiscoveryProfile:
    """Return a discovery that is kept busy by its sidecars, with a short queue, a long one or a line."""
    return replace(
        discovery,
        cost_s=rng.choice(ROUNDS_S) / sidecars,
        capacity=rng.choice((0, 1, 2, sidecars - 1, 1_000)),
        queue_limit_s=rng.choice((None, QUEUE_LIMIT_S)),
        lost_share=0.0,
    )


def overloaded_plan(seed: int, sidecars: int, seconds: float, discovery: DiscoveryProfile) -> Plan:
    """Return a soak of reloads that move discovery, and drains, at a discovery that is slow or lossy."""
    return Plan(
        seed,
        sidecars,
        OVERLOADED_ENDPOINTS,
        seconds,
        discovery=discovery,
        faults=OVERLOADED_DISCOVERY_FAULTS,
        mean_fault_interval_s=min(0.5, 2.0 / sidecars),
        endpoint_fault_scale=0.0,
    )
