"""Times the decision module in this process, with actions that do nothing."""

from __future__ import annotations

from typing import NamedTuple

from corkdoor.balancer import Balancer
from corkdoor.model import Endpoint, Outcome, Readiness, Timer, WatchEventKind
from corkdoor.settings_reader import read_settings
from emulator.errors import BenchError
from emulator.sidecar import SETTINGS
from emulator.slopes.timing import mean_us

REQUEST_INTERVAL_US = 8_333  # 120 requests a second
SERVICE_US = 2_000  # what an attempt takes
DEADLINE_US = 2_500_000
CLASS_NAME = "look"
START_US = 1_000_000_000
SEED = 7


class SentAttempt(NamedTuple):
    """Where the decision module sent a request."""

    request_id: str
    endpoint_id: str


class NullActions:
    """Takes the decision module's actions and remembers where the last attempt went."""

    def __init__(self) -> None:
        self.sent: SentAttempt | None = None

    def send_attempt(self, request_id: str, endpoint_id: str) -> None:
        """Remember where an attempt went."""
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
    """Processor time of a request, the part of it that adds up the pool, and the pool's size."""

    request_us: float
    in_use_us: float
    subset: int


class DecisionBench:
    """One decision module; requests come at 120 a second of its clock, answered at once.

    Args:
        endpoints: of its list.
        balancers: the sidecars that share them.
    """

    def __init__(self, endpoints: int, balancers: int) -> None:
        self.actions = NullActions()
        settings = read_settings({**SETTINGS, "Balancers": balancers})
        self.balancer = Balancer(settings, SEED, self.actions)
        self.now_us = START_US
        self.requests = 0
        self.balancer.start(self.now_us)
        listed = [Endpoint(f"s-{i:08x}", "z0", "m", 0, Readiness.READY) for i in range(endpoints)]
        self.balancer.on_watch_event(self.now_us, WatchEventKind.FULL, listed)

    def request(self) -> None:
        """Take one request, send it, and take its response.

        Raises:
            BenchError: the module didn't send it.
        """
        self.now_us += REQUEST_INTERVAL_US
        self.requests += 1
        self.actions.sent = None
        request_id = f"{self.requests:016x}"
        self.balancer.on_request(self.now_us, request_id, CLASS_NAME, None, DEADLINE_US, None)
        sent = self.actions.sent
        if sent is None:
            raise BenchError("the decision module sent nothing")
        done_us = self.now_us + SERVICE_US
        self.balancer.on_attempt_end(
            done_us, sent.request_id, 0, sent.endpoint_id, SERVICE_US, True, Outcome.OK
        )

    def measure(self, rounds: int = 9, repeats: int = 500) -> RequestCost:
        """Return what a request costs, once the module has warmed up."""
        for _ in range(repeats):
            self.request()
        subset = self.balancer.rules.placements.by_class[CLASS_NAME].local.subset
        request_us = mean_us(rounds, repeats, self.request)
        in_use_us = mean_us(rounds, repeats, self._add_up_in_use)
        return RequestCost(request_us, in_use_us, len(subset.members))

    def _add_up_in_use(self) -> None:
        rules = self.balancer.rules
        rules.availability.pool_share(self.now_us, rules.placements.by_class[CLASS_NAME].local)
