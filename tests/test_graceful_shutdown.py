"""The graceful shutdown: accepted requests get responses, and none is forwarded that can't get one."""

from __future__ import annotations

import asyncio
import logging
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from corkdoor.sidecar import graceful_shutdown
from corkdoor.sidecar.graceful_shutdown import ShutdownTimeouts, shut_down
from tests.sidecar_client import Client
from tests.sidecar_process import running_sidecar
from tests.sidecar_support import Sidecar, run

# Short times for tests. Only `flush_s` is long, for slow machines; it ends early when no client is connected.
SHORT = ShutdownTimeouts(
    max_deadline_s=0.3, response_grace_s=0.0, draining_share=0.1, min_draining_s=0.0, flush_s=5.0
)


# A process ends within half a second of the line `shutdown_rejecting`, on a busy machine somewhat later.
MAX_EXIT_S = 10.0


class ActOnLog(logging.Handler):
    """Runs a function at the moment a line is logged, before the event loop runs anything else."""

    def __init__(self, text: str, act: Callable[[], None]) -> None:
        super().__init__()
        self.text = text
        self.act = act

    def emit(self, record: logging.LogRecord) -> None:
        if record.getMessage().startswith(self.text):
            self.act()


@pytest.fixture
def on_log(caplog: pytest.LogCaptureFixture) -> Callable[[str, Callable[[], None]], None]:
    caplog.set_level(logging.INFO)
    return lambda text, act: graceful_shutdown.log.addHandler(ActOnLog(text, act))


@pytest.fixture(autouse=True)
def clear_log_handlers() -> None:
    graceful_shutdown.log.handlers.clear()


REQUEST = (
    b"POST /pay/a HTTP/1.1\r\nHost: s\r\nReq-Id: %d\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n"
    b"Content-Length: 1\r\n\r\nx"
)


def test_connections_that_are_not_accepted_yet_are_served_during_the_shutdown(
    on_log: Callable[[str, Callable[[], None]], None],
) -> None:
    """Guards against closing the listener too early, which would reset the connections in its backlog."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            sockets: list[socket.socket] = []

            def connect() -> None:
                for i in range(3):
                    sockets.append(socket.create_connection(("127.0.0.1", sidecar.port)))
                    sockets[-1].sendall(REQUEST % i)

            on_log("event=shutdown_closing clients=0 ", connect)
            shutdown = asyncio.create_task(shut_down(sidecar.server, sidecar.proxy, SHORT))
            for _ in range(3):
                (await sidecar.endpoints[0].next_request()).respond()
            for sock in sockets:
                client = Client(*await asyncio.open_connection(sock=sock))
                assert (await client.read_response()).status == 200
            await shutdown

    run(test())


def test_pipelined_requests_behind_an_open_one_are_rejected_without_an_attempt() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.send(deadline_ms=30_000)
            await sidecar.endpoints[0].next_request()
            client.send(deadline_ms=30_000)
            client.send(deadline_ms=30_000)
            while sum(connection.waiting_requests for connection in sidecar.server.clients) < 2:
                await asyncio.sleep(0.01)
            await shut_down(sidecar.server, sidecar.proxy, SHORT)
            assert [(await client.read_response()).status for _ in range(3)] == [504, 503, 503]
            assert await client.reader.read() == b""
            assert sidecar.endpoints[0].requests.empty()
            assert not sidecar.server.clients

    run(test())


def test_incomplete_request_is_rejected_when_the_shutdown_rejects() -> None:
    """Guards against a request whose last byte arrives too late for a response."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            client = await sidecar.client()
            client.writer.write(REQUEST[:-1] % 1)
            while not any(connection.is_receiving for connection in sidecar.server.clients):
                await asyncio.sleep(0.01)
            shutdown = asyncio.create_task(shut_down(sidecar.server, sidecar.proxy, SHORT))
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (503, "close")
            client.writer.close()
            await shutdown
            assert sidecar.endpoints[0].requests.empty()

    run(test())


def test_request_completed_when_the_shutdown_rejects_is_rejected_without_an_attempt(
    on_log: Callable[[str, Callable[[], None]], None],
) -> None:
    """Guards against forwarding a request that can't get a response any more."""

    async def test() -> None:
        async with Sidecar() as sidecar:
            busy, late = await sidecar.client(), socket.create_connection(("127.0.0.1", sidecar.port))
            busy.send(deadline_ms=30_000)
            await sidecar.endpoints[0].next_request()
            late.sendall(REQUEST[:-1] % 1)
            while not any(connection.is_receiving for connection in sidecar.server.clients):
                await asyncio.sleep(0.01)
            on_log("event=shutdown_rejecting ", lambda: late.sendall(b"x" + REQUEST % 2))
            await shut_down(sidecar.server, sidecar.proxy, SHORT)
            client = Client(*await asyncio.open_connection(sock=late))
            assert (await client.read_response()).status == 503
            assert (await busy.read_response()).status == 504
            assert sidecar.endpoints[0].requests.empty()

    run(test())


def process_state(pid: int) -> str:
    """Return what the kernel tells of a process: its state, signals, and processor time in ticks."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    lines = [" ".join(line.split()) for line in status.splitlines() if line.startswith(("State", "Sig"))]
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return ", ".join([*lines, f"user time {fields[11]}", f"kernel time {fields[12]}"])


def test_exit_status_is_0_when_reloads_arrive_until_the_process_ends(tmp_path: Path) -> None:
    """Guards against SIGHUP after the event loop has restored its default action, which ends the process."""

    async def test() -> None:
        async with running_sidecar(tmp_path, {}) as running:
            running.process.send_signal(signal.SIGTERM)
            await running.wait_for_log_line("event=shutdown_rejecting ")
            fails_at_s = time.monotonic() + MAX_EXIT_S
            while running.process.poll() is None:
                running.process.send_signal(signal.SIGHUP)
                if time.monotonic() > fails_at_s:
                    pytest.fail(f"the process has not ended: {process_state(running.process.pid)}")
            assert running.process.returncode == 0

    run(test())
