"""Measures the processor time to parse and to apply endpoint lists in this process."""

from __future__ import annotations

import itertools
import json
from typing import NamedTuple

from corkdoor.model import WatchEventKind
from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.config import Address, Config
from corkdoor.sidecar.discovery.endpoint_list import read_endpoint_list
from corkdoor.sidecar.proxy import Proxy
from corkdoor.sidecar.resource_limits import ResourceLimits
from emulator.sidecar import SETTINGS
from emulator.slopes.fixtures import ListForm, list_bodies, make_rows
from emulator.slopes.timing import processor_time_us
from testbed.discovery_wire import endpoint_list

UNUSED_ADDRESS = Address("127.0.0.1", 1)
RESOURCE_LIMITS = ResourceLimits(500, 400, 1 << 24)
SEED = 7
ROUNDS, REPEATS = 5, 10


class ListCost(NamedTuple):
    """Processor time to parse a list and to apply it, and the size of its body."""

    parse_us: float
    take_us: float
    body_bytes: int


class ListBench:
    """A proxy without sockets; must be created while an event loop runs.

    Args:
        endpoints: the number of endpoints in the list.
    """

    def __init__(self, endpoints: int) -> None:
        self.endpoints = endpoints
        initial = read_endpoint_list(endpoint_list(1, True, make_rows(endpoints)))
        config = Config(
            "n0", UNUSED_ADDRESS, UNUSED_ADDRESS, SEED, RESOURCE_LIMITS, initial, read_settings(SETTINGS)
        )
        self.proxy = Proxy(config)
        self.proxy.balancer.start(now_us())
        self.proxy.on_watch_event(WatchEventKind.CACHED, initial.entries)

    def measure(self, form: ListForm) -> ListCost:
        """Return the cost of a list response of that form."""
        event = WatchEventKind.FULL if form is ListForm.FULL else WatchEventKind.DELTA
        bodies = list_bodies(form, self.endpoints)
        lists = itertools.cycle([read_endpoint_list(json.loads(body)) for body in bodies])

        def parse() -> None:
            read_endpoint_list(json.loads(bodies[0]))

        def apply_list() -> None:
            self.proxy.on_watch_event(event, next(lists).entries)

        parse_us = processor_time_us(ROUNDS, REPEATS, parse)
        take_us = processor_time_us(ROUNDS, REPEATS, apply_list)
        return ListCost(parse_us, take_us, len(bodies[0]))
