"""A complete response, and what it states about its attempt and the load of its endpoint."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

from corkdoor.load_report import LoadReport, parse_load_report
from corkdoor.model import Outcome

# Module-level names: looking up enum members is slow.
STATUS_OK = HTTPStatus.OK.value
SUCCESS = Outcome.OK
# Statuses with which an endpoint rejects a request if `Srv-Declined: 1` is present.
_REJECTION_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


class Response(NamedTuple):
    """A complete response: status, header fields in order of arrival, and body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def classify(response: Response) -> Outcome:
    """Return the outcome of the attempt that received this response.

    A request that got a 503 or 504 with `Srv-Declined: 1` never ran; without that header, it may have run.
    """
    if response.status == STATUS_OK:
        return SUCCESS
    if response.status in _REJECTION_STATUSES:
        for name, value in response.headers:
            if name.lower() == b"srv-declined" and value == b"1":
                return Outcome.REJECTED
    return Outcome.ERROR


def load_report(response: Response) -> LoadReport | None:
    """Return the load report of a response; None: it has no valid one."""
    for name, value in response.headers:
        if name.lower() == b"srv-load":
            return parse_load_report(value.decode("latin-1"), "=")
    return None
