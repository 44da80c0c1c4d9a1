"""Requests of clients that have left are run: their end waits behind input that the sidecar does not read."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as s  # noqa: E402 - the folder above holds the stand-ins

SITE = "meadow-archive"
BURSTS = 5
CLIENTS = 50  # of a burst
BURST_INTERVAL_S = 5.0
COMMANDS = 12  # sent at once on a connection
BODY_BYTES = 60_000  # under the 64 KiB of the protocol
BETWEEN_S = 0.005  # from one client of a burst to the next
STAY_S = 0.03  # from the last byte that the kernel takes to the close
DEADLINE_S = 12.0  # that of the class
SERVICE_S = (0.35, 0.63)  # the class on the site: 210 to 360 ms of work, 140 to 270 of input and output
ANSWER_TIMEOUT_S = 30.0
# The attempts of a client that has gone: 0.1 s, and 50 ms more, as for every time limit on sockets.
GRACE_S = 0.15
MIN_RUNS = 100
LAG_STEP_S = 0.005


class Client:
    """A client that sends many commands at once; with the disruption it then goes."""

    def __init__(self, clients: s.Clients, category: dict[str, object]) -> None:
        self.clients = clients
        self.ids = [f"{random.getrandbits(64):016x}" for _ in range(COMMANDS)]
        body = random.randbytes(BODY_BYTES)
        self.data = b"".join(clients.encode(each, category, DEADLINE_S, body) for each in self.ids)
        self.left_s: float | None = None  # when the connection was closed, before its answers had come
        self.answers: list[int] = []

    async def run(self, delay_s: float) -> None:
        """Send after a delay, and close the connection at once, or when all answers have come."""
        await asyncio.sleep(delay_s)
        record, loop = self.clients.record, asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (s.LOOPBACK, self.clients.sidecar.port))
        except OSError:
            sock.close()
            return
        record.note(f"sends {' '.join(self.ids)} at once")
        if not s.trouble():
            await self._read_answers(sock)
            return
        sent = self._send_at_once(sock, self.data)
        await asyncio.sleep(STAY_S)
        sock.close()
        self.left_s = record.seconds()
        record.note(f"{self.ids[0]}: its client has closed after {sent} bytes of {len(self.data)}")

    @staticmethod
    def _send_at_once(sock: socket.socket, data: bytes) -> int:
        """Send what the kernel takes."""
        sent = 0
        with contextlib.suppress(OSError):
            while sent < len(data):
                sent += sock.send(data[sent:])
        return sent

    async def _read_answers(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(self.data)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                for _ in self.ids:
                    self.answers.append((await s.read_message(reader)).status)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.clients.record.note(f"{self.ids[0]}: {type(error).__name__}")
        self.clients.record.note(f"{self.ids[0]}: answers {self.answers}")
        writer.close()


class Lag:
    """How long the stand-ins' process was held up, and when: a time that it notes may be late by that."""

    def __init__(self, record: s.Record) -> None:
        self.record = record
        self._held_up: list[tuple[float, float]] = []  # from when, and for how long
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Measure from now on."""
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            before_s = self.record.seconds()
            await asyncio.sleep(LAG_STEP_S)
            self._held_up.append((before_s, self.record.seconds() - before_s - LAG_STEP_S))

    def longest_s(self, from_s: float, to_s: float) -> float:
        """Return for how long the process was held up at most, from one second before to one after."""
        return max((held for at_s, held in self._held_up if from_s - 1 < at_s < to_s + 1), default=0.0)


async def run() -> int:
    """Run the case, and return its exit status."""
    record = s.Record(HERE)
    settings = s.site_settings(SITE)
    runs: list[s.Run] = []
    discovery, endpoints = await s.start_endpoints(record, runs, settings, 1)
    for endpoint in endpoints:
        endpoint.service_s = SERVICE_S
    category = next(each for each in settings["Categories"] if each["Effect"] == s.EFFECTS["keyed"])
    sidecar = s.Sidecar("n0", discovery.server.port, settings, record)
    clients = s.Clients(sidecar, record, settings["Parties"][0]["Name"])
    bursts = [[Client(clients, category) for _ in range(CLIENTS)] for _ in range(BURSTS)]
    lag = Lag(record)
    try:
        if not await s.start_all([sidecar], discovery.whole_list()):
            return record.close(s.NOT_RUN, "the sidecar is not ready")
        lag.start()
        for burst in bursts:
            next_s = record.seconds() + BURST_INTERVAL_S
            await asyncio.gather(*(client.run(n * BETWEEN_S) for n, client in enumerate(burst)))
            await asyncio.sleep(max(0.0, next_s - record.seconds()))
    finally:
        sidecar.end()
    left_s = {request_id: client.left_s for burst in bursts for client in burst for request_id in client.ids}
    late = []
    for each in runs:
        closed_s = left_s.get(each.request_id)
        if closed_s is None or each.at_s <= closed_s + GRACE_S:
            continue
        held_up_s = lag.longest_s(closed_s, each.at_s)
        if each.at_s > closed_s + GRACE_S + held_up_s:
            late.append(each.at_s - closed_s)
            record.note(
                f"late: {each.request_id}, {each.at_s - closed_s:.3f} s after its client's close, "
                f"stand-ins held up for {held_up_s:.3f} s at most"
            )
    gone = sum(client.left_s is not None for burst in bursts for client in burst)
    text = f"{gone} clients have left, {len(runs)} requests run, {len(late)} of them begun too late"
    if late:
        text += f", up to {max(late):.2f} s after the close"
    if len(runs) < MIN_RUNS:
        return record.close(s.NOT_RUN, text)
    return record.close(s.BROKEN if late else s.HELD, text)


if __name__ == "__main__":
    sys.exit(s.main(run))
