"""Reading a client's request: what it asks for, whether it may be served, and what is forwarded of it."""

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
MAX_NUMBER_DIGITS = 18  # what surely fits 64 bits
NOT_FORWARDED = HOP_BY_HOP_FIELDS | {b"req-deadline-ms"}  # each attempt states its own deadline
SINGLE_FIELD_PREFIX = b"req-"  # headers that may be given once only


class RequestingClient(Client, Protocol):
    """Who asks, and is told under which id of its own its request is open."""

    request_id: bytes


class RequestAdmission:
    """Makes the requests to proxy out of those that came, by the settings in force.

    Args:
        settings: the settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._open_ids: set[bytes] = set()
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Admit further requests by these settings."""
        self.longest_deadline_s = max(each.deadline_us for each in settings.classes) / 1e6
        self._classes = {each.name.encode(): each for each in settings.classes}
        self._tenants = {tenant.name for tenant in settings.tenants}

    def admit(self, client: RequestingClient, incoming: IncomingRequest, path: bytes) -> ProxiedRequest:
        """Read a request; its id stays open until `release`.

        Args:
            client: who waits for the response; gets the request's id.
            incoming: the request as it came.
            path: the path of its target.

        Raises:
            HTTPError: it is rejected.
        """
        request_class = self._request_class(path)
        lines = [b"%s %s HTTP/1.1\r\n" % (incoming.method, incoming.target)]
        fields = _read_headers(incoming.headers, lines)
        _check_method(incoming.method, request_class, fields)
        request_id = _request_id(fields)
        deadline_ms = _number(fields, b"req-deadline-ms", MAX_DEADLINE_MS)
        if deadline_ms is None:
            raise HTTPError(HTTPStatus.BAD_REQUEST, "req-deadline-ms: missing")
        if fields.get(b"req-retry", b"1") not in (b"0", b"1"):
            raise HTTPError(HTTPStatus.BAD_REQUEST, "req-retry: bad value")
        cost_hint_us = _number(fields, b"req-cost", MAX_COST_HINT_US)
        tenant = self._tenant(fields)
        if request_id in self._open_ids:
            # Two responses would be due for one id, and endpoints could not tell its attempts apart.
            raise HTTPError(HTTPStatus.CONFLICT, "req-id: this request is open")
        self._open_ids.add(request_id)
        client.request_id = request_id
        deadline_us = incoming.arrived_us + deadline_ms * 1000
        if incoming.body or request_class.idempotency is not Idempotency.IDEMPOTENT:
            lines.append(b"Content-Length: %d\r\n" % len(incoming.body))
        return ProxiedRequest(
            client, request_class, tenant, cost_hint_us, deadline_us, b"".join(lines), incoming.body
        )

    def release(self, request_id: bytes) -> None:
        """The request with this id has ended."""
        self._open_ids.discard(request_id)

    def _request_class(self, path: bytes) -> RequestClass:
        name = path[1:].partition(b"/")[0]
        request_class = self._classes.get(name) if path[:1] == b"/" else None
        if request_class is None:
            raise HTTPError(HTTPStatus.NOT_FOUND, "no such class")
        return request_class

    def _tenant(self, fields: dict[bytes, bytes]) -> str | None:
        """The tenant. An unknown one is rejected: each name would get a quota, and memory, of its own."""
        if not self._tenants:
            return None
        tenant = fields.get(b"req-owner", b"").decode("latin-1")
        if tenant not in self._tenants:
            raise HTTPError(HTTPStatus.BAD_REQUEST, "req-owner: missing or unknown")
        return tenant


def _read_headers(headers: list[tuple[bytes, bytes]], lines: list[bytes]) -> dict[bytes, bytes]:
    """Return the values by their headers' names in lower case; append the lines to forward to `lines`."""
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        key = name.lower()
        if key in fields and (key.startswith(SINGLE_FIELD_PREFIX) or key == b"idempotency-key"):
            raise HTTPError(HTTPStatus.BAD_REQUEST, f"{key.decode('latin-1')}: given twice")
        fields[key] = value
        if key not in NOT_FORWARDED:
            lines.append(b"%s: %s\r\n" % (name, value))
    if b"host" not in fields:  # HTTP/1.0 may leave it out, what is forwarded may not
        lines.append(b"Host: endpoint\r\n")
    return fields


def _check_method(method: bytes, request_class: RequestClass, fields: dict[bytes, bytes]) -> None:
    expected = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if method != expected:
        raise HTTPError(HTTPStatus.METHOD_NOT_ALLOWED, "the method does not fit the class")
    if request_class.idempotency is Idempotency.WITH_KEY and not fields.get(b"idempotency-key"):
        raise HTTPError(HTTPStatus.BAD_REQUEST, "idempotency-key: missing")


def _request_id(fields: dict[bytes, bytes]) -> bytes:
    value = fields.get(b"req-id", b"")
    if REQUEST_ID.fullmatch(value) is None:
        raise HTTPError(HTTPStatus.BAD_REQUEST, "req-id: missing or bad")
    return value


def _number(fields: dict[bytes, bytes], key: bytes, maximum: int) -> int | None:
    """A header's value as a whole number up to `maximum`; None where the header is missing."""
    text = fields.get(key)
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS or int(text) > maximum:
        raise HTTPError(HTTPStatus.BAD_REQUEST, f"{key.decode()}: no number within its range")
    return int(text)
