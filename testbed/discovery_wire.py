"""Discovery's side of the wire protocol: parses the calls for an endpoint list and encodes the lists."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

Row = dict[str, Any]  # one entry of an endpoint list, under the protocol's keys
LIST_PATH = "/discovery/hosts"
MAX_WATCH_S = 60.0  # the protocol's limit on how long a watch may stay open


class DiscoveryCall(NamedTuple):
    """A request for an endpoint list: a watch if it names a generation and allows a wait, else a poll."""

    after: int | None  # the generation that the sidecar already has; None requests the full list
    wait_s: float  # how long discovery may wait for a change before it responds


def parse_call(target: str) -> DiscoveryCall | None:
    """Parse a request target; return None if it is not a valid request for an endpoint list."""
    url = urlsplit(target)
    if url.path != LIST_PATH:
        return None
    query = {key: values[-1] for key, values in parse_qs(url.query).items()}
    if "after" not in query:
        return DiscoveryCall(None, 0.0)
    try:
        after, wait_ms = int(query["after"]), int(query.get("wait_ms", "0"))
    except ValueError:
        return None
    return DiscoveryCall(after, min(MAX_WATCH_S, max(0, wait_ms) / 1000))


def endpoint_row(
    name: str,
    address: str,
    *,
    zone: str = "z0",
    machine_type: str = "m",
    cell: int = 0,
    lifecycle: str = "ready",
    started_ms: int = 0,
) -> Row:
    """Return one entry of an endpoint list.

    Args:
        name: the endpoint's id.
        address: its host and port.
        zone: the zone that it runs in.
        machine_type: the type of its machine.
        cell: the number of its cell.
        lifecycle: `ready`, `draining` or `gone`.
        started_ms: its start time in milliseconds; 0 if it started long ago.
    """
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": zone,
        "machineType": machine_type,
        "cell": cell,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def endpoint_list(generation: int, full: bool, rows: Sequence[Row]) -> dict[str, Any]:
    """Return an endpoint list as a document: all entries if it is full, otherwise the changed ones."""
    return {"generation": generation, "reset": full, "instances": rows}


def encode_list(generation: int, full: bool, rows: Sequence[Row]) -> bytes:
    """Return an endpoint list as the JSON body of a response."""
    return json.dumps(endpoint_list(generation, full, rows), separators=(",", ":")).encode()
