"""What a soak plays: sizes, settings and troubles, drawn from a seed or stated."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from faults.discovery import Shape

MILLION = 1_000_000
KILL_MARGIN_S = 0.7  # SIGKILL comes the longest deadline, and this, after SIGTERM
LONGEST_COUNTED_S = 3.0  # a longer deadline counts as this there
DEADLINE_SHARES = (0.15, 0.3, 0.6, 1.0)  # of the longest deadline, that clients have
LEAST_DEADLINE_S = 0.1
CLASSES = (("look", "idempotent"), ("hold", "deduplicated"), ("pay", "at_most_once"))
TROUBLES = (
    "restart", "restart", "kill_one", "reload", "move", "move", "hold_up", "step_clock", "fail_calls",
    "fail_calls", "outage", "drain", "drain", "give_back", "break_connections", "jam", "spoil_config",
    "end_watches",
)  # fmt: skip
CROWDED_TROUBLES = ("move", "move", "move", "drain", "drain", "give_back")


@dataclass(frozen=True, slots=True)
class Plan:
    """One soak."""

    seed: int
    sidecars: int
    endpoints: int
    seconds: float
    pushed: bool = False
    longest_s: float = 2.5  # deadline
    grace_s: float = 1.5  # of a drain
    window_s: float = 1.5  # of deduplication
    sockets: tuple[int, ...] = (128, 512)  # limits that a sidecar may be told
    discovery: Shape = field(default_factory=Shape)
    troubles: tuple[str, ...] = TROUBLES
    trouble_every_s: float = 0.3  # in the mean
    endpoint_trouble: float = 1.0  # times the usual share of answers that fail

    @property
    def kill_after_s(self) -> float:
        """How long after SIGTERM a process is killed: the earliest that the protocol allows."""
        return min(self.longest_s, LONGEST_COUNTED_S) + KILL_MARGIN_S

    @property
    def deadlines_s(self) -> tuple[float, ...]:
        """What clients wait for at most."""
        return tuple(max(LEAST_DEADLINE_S, share * self.longest_s) for share in DEADLINE_SHARES)

    def settings(self) -> dict[str, Any]:
        """The settings of a sidecar, with the keys of the protocol."""
        classes: list[dict[str, Any]] = [
            {
                "Name": name,
                "Effect": effect,
                "AimUs": int(0.4 * self.longest_s * MILLION),
                "DeadlineUs": int(self.longest_s * MILLION),
                "LateShare": 0.5,
            }
            for name, effect in CLASSES
        ]
        classes[1] |= {"Group": "all", "DedupWindowUs": int(self.window_s * MILLION)}
        return {
            "Categories": classes,
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
                "DrainGraceUs": int(self.grace_s * MILLION),
                "AskEveryUs": 10_000_000,
            },
            "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 10_000.0}],
            "Discovery": "push" if self.pushed else "ask",
            "MyZone": "a",
            "Tiers": ["one"],
        }

    def text(self) -> str:
        """The settings that were drawn, in one line."""
        shape = self.discovery
        return (
            f"{'push' if self.pushed else 'ask'}, deadline {self.longest_s:g} s, grace {self.grace_s:g} s,"
            f" window {self.window_s:g} s, sockets {self.sockets}; discovery {shape.cost_s:g} s a call, room"
            f" {shape.room}, {shape.lost_share:.0%} lost, crowd {'crowd' in self.troubles}"
        )


def drawn(seed: int, sidecars: int, endpoints: int, seconds: float) -> Plan:
    """A soak with all troubles, its settings drawn from the seed."""
    rng = random.Random(f"plan-{seed}")
    pushed = rng.random() < 0.25
    # Where lists are pushed there is an agent at each sidecar: it is not crowded, and loses no answers.
    shape = Shape(
        cost_s=0.0 if pushed else rng.choice((0.0, 0.005, 0.02, 1.0 / sidecars / 6)),
        room=rng.choice((1, 4, 1_000)),
        lost_share=0.0 if pushed else rng.choice((0.0, 0.0, 0.03)),
        pieces=rng.random() < 0.5,
        whole_share=rng.choice((0.0, 0.3)),
        omits_draining=rng.random() < 0.5,
    )
    return Plan(
        seed,
        sidecars,
        endpoints,
        seconds,
        pushed=pushed,
        longest_s=rng.choice((0.3, 0.7, 1.5, 2.5, 3.0)),
        grace_s=rng.choice((0.8, 1.5, 2.5)),
        window_s=rng.choice((0.6, 1.5, 4.0)),
        sockets=rng.choice(((96,), (128, 512), (256, 1024))),
        discovery=shape,
        troubles=(*TROUBLES, "crowd") if rng.random() < 0.35 else TROUBLES,
    )


def crowded(seed: int, sidecars: int, seconds: float, shape: Shape) -> Plan:
    """Reloads in a row that move discovery, and drains, at a discovery that is slow or loses answers."""
    return Plan(
        seed,
        sidecars,
        5,
        seconds,
        discovery=shape,
        troubles=CROWDED_TROUBLES,
        trouble_every_s=min(0.5, 2.0 / sidecars),
        endpoint_trouble=0.0,
    )
