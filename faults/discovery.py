"""A discovery server that serves calls one after another, and fails in many ways."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from dataclasses import dataclass
from enum import Enum

from faults.notifications import ListChange, Notifications
from faults.plan import DiscoveryProfile
from testbed.discovery_wire import DiscoveryCall, Row, endpoint_list, parse_call
from testbed.http_messages import encode_response, read_message, reset
from testbed.loopback_server import LoopbackServer

ADDRESSES_PER_SIDECAR = 3  # all serve the same lists; a reload may move a sidecar from one to another
OLD_ADDRESS_CLOSE_DELAY_S = 1.5  # from a reload that leaves an address until its connections are reset
DISCONNECT_CHECK_INTERVAL_S = 0.02  # how often discovery checks whether the sidecar of a call disconnected
PIECE_INTERVAL_S = 0.005  # between two pieces of a response
RESPONSE_PIECES = 4  # a split response is written in about this many pieces
SILENCE_S = 60.0  # longer than any sidecar waits for a response
REJECTION = encode_response(503, "X", b"")


class DiscoveryMode(Enum):
    """What discovery does with calls."""

    SERVE = "serve"
    REJECT = "reject"
    RESET = "reset"
    SILENT = "silent"


class Loss(Enum):
    """How a response is lost; the values are drawn at random."""

    WITHHELD = 0  # nothing is written, then silence
    STALLED = 1  # half of the response, then silence
    TRUNCATED = 2  # half of the response, then a reset


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A call, the sidecar that it came from, and the loop time of its arrival in seconds."""

    sidecar: str
    call: DiscoveryCall
    received_at_s: float


class FaultyDiscovery:
    """Serves one endpoint list and its changes, and records for the oracle what it wrote to which sidecar.

    Args:
        notifications: records the changes and the responses.
        profile: how long calls take, and how often they are rejected or their responses are lost.
        rng: discovery's own random numbers.
    """

    def __init__(self, notifications: Notifications, profile: DiscoveryProfile, rng: random.Random) -> None:
        self.notifications = notifications
        self.profile = profile
        self.rng = rng
        self.rows: dict[str, Row] = {}
        self.versions: dict[str, int] = {}  # the generation in which each row last changed
        self.generation = 1
        self.mode = DiscoveryMode.SERVE
        self.calls = 0
        self.rejected = 0
        self._changed = asyncio.Event()
        self._servers: list[LoopbackServer] = []
        self._addresses: dict[str, list[LoopbackServer]] = {}  # by sidecar
        self._work_done_at_s = 0.0  # loop time at which all accepted calls will have been served
        self._accepted = 0  # calls in the queue or in service

    async def listen(self, sidecar: str) -> list[int]:
        """Listen on the addresses of one sidecar and return their ports."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(sidecar, reader, writer)

        servers = [LoopbackServer(serve) for _ in range(ADDRESSES_PER_SIDECAR)]
        for server in servers:
            await server.start()
        self._servers += servers
        self._addresses[sidecar] = servers
        return [server.port for server in servers]

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        await asyncio.gather(*(server.stop() for server in self._servers))

    def schedule_close_of_address(self, sidecar: str, index: int) -> None:
        """Reset the current connections to an address that a reload leaves, after a delay."""
        server = self._addresses[sidecar][index]
        connections = server.connections()
        asyncio.get_running_loop().call_later(OLD_ADDRESS_CLOSE_DELAY_S, server.reset_if_open, connections)

    # --- the list ---

    def endpoint_list(self) -> dict[str, object]:
        """Return the full list as a document."""
        return endpoint_list(self.generation, True, self._rows_after(None))

    def _rows_after(self, after: int | None) -> list[Row]:
        """Return the rows that changed after a generation, or the rows of the full list if it is None."""
        if after is not None:
            return [row for name, row in self.rows.items() if self.versions[name] > after]
        omitted = {"gone", "draining"} if self.profile.omits_draining else {"gone"}
        return [row for row in self.rows.values() if row["lifecycle"] not in omitted]

    def change_endpoint(self, row: Row) -> None:
        """Add or replace an entry of the list, and wake the pending watches."""
        self.generation += 1
        name = str(row["instanceId"])
        self.rows[name] = row
        self.versions[name] = self.generation
        now_s = asyncio.get_running_loop().time()
        self.notifications.record_change(
            ListChange(self.generation, name, row["lifecycle"] == "ready", now_s)
        )
        self._changed.set()
        self._changed = asyncio.Event()

    # --- faults ---

    def set_mode(self, mode: DiscoveryMode) -> None:
        """Change what discovery does with calls, and reset pending watches unless discovery falls silent.

        Watches that fell silent are reset when the silence ends. A silent watch may last as long as its
        requested wait, and sidecars are considered notified later of the changes that it misses.
        """
        was_silent, self.mode = self.mode is DiscoveryMode.SILENT, mode
        if mode in (DiscoveryMode.REJECT, DiscoveryMode.RESET) or was_silent:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections: sidecars with a pending watch have to call again."""
        for server in self._servers:
            server.reset_connections()

    # --- calls ---

    async def _serve(self, sidecar: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, RuntimeError):
            while await self._serve_one(sidecar, reader, writer):
                pass

    async def _serve_one(
        self, sidecar: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Read one call and respond to it; return whether the connection stays open."""
        message = await read_message(reader)
        call = parse_call(message.first_line.split(" ")[1])
        if call is None:
            return False
        received = ReceivedCall(sidecar, call, asyncio.get_running_loop().time())
        response = asyncio.ensure_future(self._respond(received, writer))
        while not response.done() and not reader.at_eof() and reader.exception() is None:
            await asyncio.wait((response,), timeout=DISCONNECT_CHECK_INTERVAL_S)
        if not response.done():
            response.cancel()
            return False
        return response.result()

    async def _respond(self, received: ReceivedCall, writer: asyncio.StreamWriter) -> bool:
        """Respond to one call; return whether the connection stays open."""
        self.calls += 1
        if self.mode is DiscoveryMode.SILENT:
            await asyncio.sleep(SILENCE_S)
        if self.mode is DiscoveryMode.RESET:
            reset(writer)
            return False
        if self.mode is DiscoveryMode.REJECT or self._accepted > self.profile.capacity:
            self.rejected += 1
            self._work_done_at_s += self.profile.rejection_time_share * self.profile.service_time_s
            writer.write(REJECTION)
            return True
        if await self._await_queue_limit():
            self.rejected += 1
            writer.write(REJECTION)
            return True
        await self._await_service()
        after = received.call.after
        if after is not None and after >= self.generation:
            await self._await_change(received.call.wait_s)
            await self._await_service()
        return await self._write_list(received, writer)

    async def _await_queue_limit(self) -> bool:
        """If the call would wait longer than the queue limit, wait for the limit and return True."""
        limit_s = self.profile.queue_limit_s
        if limit_s is None or self._work_done_at_s - asyncio.get_running_loop().time() <= limit_s:
            return False
        await asyncio.sleep(limit_s)
        return True

    async def _await_change(self, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), wait_s)
        if self.mode is DiscoveryMode.SILENT:
            await asyncio.sleep(SILENCE_S)

    async def _await_service(self) -> None:
        """Wait until all calls accepted before and this one have been served."""
        if not self.profile.service_time_s:
            return
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        done_s = self._work_done_at_s = max(now_s, self._work_done_at_s) + self.profile.service_time_s
        self._accepted += 1
        loop.call_at(done_s, self._end_service)  # even if the sidecar disconnects in the meantime
        await asyncio.sleep(done_s - now_s)

    def _end_service(self) -> None:
        self._accepted -= 1

    # --- responses ---

    async def _write_list(self, received: ReceivedCall, writer: asyncio.StreamWriter) -> bool:
        after = received.call.after
        full = after is None or self.rng.random() < self.profile.full_list_share
        generation = self.generation
        rows = self._rows_after(None if full else after)
        body = json.dumps(endpoint_list(generation, full, rows)).encode()
        data = encode_response(200, "OK", body)
        if self.rng.random() < self.profile.lost_share:
            self._record_lost_watch(received)
            return await self._lose_response(data, writer)
        step = max(1, len(data) // RESPONSE_PIECES) if self.profile.split_responses else len(data)
        for offset in range(0, len(data), step):
            if offset:
                await asyncio.sleep(PIECE_INTERVAL_S)
            if writer.is_closing():  # an outage began between two pieces
                self._record_lost_watch(received)
                return False
            writer.write(data[offset : offset + step])
        self.notifications.record_written_list(
            received.sidecar, generation, asyncio.get_running_loop().time()
        )
        return True

    def _record_lost_watch(self, received: ReceivedCall) -> None:
        if received.call.after is not None:
            watch_end_s = received.received_at_s + received.call.wait_s
            self.notifications.record_lost_watch(received.sidecar, received.received_at_s, watch_end_s)

    async def _lose_response(self, data: bytes, writer: asyncio.StreamWriter) -> bool:
        """Lose a response in a random way; return False, because the connection does not stay open."""
        loss = Loss(self.rng.randrange(len(Loss)))
        if loss is not Loss.WITHHELD:
            writer.write(data[: len(data) // 2])
        if loss is not Loss.TRUNCATED:
            await asyncio.sleep(SILENCE_S)  # cancelled when the sidecar gives up and disconnects
        await asyncio.sleep(PIECE_INTERVAL_S)
        reset(writer)
        return False
