"""The simulated sidecars of one process: their lifecycle, their load, and their observations."""

from __future__ import annotations

import asyncio
import gc
import os
import time
from collections import Counter
from dataclasses import replace

import msgspec
from hdrh.histogram import HdrHistogram

from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.config import Address, Config
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, read_endpoint_list
from corkdoor.sidecar.resource_limits import ResourceLimits
from emulator.process_usage import read_resident_mb
from emulator.scenario.random_streams import random_stream
from emulator.scenario.sidecar_settings import settings_document
from emulator.simulated_sidecars.load import RequestLoad, ServiceTimes
from emulator.simulated_sidecars.messages import (
    AppliedSettings,
    Command,
    KillCommand,
    LoadCommand,
    Notification,
    RequestOutcome,
    Sample,
    SampleCommand,
    SettingsCommand,
    StartCommand,
    WorkerConfig,
)
from emulator.simulated_sidecars.proxy import SimulatedProxy
from emulator.worker import write_line
from testbed.discovery_wire import endpoint_list

RESOURCE_LIMITS = ResourceLimits(client_connections=500, endpoint_connections=400, held_bytes=1 << 24)
SEED_BOUND = 1 << 62
CLASS_NAMES = ("read", "hold", "pay")
DEADLINE_US = 3_000_000
MAX_LATENESS_US = 60_000_000
SIGNIFICANT_DIGITS = 3  # precision of the lateness in the histogram
FREEZE_DELAY_S = 1.0  # from the start of the last sidecar until the garbage collector's objects are frozen


class SimulatedProcess:
    """All sidecars of this process.

    Args:
        config: the configuration that the process was started with.
    """

    def __init__(self, config: WorkerConfig) -> None:
        self.config = config
        self.initial_rss_mb = read_resident_mb(os.getpid())
        self.proxies: dict[int, SimulatedProxy] = {}
        self._sweeps: dict[int, asyncio.Task[None]] = {}
        self._incarnations: Counter[int] = Counter()
        # All sidecars of a service share one list, while each real sidecar has its own.
        self._lists: dict[str, EndpointList] = {
            name: read_endpoint_list(endpoint_list(1, True, rows)) for name, rows in config.lists.items()
        }
        self._notifications: list[Notification] = []
        self._applied_settings: list[AppliedSettings] = []
        self._outcomes: Counter[RequestOutcome] = Counter()
        self._requests = 0
        self._lateness_us = HdrHistogram(1, MAX_LATENESS_US, SIGNIFICANT_DIGITS)
        self._spread_rng = random_stream(config.seed, "spread", config.process)
        self._service_times = ServiceTimes(config.load, random_stream(config.seed, "service", config.process))
        arrivals = random_stream(config.seed, "arrivals", config.process)
        self.load = RequestLoad(arrivals, len(config.sidecars), self._send_request, self.record_lateness)

    # --- commands ---

    def handle(self, command: Command) -> None:
        """Handle a command. A command that is spread over a time takes effect after the return."""
        match command:
            case StartCommand():
                self._start_spread(command)
            case KillCommand():
                for number in command.sidecars:
                    self.kill(number)
            case LoadCommand():
                self.load.set_rate(command.requests_per_s)
            case SettingsCommand():
                self._reload_spread(command)
            case SampleCommand():
                write_line(msgspec.json.encode(self.take_sample()))

    def _start_spread(self, command: StartCommand) -> None:
        loop = asyncio.get_running_loop()
        for number in command.sidecars:
            loop.call_later(float(self._spread_rng.uniform(0, command.spread_s)), self.start, number)
        # A real sidecar also freezes its objects after its start, but collects garbage first. Here that would
        # cover hundreds of sidecars, and stall all of them.
        loop.call_later(command.spread_s + FREEZE_DELAY_S, gc.freeze)

    def _reload_spread(self, command: SettingsCommand) -> None:
        """Reload each sidecar at a random time, as sidecars in processes of their own would."""
        loop = asyncio.get_running_loop()
        for number in self.proxies:
            delay_s = float(self._spread_rng.uniform(0, command.spread_s))
            loop.call_later(delay_s, self._reload, number, command.revision)

    def _reload(self, number: int, revision: int) -> None:
        proxy = self.proxies.get(number)
        if proxy is None:
            return
        config = self._sidecar_config(number, revision)
        proxy.reload(replace(config, digest=str(revision)))
        if proxy.settings == config.settings == proxy.balancer.settings:
            self._applied_settings.append(AppliedSettings(number, revision, time.monotonic_ns()))

    # --- sidecars ---

    def start(self, number: int) -> None:
        """Start a new incarnation of a sidecar."""
        self._incarnations[number] += 1
        proxy = SimulatedProxy(self._sidecar_config(number), number, self)
        self.proxies[number] = proxy
        self._sweeps[number] = asyncio.get_running_loop().create_task(proxy.upstream.sweep())
        proxy.start()

    def kill(self, number: int) -> None:
        """Kill a sidecar if it is running."""
        proxy = self.proxies.pop(number, None)
        if proxy is not None:
            proxy.kill()
            self._sweeps.pop(number).cancel()

    def _sidecar_config(self, number: int, revision: int = 0) -> Config:
        config = self.config
        sidecar = config.sidecars[number - config.first]
        host, _, port = config.discovery[sidecar.service].rpartition(":")
        count = config.balancers[sidecar.service]
        document = settings_document(sidecar, count, config.depth, config.mode, revision)
        rng = random_stream(config.seed, "sidecar", number, self._incarnations[number])
        return Config(
            name=sidecar.name,
            listen=Address("127.0.0.1", 0),
            discovery=Address(host, int(port)),
            seed=int(rng.integers(SEED_BOUND)),
            resource_limits=RESOURCE_LIMITS,
            cached_list=self._lists[sidecar.service],
            settings=read_settings(document),
        )

    def _send_request(self, index: int) -> None:
        proxy = self.proxies.get(self.config.first + index)
        if proxy is not None:  # a sidecar that is not running gets no requests
            self._requests += 1
            class_name = CLASS_NAMES[self._requests % len(CLASS_NAMES)]
            proxy.request(f"{self._requests:x}", class_name, DEADLINE_US)

    # --- observations ---

    def draw_service_s(self) -> float:
        """Draw the service time of an attempt in seconds."""
        return self._service_times.draw_s()

    def record_list(self, sidecar: int, generation: int) -> None:
        """Record that a sidecar has applied a list, or changes of it."""
        self._notifications.append(Notification(sidecar, generation, time.monotonic_ns()))

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Count a synthetic request that has ended."""
        self._outcomes[outcome] += 1

    def record_lateness(self, seconds: float) -> None:
        """Record the lateness of the event loop or of a request, in seconds."""
        self._lateness_us.record_value(max(1, int(seconds * 1e6)))

    def take_sample(self) -> Sample:
        """Return a sample, and reset the lateness and the lists that it contains."""
        used = os.times()
        lateness_us = self._lateness_us
        sample = Sample(
            process=self.config.process,
            cpu_s=used.user + used.system,
            rss_mb=read_resident_mb(os.getpid()),
            initial_rss_mb=self.initial_rss_mb,
            running=len(self.proxies),
            requests=self._requests,
            outcomes={outcome.value: count for outcome, count in self._outcomes.items()},
            lateness_p99_ms=lateness_us.get_value_at_percentile(99) / 1000,
            lateness_max_ms=lateness_us.get_max_value() / 1000,
            notifications=self._notifications,
            applied_settings=self._applied_settings,
        )
        self._notifications, self._applied_settings = [], []
        lateness_us.reset()
        return sample
