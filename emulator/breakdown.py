"""The real sidecar with a stopwatch around each step of a request. It shows where processor time is spent.

This module runs in place of `corkdoor.sidecar`. On SIGUSR1 it writes the time of each step, without the steps
nested in it, as one line of JSON to the file that `EMULATOR_BREAKDOWN` names. The measured times include the
overhead of the measurement.
"""

from __future__ import annotations

import functools
import importlib
import json
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from emulator.errors import EmulatorError
from emulator.sidecar import BREAKDOWN_VARIABLE

NS_PER_US = 1000


class Step(NamedTuple):
    """A method or function that is timed. Its label is its name in the records."""

    label: str
    module: str
    owner: str | None  # the name of the class; None for a function of the module
    function: str


BALANCER = ("corkdoor.balancer", "Balancer")
PROXY = ("corkdoor.sidecar.proxy", "Proxy")
CLIENT = ("corkdoor.sidecar.clients.connection", "ClientConnection")
UPSTREAM = ("corkdoor.sidecar.upstream.connection", "Connection")
DEADLINE_TIMER = ("corkdoor.sidecar.clock", "DeadlineTimer")

# If a function is renamed or moved, this table has to be changed too. A test looks up each step.
STEPS = (
    Step("read request", *CLIENT, "data_received"),
    Step("admit", "corkdoor.sidecar.clients.server", "Server", "admit"),
    Step("host take", "corkdoor.sidecar.request_registry", "RequestRegistry", "accept"),
    Step("module order", *BALANCER, "on_request"),
    Step("module in-use sum", "corkdoor.policy.availability", "Availability", "pool_share"),
    Step("module pick", "corkdoor.policy.endpoint_choice", "EndpointChooser", "choose"),
    Step("module refill", "corkdoor.policy.token_buckets", "TokenBuckets", "refill"),
    Step("hand off", *PROXY, "send_attempt"),
    Step("take connection", "corkdoor.sidecar.upstream.connection_pool", "ConnectionPool", "acquire"),
    Step("poll for staleness", *UPSTREAM, "is_stale"),
    Step("write to endpoint", *UPSTREAM, "send"),
    Step("read answer", *UPSTREAM, "data_received"),
    Step("attempt ended", "corkdoor.sidecar.attempt_sender", "AttemptSender", "_on_end"),
    Step("module reply", *BALANCER, "on_attempt_end"),
    Step("write to caller", *CLIENT, "respond"),
    Step("alarm set", *DEADLINE_TIMER, "_schedule"),
    Step("alarm cancelled", *DEADLINE_TIMER, "cancel"),
    Step("chore: check callers", "corkdoor.sidecar.clients.timeouts", "ClientTimeouts", "check"),
    Step("chore: report", "corkdoor.sidecar.process", None, "take_status_line"),
    Step("list taken", *PROXY, "on_watch_event"),
    Step("watch", "corkdoor.sidecar.discovery.client", "DiscoveryClient", "on_response"),
)


class MissingStepError(EmulatorError):
    """The module, class or function of a step does not exist.

    Args:
        step: the step that was looked up.
    """

    def __init__(self, step: Step) -> None:
        path = ".".join(name for name in step[1:] if name is not None)
        super().__init__(f"{step.label}: {path} does not exist")
        self.step = step


def find_owner(step: Step) -> Any:
    """Return the class or module that has a step's function as an attribute.

    Raises:
        MissingStepError: the module, class or function does not exist.
    """
    try:
        module = importlib.import_module(step.module)
        owner = module if step.owner is None else getattr(module, step.owner)
        if callable(getattr(owner, step.function)):
            return owner
    except (ImportError, AttributeError):
        pass
    raise MissingStepError(step)


class Stopwatch:
    """Measures the time of each step without nested steps, and counts its calls. Single-threaded."""

    def __init__(self) -> None:
        self.self_ns: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self._nested_ns = [0]  # for each running step, the time of the steps nested in it

    def wrap(self, label: str, method: Callable[..., Any]) -> Callable[..., Any]:
        """Return the method, wrapped so that its calls are timed."""

        @functools.wraps(method)
        def timed(*arguments: Any, **keywords: Any) -> Any:
            self._nested_ns.append(0)
            started_ns = time.perf_counter_ns()
            try:
                return method(*arguments, **keywords)
            finally:
                elapsed_ns = time.perf_counter_ns() - started_ns
                self.self_ns[label] += elapsed_ns - self._nested_ns.pop()
                self.counts[label] += 1
                self._nested_ns[-1] += elapsed_ns

        return timed

    def install(self) -> None:
        """Wrap the functions of all steps.

        Raises:
            MissingStepError: the function of a step does not exist.
        """
        owners = [find_owner(step) for step in STEPS]
        for step, owner in zip(STEPS, owners, strict=True):
            setattr(owner, step.function, self.wrap(step.label, getattr(owner, step.function)))

    def figures(self) -> dict[str, Any]:
        """Return times in microseconds and counts by step, and the processor time in microseconds."""
        return {
            "cpu_us": time.process_time_ns() / NS_PER_US,
            "self_us": {label: ns / NS_PER_US for label, ns in self.self_ns.items()},
            "counts": dict(self.counts),
        }

    def write(self, *_: object) -> None:
        """Write the figures to a temporary file and rename it, so that readers never see a partial file."""
        path = Path(os.environ[BREAKDOWN_VARIABLE])
        temporary = path.with_suffix(".draft")
        temporary.write_text(json.dumps(self.figures()), encoding="utf-8")
        temporary.replace(path)


def main() -> int:
    """Run the sidecar with its steps timed, and return its exit status."""
    # Imported here, because a test looks up the steps without running the start of the program.
    from corkdoor.sidecar import __main__ as program

    stopwatch = Stopwatch()
    stopwatch.install()
    signal.signal(signal.SIGUSR1, stopwatch.write)
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
