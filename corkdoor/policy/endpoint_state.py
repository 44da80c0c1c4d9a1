"""The state that an instance keeps of one endpoint: its list entry, and what the rules have recorded."""

from __future__ import annotations

import zlib
from typing import NamedTuple

from corkdoor.model import Endpoint, Readiness

BASELINE_LOAD = 1.0  # the load of an endpoint that reports its usual service time and an empty queue


class ProcessStart(NamedTuple):
    """When an endpoint's process started.

    Attributes:
        listed_us: the start time in the endpoint list, in microseconds; None: long ago.
        effective_us: the start time that the rules use, on this instance's clock, in microseconds; None:
            long ago.
    """

    listed_us: int | None
    effective_us: int | None


STARTED_LONG_AGO = ProcessStart(None, None)


class EndpointState:
    """One endpoint of the list.

    Attributes:
        id: its id in the endpoint list.
        zone: its zone.
        machine_type: the type of its machine.
        cell: its deduplication cell; None: it belongs to none.
        weight: its capacity relative to its peers.
        ready: whether it may be sent new requests.
        order_hash: a hash of its id, the same at all instances, which defines the shared order.
        listed_started_us: when its process started, as stated in the endpoint list; None: long ago.
        started_us: when its process started, as the rules use it; None: long ago.
        in_flight: this instance's attempts in flight to it.
        last_used_us: when a connection to it was last in use; None: never.
        waiting_since_us: when an attempt to it last ended with a response or a failed connection or, if that
            is later, when an attempt was sent while no other was in flight.
        failure_rate: the smoothed share of failed attempts.
        last_failure_us: when an attempt to it last failed; None: never.
        consecutive_rejections: the number of attempts that it has rejected in a row.
        relative_latency: its latency divided by that of its peers, smoothed; None: unknown.
        load: its reported service time and queue, as a smoothed multiple of the usual service time.
        load_updated_us: when it last reported its load.
        slow_start_tokens: attempts that this instance may send to it during slow start; None: the budget
            has not been used yet.
        slow_start_updated_us: when these tokens were last refilled.
        ejected_until_us: the end of its newest ejection; None: it was never ejected.
        ejection_count: the number of ejections in close succession, the newest included.
    """

    __slots__ = (
        "cell",
        "consecutive_rejections",
        "ejected_until_us",
        "ejection_count",
        "failure_rate",
        "id",
        "in_flight",
        "last_failure_us",
        "last_used_us",
        "listed_started_us",
        "load",
        "load_updated_us",
        "machine_type",
        "order_hash",
        "ready",
        "relative_latency",
        "slow_start_tokens",
        "slow_start_updated_us",
        "started_us",
        "waiting_since_us",
        "weight",
        "zone",
    )  # fmt: skip

    def __init__(
        self, entry: Endpoint, start: ProcessStart, previous_list_us: int | None, now_us: int
    ) -> None:
        self.id = entry.id
        self.order_hash = zlib.crc32(entry.id.encode())
        self.in_flight = 0
        self.last_used_us: int | None = None
        self.waiting_since_us = now_us
        self.last_failure_us: int | None = None
        self.consecutive_rejections = 0
        self.load_updated_us = now_us
        self.slow_start_updated_us = now_us
        self.listed_started_us, self.started_us = start
        self._reset_process_state()
        self.update(entry, previous_list_us, now_us)

    def update(self, entry: Endpoint, previous_list_us: int | None, now_us: int) -> None:
        """Apply a list entry.

        If its start time differs from the known one, the process started after the previous list: its start
        counts as not earlier than that list, and not later than now. Guards against wrong wall clocks: by
        its timestamp alone, an endpoint that is warming up could count as warm.

        Args:
            entry: the entry.
            previous_list_us: when discovery last responded before; None: never.
            now_us: when the entry arrived.
        """
        self.zone, self.machine_type, self.cell = entry.zone, entry.machine_type, entry.cell
        self.weight = entry.weight
        self.ready = entry.readiness is Readiness.READY
        if entry.started_us == self.listed_started_us:
            return
        self.listed_started_us = entry.started_us
        self.started_us = _effective_start_us(entry.started_us, previous_list_us, now_us)
        self._reset_process_state()

    def _reset_process_state(self) -> None:
        self.slow_start_tokens: float | None = None
        self.load = BASELINE_LOAD
        self.failure_rate = 0.0
        self.relative_latency: float | None = None
        self.ejected_until_us: int | None = None
        self.ejection_count = 0


OrderedEndpoints = dict[EndpointState, None]  # a set that iterates in insertion order


def _effective_start_us(listed_us: int | None, previous_list_us: int | None, now_us: int) -> int | None:
    if listed_us is None:
        return None
    earliest_us = listed_us if previous_list_us is None else max(listed_us, previous_list_us)
    return min(earliest_us, now_us)


def shared_order_key(endpoint: EndpointState) -> tuple[int, str]:
    """Return the sort key of the order that all instances share, which is random with respect to ids."""
    return endpoint.order_hash, endpoint.id
