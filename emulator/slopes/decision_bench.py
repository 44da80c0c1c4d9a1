"""Measures the processor time of the decision module in this process, with actions that do nothing."""

from __future__ import annotations

from typing import NamedTuple

from corkdoor.balancer import Balancer
from corkdoor.model import Endpoint, Outcome, Readiness, Timer, WatchEventKind
from corkdoor.settings_reader import read_settings
from emulator.errors import BenchError
from emulator.sidecar import SETTINGS
from emulator.slopes.timing import processor_time_us

REQUEST_INTERVAL_US = 8_333  # 120 requests per second
SERVICE_US = 2_000  # duration of an attempt
DEADLINE_US = 2_500_000
CLASS_NAME = "look"
START_US = 1_000_000_000
SEED = 7


class SentAttempt(NamedTuple):
    """An attempt that the decision module sent."""

    request_id: str
    endpoint_id: str


class NullActions:
    """Accepts the decision module's actions, and records only the last attempt that was sent."""

    def __init__(self) -> None:
        self.sent: SentAttempt | None = None

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Record the attempt."""
        self.sent = SentAttempt(request_id, endpoint_id)

    def cancel_attempt(self, request_id: str, attempt: int) -> None:
        """Do nothing."""

    def reject_request(self, request_id: str, retry_after_us: int | None) -> None:
        """Do nothing."""

    def fail_request(self, request_id: str) -> None:
        """Do nothing."""

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """Do nothing."""

    def watch_discovery(self, enabled: bool, poll_first: bool = False) -> None:
        """Do nothing."""

    def close_idle_connections(self, endpoint_id: str) -> None:
        """Do nothing."""

    def log_event(self, event: str, /, **fields: object) -> None:
        """Do nothing."""


class RequestCost(NamedTuple):
    """Processor time of a request, the part of it that sums up the pool, and the size of the subset."""

    request_us: float
    in_use_us: float
    subset: int


class DecisionBench:
    """One decision module; 120 requests per second of its clock arrive, and each gets its response at once.

    Args:
        endpoints: the number of endpoints in its list.
        instance_count: the number of sidecars that share the endpoints.
    """

    def __init__(self, endpoints: int, instance_count: int) -> None:
        self.actions = NullActions()
        settings = read_settings({**SETTINGS, "Balancers": instance_count})
        self.balancer = Balancer(settings, SEED, self.actions)
        self.now_us = START_US
        self.requests = 0
        self.balancer.start(self.now_us)
        listed = [Endpoint(f"s-{i:08x}", "z0", "m", 0, Readiness.READY) for i in range(endpoints)]
        self.balancer.on_watch_event(self.now_us, WatchEventKind.FULL, listed)

    def request(self) -> None:
        """Process one request: it arrives, is sent, and gets its response.

        Raises:
            BenchError: the decision module did not send the request.
        """
        self.now_us += REQUEST_INTERVAL_US
        self.requests += 1
        self.actions.sent = None
        request_id = f"{self.requests:016x}"
        self.balancer.on_request(self.now_us, request_id, CLASS_NAME, None, DEADLINE_US, None)
        sent = self.actions.sent
        if sent is None:
            raise BenchError("the decision module did not send the request")
        ended_us = self.now_us + SERVICE_US
        self.balancer.on_attempt_end(
            ended_us, sent.request_id, 0, sent.endpoint_id, SERVICE_US, True, Outcome.OK
        )

    def measure(self, rounds: int = 9, repeats: int = 500) -> RequestCost:
        """Return the cost of a request after a warm-up."""
        for _ in range(repeats):
            self.request()
        subset = self.balancer.rules.placements.by_class[CLASS_NAME].local.subset
        request_us = processor_time_us(rounds, repeats, self.request)
        in_use_us = processor_time_us(rounds, repeats, self._sum_up_pool)
        return RequestCost(request_us, in_use_us, len(subset.members))

    def _sum_up_pool(self) -> None:
        rules = self.balancer.rules
        rules.availability.pool_share(self.now_us, rules.placements.by_class[CLASS_NAME].local)
