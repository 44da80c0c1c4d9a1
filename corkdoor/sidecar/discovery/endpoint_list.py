"""Reads the endpoint lists of discovery. Only this module names the keys of their JSON documents."""

from __future__ import annotations

from typing import Any, NamedTuple

from corkdoor.model import Endpoint, Readiness
from corkdoor.sidecar.clock import UNIX_OFFSET_US
from corkdoor.sidecar.discovery.errors import EndpointListError

DEFAULT_WEIGHT = 1.0
MAX_PORT = (1 << 16) - 1


class ResolvedEndpoint(NamedTuple):
    """One entry of a list.

    Attributes:
        endpoint: the endpoint as the balancer knows it.
        host: the host on which it listens.
        port: the port on which it listens.
    """

    endpoint: Endpoint
    host: str
    port: int


class EndpointList(NamedTuple):
    """The list in one response of discovery.

    Attributes:
        generation: the list's version.
        complete: whether it holds all endpoints; otherwise it holds those that have changed.
        entries: the endpoints.
    """

    generation: int
    complete: bool
    entries: list[ResolvedEndpoint]


def read_endpoint_list(document: Any) -> EndpointList:
    """Read a list from a JSON document; None stands for an empty list.

    Raises:
        EndpointListError: the document is not an endpoint list.
        OverflowError: the document holds a number that is too large.
    """
    if document is None:
        return EndpointList(generation=0, complete=True, entries=[])
    try:
        entries = [_read_entry(row) for row in document["instances"]]
        return EndpointList(int(document["generation"]), bool(document["reset"]), entries)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from None


def _read_entry(row: Any) -> ResolvedEndpoint:
    host, port = _read_address(row["hostPort"])
    weight = float(row.get("weight") or DEFAULT_WEIGHT)
    endpoint = Endpoint(
        id=str(row["instanceId"]),
        zone=str(row.get("zone") or ""),
        machine_type=str(row.get("machineType") or ""),
        cell=int(row["cell"]) if row.get("cell") is not None else None,
        readiness=Readiness(row["lifecycle"]),
        weight=weight if weight > 0 else DEFAULT_WEIGHT,
        started_us=_read_start_us(row.get("startedAtMs")),
    )
    return ResolvedEndpoint(endpoint, host, port)


def _read_address(text: Any) -> tuple[str, int]:
    host, _, port_text = text.rpartition(":")
    port = int(port_text) if host else 0
    # A port out of range would make attempts fail with an error that is not a socket error.
    if not 0 < port <= MAX_PORT:
        raise ValueError("hostPort must be host:port with a port from 1 to 65535")
    return host, port


def _read_start_us(started_ms: Any) -> int | None:
    """Convert a Unix time in milliseconds to the monotonic clock, on which it may lie before 0.

    Returns None if no start is stated: the endpoint started long ago.
    """
    milliseconds = int(started_ms or 0)
    return milliseconds * 1000 - UNIX_OFFSET_US if milliseconds else None
