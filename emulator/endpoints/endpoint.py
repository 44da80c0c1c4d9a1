"""An emulated endpoint with its own loopback port."""

from __future__ import annotations

import asyncio
import math
from collections import Counter, deque
from enum import Enum

import msgspec
import numpy as np

from emulator.endpoints.connection import EndpointConnection
from emulator.endpoints.messages import EndpointCounter, EndpointProfile

BACKLOG = 1024
SMOOTHING = 0.1  # weight of the newest response in the reported service time
BODY = b"done"
REPORT_FIELDS = ("pending", "queue", "inflight", "served_ps", "svc_ms", "util")
HEALTH_URL = b"/alive"
LOAD_URL = b"/metrics/load"
MIN_AGE_S = 1e-3  # keeps the reported rate of a new endpoint finite
MIN_SERVICE_MS = 0.01  # lower bound of the reported service time
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_ERROR = 500
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class EndpointMode(Enum):
    """How a running endpoint handles requests."""

    SERVE = "serve"
    DRAIN = "drain"
    HANG = "hang"


class PendingRequest(msgspec.Struct):
    """A request that is queued, is running, or hangs."""

    connection: EndpointConnection
    deadline_s: float  # loop time after which the sidecar no longer waits for a response
    keep_alive: bool
    abandoned: bool = False


class Endpoint:
    """Queues, runs and responds to requests according to its profile.

    Args:
        name: the endpoint's id.
        profile: its properties.
        rng: draws service times and errors.
        counters: the counters that all endpoints of the process share.

    Raises:
        ValueError: the profile names an unknown field of the load report.
    """

    def __init__(
        self,
        name: str,
        profile: EndpointProfile,
        rng: np.random.Generator,
        counters: Counter[EndpointCounter],
    ) -> None:
        unknown = set(profile.reports) - set(REPORT_FIELDS)
        if unknown:
            raise ValueError(f"reports: unknown fields {sorted(unknown)}")
        self.name = name
        self.profile = profile
        self.rng = rng
        self.counters = counters
        self.mode = EndpointMode.SERVE
        self.port = 0
        self.warming_since_s = -math.inf  # loop time of the last start with a warm-up
        self.listening_since_s = 0.0
        self.connections: dict[EndpointConnection, PendingRequest | None] = {}
        self.waiting: deque[PendingRequest] = deque()
        self.hanging: list[PendingRequest] = []
        self.running = 0
        self.served = 0
        self.service_ms = profile.median_ms
        self.server: asyncio.Server | None = None

    # --- lifecycle ---

    async def listen(self, warming_up: bool) -> None:
        """Accept connections.

        Args:
            warming_up: whether the warm-up to full speed starts now.

        Raises:
            OSError: no port is available.
        """
        loop = asyncio.get_running_loop()
        self.listening_since_s = loop.time()
        self.warming_since_s = loop.time() if warming_up else -math.inf
        self.mode = EndpointMode.SERVE
        self.server = await loop.create_server(
            lambda: EndpointConnection(self), "127.0.0.1", self.port, backlog=BACKLOG
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Reset all connections, refuse new ones, and never respond to the requests that were running."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.waiting.clear()
        self.hanging.clear()
        self.running = 0

    def release(self) -> None:
        """Respond to the hanging requests, and serve requests again."""
        self.mode = EndpointMode.SERVE
        released, self.hanging = self.hanging, []
        for request in released:
            self._respond(request, HTTP_OK)

    # --- connections ---

    @property
    def idle_s(self) -> float:
        """How long a connection without a request stays open, in seconds."""
        return self.profile.idle_s

    def on_connect(self, connection: EndpointConnection) -> None:
        """Record a new connection."""
        self.connections[connection] = None
        self.counters[EndpointCounter.CONNECTIONS] += 1
        self.counters[EndpointCounter.OPEN] += 1

    def on_disconnect(self, connection: EndpointConnection) -> None:
        """Mark the connection's request as abandoned. A request that is running still runs to its end."""
        request = self.connections.pop(connection, None)
        self.counters[EndpointCounter.OPEN] -= 1
        if request is not None:
            request.abandoned = True
            self.counters[EndpointCounter.ABANDONED] += 1

    # --- requests ---

    def on_request(
        self, connection: EndpointConnection, url: bytes, headers: dict[bytes, bytes], keep_alive: bool
    ) -> None:
        """Run, queue or decline a request that has arrived completely."""
        if url in (HEALTH_URL, LOAD_URL):
            self._respond_to_health_check(connection, url, keep_alive)
        elif not headers.get(b"req-id"):
            connection.respond(HTTP_NOT_FOUND, b"", keep_alive)
        elif self.mode is EndpointMode.DRAIN or len(self.connections) > self.profile.connections:
            self._decline(connection, HTTP_UNAVAILABLE, keep_alive)
        else:
            self._accept(connection, headers.get(b"req-deadline-ms", b""), keep_alive)

    def _accept(self, connection: EndpointConnection, limit_ms: bytes, keep_alive: bool) -> None:
        limit_s = int(limit_ms) / 1000 if limit_ms.isdigit() else math.inf
        request = PendingRequest(connection, asyncio.get_running_loop().time() + limit_s, keep_alive)
        self.connections[connection] = request
        if self.mode is EndpointMode.HANG:
            self.counters[EndpointCounter.HUNG] += 1
            self.hanging.append(request)
        elif self.running < self.profile.cores:
            self._run(request)
        elif len(self.waiting) < self.profile.queue:
            self.waiting.append(request)
        else:
            self._decline(connection, HTTP_UNAVAILABLE, keep_alive)

    def _respond_to_health_check(self, connection: EndpointConnection, url: bytes, keep_alive: bool) -> None:
        if not self.profile.health_checks:
            connection.respond(HTTP_NOT_FOUND, b"", keep_alive)
            return
        self.counters[EndpointCounter.HEALTH_CHECKS] += 1
        body = self.load_report() if url == LOAD_URL else b""
        status = HTTP_UNAVAILABLE if self.mode is EndpointMode.DRAIN else HTTP_OK
        connection.respond(status, body, keep_alive)

    def _decline(self, connection: EndpointConnection, status: int, keep_alive: bool) -> None:
        self._clear_request(connection)
        self.counters[EndpointCounter.DECLINED] += 1
        connection.respond(status, b"", keep_alive, b"Srv-Declined: 1")

    def _clear_request(self, connection: EndpointConnection) -> None:
        if connection in self.connections:
            self.connections[connection] = None

    # --- service ---

    def speed(self, now_s: float) -> float:
        """Return the endpoint's speed at a loop time in seconds, as a share of its full speed."""
        age_s = now_s - self.warming_since_s
        if age_s >= self.profile.warm_up_s:
            return 1.0
        initial = self.profile.initial_speed
        return initial + (1 - initial) * age_s / self.profile.warm_up_s

    def draw_service_s(self, now_s: float) -> float:
        """Draw the service time of a request that starts at a loop time; both in seconds."""
        if not self.profile.median_ms:
            return 0.0
        drawn_ms = self.rng.lognormal(math.log(self.profile.median_ms), self.profile.sigma)
        return float(drawn_ms) / 1000 / self.speed(now_s)

    def _run(self, request: PendingRequest) -> None:
        loop = asyncio.get_running_loop()
        service_s = self.draw_service_s(loop.time())
        self.running += 1
        if service_s:
            loop.call_later(service_s, self._finish, request, service_s)
        else:
            self._finish(request, 0.0)

    def _finish(self, request: PendingRequest, service_s: float) -> None:
        if self.server is None:  # the endpoint has crashed meanwhile
            return
        self.running -= 1
        self.served += 1
        self.service_ms += SMOOTHING * (service_s * 1000 - self.service_ms)
        failed = bool(self.profile.errors) and float(self.rng.random()) < self.profile.errors
        if not request.abandoned:
            self._respond(request, HTTP_ERROR if failed else HTTP_OK)
        self._run_waiting()

    def _run_waiting(self) -> None:
        now_s = asyncio.get_running_loop().time()
        while self.waiting and self.running < self.profile.cores:
            request = self.waiting.popleft()
            if request.abandoned:
                continue
            if now_s >= request.deadline_s:
                self._decline(request.connection, HTTP_TIMEOUT, request.keep_alive)
                continue
            self._run(request)

    def _respond(self, request: PendingRequest, status: int) -> None:
        if request.abandoned:
            return
        served = status == HTTP_OK
        self._clear_request(request.connection)
        self.counters[EndpointCounter.SERVED if served else EndpointCounter.ERRORS] += 1
        headers = (b"Srv-Load: " + self.load_report(),) if self.profile.reports else ()
        request.connection.respond(status, BODY if served else b"", request.keep_alive, *headers)

    def load_report(self) -> bytes:
        """Return the load report: requests, requests/s, milliseconds, and the share of busy cores."""
        age_s = max(MIN_AGE_S, asyncio.get_running_loop().time() - self.listening_since_s)
        values: dict[str, float] = {
            "pending": len(self.waiting),
            "queue": len(self.waiting),
            "inflight": self.running,
            "served_ps": round(self.served / age_s, 2),
            "svc_ms": round(max(MIN_SERVICE_MS, self.service_ms), 3),
            "util": round(min(1.0, self.running / self.profile.cores), 3),
        }
        return ",".join(f"{name}={values[name]:g}" for name in self.profile.reports).encode()
