"""Admission of client requests.

Checks a complete request and builds the request that the proxy forwards. The path names the request class;
the id, the tenant, the deadline and the cost hint are read from the headers. Times are in microseconds,
except where a header states milliseconds. A request that is not valid is rejected with an `HTTPError`.
"""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import Protocol

from corkdoor.model import Idempotency
from corkdoor.settings import RequestClass, Settings
from corkdoor.sidecar.clients.backlog import IncomingRequest
from corkdoor.sidecar.clients.errors import HTTPError
from corkdoor.sidecar.http_fields import HOP_BY_HOP_FIELDS
from corkdoor.sidecar.proxied_request import Client, ProxiedRequest

MAX_DEADLINE_MS = 3_600_000
MAX_COST_HINT_US = 1 << 50
REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")  # visible ASCII characters
MAX_NUMBER_DIGITS = 18  # any number with this many digits fits in 64 bits
NOT_FORWARDED = HOP_BY_HOP_FIELDS | {b"req-deadline-ms"}  # each attempt gets its own deadline header
SINGLE_FIELD_PREFIX = b"req-"  # a header whose name starts with this may occur only once


class RequestingClient(Client, Protocol):
    """The client that sent a request; admission sets `request_id` to the id that the client chose."""

    request_id: bytes


class RequestAdmission:
    """Builds the requests to proxy from the incoming ones, according to the current settings.

    Args:
        settings: the initial settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._open_ids: set[bytes] = set()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply these settings to further requests."""
        self.longest_deadline_s = max(each.deadline_us for each in settings.classes) / 1e6
        self._classes = {each.name.encode(): each for each in settings.classes}
        self._tenants = {tenant.name for tenant in settings.tenants}

    def admit(self, client: RequestingClient, incoming: IncomingRequest, path: bytes) -> ProxiedRequest:
        """Check a request and build the one to proxy; its id stays open until `release`.

        Args:
            client: the client that waits for the response; its `request_id` is set.
            incoming: the request as it was received.
            path: the path of the request target, without the query.

        Raises:
            HTTPError: the request is rejected.
        """
        request_class = self._find_request_class(path)
        lines = [b"%s %s HTTP/1.1\r\n" % (incoming.method, incoming.target)]
        fields = _read_headers(incoming.headers, lines)
        _check_method(incoming.method, request_class, fields)
        request_id = _parse_request_id(fields)
        deadline_us = incoming.arrived_us + _parse_deadline_ms(fields) * 1000
        _check_retry_flag(fields)
        cost_hint_us = _parse_integer(fields, b"req-cost", MAX_COST_HINT_US)
        tenant = self._find_tenant(fields)
        if request_id in self._open_ids:
            # Two responses would be pending for one id, and endpoints could not tell its attempts apart.
            raise HTTPError(HTTPStatus.CONFLICT, "req-id: this request is open")
        self._open_ids.add(request_id)
        client.request_id = request_id
        if incoming.body or request_class.idempotency is not Idempotency.IDEMPOTENT:
            lines.append(b"Content-Length: %d\r\n" % len(incoming.body))
        return ProxiedRequest(
            client, request_class, tenant, cost_hint_us, deadline_us, b"".join(lines), incoming.body
        )

    def release(self, request_id: bytes) -> None:
        """Close the id of a request that has ended, so that it may be used again."""
        self._open_ids.discard(request_id)

    def _find_request_class(self, path: bytes) -> RequestClass:
        name = path[1:].partition(b"/")[0]
        request_class = self._classes.get(name) if path[:1] == b"/" else None
        if request_class is None:
            raise HTTPError(HTTPStatus.NOT_FOUND, "no such class")
        return request_class

    def _find_tenant(self, fields: dict[bytes, bytes]) -> str | None:
        """Return the tenant. Unknown ones are rejected: each name would get its own quota, and use memory."""
        if not self._tenants:
            return None
        tenant = fields.get(b"req-owner", b"").decode("latin-1")
        if tenant not in self._tenants:
            raise HTTPError(HTTPStatus.BAD_REQUEST, "req-owner: missing or unknown")
        return tenant


def _read_headers(headers: list[tuple[bytes, bytes]], lines: list[bytes]) -> dict[bytes, bytes]:
    """Return the header values by lower-case name, and append the header lines to forward to `lines`."""
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        key = name.lower()
        if key in fields and (key.startswith(SINGLE_FIELD_PREFIX) or key == b"idempotency-key"):
            raise HTTPError(HTTPStatus.BAD_REQUEST, f"{key.decode('latin-1')}: given twice")
        fields[key] = value
        if key not in NOT_FORWARDED:
            lines.append(b"%s: %s\r\n" % (name, value))
    if b"host" not in fields:  # optional in HTTP/1.0, required in the forwarded HTTP/1.1
        lines.append(b"Host: endpoint\r\n")
    return fields


def _check_method(method: bytes, request_class: RequestClass, fields: dict[bytes, bytes]) -> None:
    expected = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if method != expected:
        raise HTTPError(HTTPStatus.METHOD_NOT_ALLOWED, "the method does not fit the class")
    if request_class.idempotency is Idempotency.WITH_KEY and not fields.get(b"idempotency-key"):
        raise HTTPError(HTTPStatus.BAD_REQUEST, "idempotency-key: missing")


def _parse_request_id(fields: dict[bytes, bytes]) -> bytes:
    value = fields.get(b"req-id", b"")
    if REQUEST_ID.fullmatch(value) is None:
        raise HTTPError(HTTPStatus.BAD_REQUEST, "req-id: missing or bad")
    return value


def _parse_deadline_ms(fields: dict[bytes, bytes]) -> int:
    deadline_ms = _parse_integer(fields, b"req-deadline-ms", MAX_DEADLINE_MS)
    if deadline_ms is None:
        raise HTTPError(HTTPStatus.BAD_REQUEST, "req-deadline-ms: missing")
    return deadline_ms


def _check_retry_flag(fields: dict[bytes, bytes]) -> None:
    if fields.get(b"req-retry", b"1") not in (b"0", b"1"):
        raise HTTPError(HTTPStatus.BAD_REQUEST, "req-retry: bad value")


def _parse_integer(fields: dict[bytes, bytes], key: bytes, maximum: int) -> int | None:
    """Return a header's value as an integer from 0 to `maximum`; None if the header is missing."""
    text = fields.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS or int(text) > maximum:
        raise HTTPError(HTTPStatus.BAD_REQUEST, f"{key.decode()}: no number within its range")
    return int(text)
