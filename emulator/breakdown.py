"""The real sidecar with a stopwatch round each step of a call: where its processor time goes.

Run in place of `corkdoor.sidecar`; on SIGUSR1 it writes what each step took, without the steps inside it, as
one line of JSON to the file that `EMULATOR_BREAKDOWN` names. The stopwatch itself adds to each step.
"""

from __future__ import annotations

import functools
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from corkdoor import balancer
from corkdoor.policy.availability import Availability
from corkdoor.policy.endpoint_choice import EndpointChooser
from corkdoor.policy.token_buckets import TokenBuckets
from corkdoor.sidecar import __main__ as program
from corkdoor.sidecar import clock, process, proxy
from corkdoor.sidecar.attempt_sender import AttemptSender
from corkdoor.sidecar.clients.connection import ClientConnection
from corkdoor.sidecar.clients.server import Server
from corkdoor.sidecar.clients.timeouts import ClientTimeouts
from corkdoor.sidecar.discovery.client import DiscoveryClient
from corkdoor.sidecar.request_registry import RequestRegistry
from corkdoor.sidecar.upstream.connection import Connection
from corkdoor.sidecar.upstream.connection_pool import ConnectionPool
from emulator.sidecar import VARIABLE

# The step's name, its class or module, and its method or function.
STEPS: tuple[tuple[str, Any, str], ...] = (
    ("read request", ClientConnection, "data_received"),
    ("admit", Server, "admit"),
    ("host take", RequestRegistry, "accept"),
    ("module order", balancer.Balancer, "on_request"),
    ("module in-use sum", Availability, "pool_share"),
    ("module pick", EndpointChooser, "choose"),
    ("module refill", TokenBuckets, "refill"),
    ("hand off", proxy.Proxy, "send_attempt"),
    ("take connection", ConnectionPool, "acquire"),
    ("poll for staleness", Connection, "is_stale"),
    ("write to endpoint", Connection, "send"),
    ("read answer", Connection, "data_received"),
    ("attempt ended", AttemptSender, "_on_end"),
    ("module reply", balancer.Balancer, "on_attempt_end"),
    ("write to caller", ClientConnection, "answer"),
    ("alarm set", clock.Alarm, "_arm"),
    ("alarm cancelled", clock.Alarm, "cancel"),
    ("chore: check callers", ClientTimeouts, "check"),
    ("chore: report", process, "status_line"),
    ("list taken", proxy.Proxy, "on_watch_event"),
    ("watch", DiscoveryClient, "on_response"),
)


class Stopwatch:
    """Time and count of each step, less what the steps inside it took; single-threaded."""

    def __init__(self) -> None:
        self.self_ns: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.inside = [0]  # of the steps that are running: what those inside them took

    def round(self, name: str, method: Callable[..., Any]) -> Callable[..., Any]:
        """The method with the stopwatch round it."""

        @functools.wraps(method)
        def timed(*args: Any, **values: Any) -> Any:
            self.inside.append(0)
            begun = time.perf_counter_ns()
            try:
                return method(*args, **values)
            finally:
                took = time.perf_counter_ns() - begun
                self.self_ns[name] += took - self.inside.pop()
                self.counts[name] += 1
                self.inside[-1] += took

        return timed

    def install(self) -> None:
        for name, owner, method in STEPS:
            setattr(owner, method, self.round(name, getattr(owner, method)))

    def figures(self) -> dict[str, Any]:
        """Microseconds and counts by step, and the process's own processor time in microseconds."""
        return {
            "cpu_us": time.process_time_ns() / 1000,
            "self_us": {name: ns / 1000 for name, ns in self.self_ns.items()},
            "counts": dict(self.counts),
        }

    def write(self, *_: object) -> None:
        """Put the figures in place at once, so that no reader finds half of them."""
        path = Path(os.environ[VARIABLE])
        draft = path.with_suffix(".draft")
        draft.write_text(json.dumps(self.figures()), encoding="utf-8")
        draft.replace(path)


def main() -> int:
    stopwatch = Stopwatch()
    stopwatch.install()
    signal.signal(signal.SIGUSR1, stopwatch.write)
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
