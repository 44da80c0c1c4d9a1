"""A host that plays events into one instance, carries out its timers and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from corkdoor.balancer import Balancer
from corkdoor.load_report import LoadReport
from corkdoor.model import (
    DeduplicationScope,
    Endpoint,
    Idempotency,
    Outcome,
    Readiness,
    Timer,
    WatchEventKind,
)
from corkdoor.settings import LifecycleRules, Limits, RequestClass, Settings, Tenant

MS = 1000
S = 1_000_000

SAFE = RequestClass("look", 1 * S, 3 * S, Idempotency.IDEMPOTENT)
KEYED = RequestClass("hold", 1 * S, 3 * S, Idempotency.WITH_KEY, DeduplicationScope.CELL, 2 * S)
UNSAFE = RequestClass("pay", 2 * S, 5 * S, Idempotency.NOT_IDEMPOTENT)


def settings(**changes: Any) -> Settings:
    base = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        instance_count=4,
        zone="east",
        tenants=(Tenant("big", 0.6, 60.0), Tenant("small", 0.4, 40.0)),
        over_quota_weight=0.1,
        limits=Limits(
            max_attempts=4, retry_after_allowed=True, hedging_allowed=True, cancellation_allowed=True
        ),
        lifecycle=LifecycleRules(slow_start_us=10 * S, slow_start_initial_share=0.2, overload_factor=2.5),
    )
    return replace(base, **changes)


def endpoints(count: int, zone: str = "east", start: int = 0, launched: int | None = None) -> list[Endpoint]:
    return [
        Endpoint(f"10.0.{i // 250}.{i % 250}:80", zone, "std", i // 4, Readiness.READY, 1.0, launched)
        for i in range(start, start + count)
    ]


def _due(timer: tuple[int, Timer]) -> tuple[int, str]:
    return timer[0], timer[1].value


class Host:
    """Records actions as tuples; `advance` delivers due timers."""

    def __init__(
        self,
        chosen: Settings | None = None,
        entries: Iterable[Endpoint] = (),
        seed: int = 7,
        now: int = 1_000_000_000,
    ) -> None:
        self.now = now
        self.did: list[tuple[Any, ...]] = []
        self.timers: list[tuple[int, Timer]] = []
        self.sent: dict[str, list[str]] = {}
        self.serial = 0
        self.balancer = Balancer(chosen or settings(), seed, self)
        self.balancer.start(now)
        self.balancer.on_watch_event(now, WatchEventKind.CACHED, list(entries))

    # actions
    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        self.did.append(("send_attempt", request_id, endpoint_id))
        self.sent.setdefault(request_id, []).append(endpoint_id)

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        self.did.append(("cancel_attempt", request_id, attempt))

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        self.did.append(("reject_request", request_id, retry_after_us))

    def fail_request(self, request_id: str) -> None:
        self.did.append(("fail_request", request_id))

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        self.timers.append((self.now + delay_us, timer))

    def watch_discovery(self, enabled: bool) -> None:
        self.did.append(("watch_discovery", enabled))

    def close_idle_connections(self, endpoint_id: str) -> None:
        self.did.append(("close_idle_connections", endpoint_id))

    def log_event(self, event: str, /, **fields: object) -> None:
        self.did.append(("log_event", event, fields))

    # driving
    def submit(self, class_name: str = "look", tenant: str = "small", left: int = 3 * S) -> str:
        self.serial += 1
        call = f"{self.serial:016x}"
        self.balancer.on_request(self.now, call, class_name, tenant, left, None)
        return call

    def end_attempt(
        self,
        call: str,
        outcome: Outcome,
        spent: int = 100 * MS,
        attempt: int = -1,
        closed: bool | None = None,
        load: LoadReport | None = None,
    ) -> None:
        number = attempt if attempt >= 0 else len(self.sent[call]) - 1
        done = outcome is Outcome.OK if closed is None else closed
        self.balancer.on_attempt_end(
            self.now, call, number, self.sent[call][number], spent, done, outcome, load
        )

    def answer_all(self, spent: int = 100 * MS) -> None:
        """Serve the calls that are out."""
        for call in [c for c in self.sent if c in self.balancer.requests]:
            self.end_attempt(call, Outcome.OK, spent=spent)

    def advance(self, by: int) -> None:
        end = self.now + by
        while self.timers and min(self.timers, key=_due)[0] <= end:
            due = min(self.timers, key=_due)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.balancer.on_timer(self.now, due[1])
        self.now = end

    def answers(self, call: str) -> list[str]:
        return [d[0] for d in self.did if d[0] in ("reject_request", "fail_request") and d[1] == call]

    def sends(self, call: str | None = None) -> list[tuple[Any, ...]]:
        return [d for d in self.did if d[0] == "send_attempt" and (call is None or d[1] == call)]
