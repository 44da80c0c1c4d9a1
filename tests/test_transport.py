"""A stream transport on a pair of connected sockets: buffering, pausing, ending, and temporary errors."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from corkdoor.sidecar.transport import acceptor as acceptor_module
from corkdoor.sidecar.transport.acceptor import Acceptor
from corkdoor.sidecar.transport.stream import StreamTransport
from tests.sidecar_support import wait_until

LARGE = b"x" * 8_000_000  # more bytes than the kernel accepts at once


class RecordingProtocol:
    """Records the calls that it gets from the transport."""

    def __init__(self) -> None:
        self.received = b""
        self.calls: list[str] = []
        self.error: Exception | None = None

    def connection_made(self, transport: StreamTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data

    def eof_received(self) -> bool:
        self.calls.append("eof_received")
        return False

    def pause_writing(self) -> None:
        self.calls.append("pause_writing")

    def resume_writing(self) -> None:
        self.calls.append("resume_writing")

    def connection_lost(self, error: Exception | None) -> None:
        self.error = error
        self.calls.append(f"connection_lost {type(error).__name__}")


@pytest.fixture
def peers() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Two connected non-blocking sockets: one for the transport, one for the peer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    own.setblocking(False)
    peer.setblocking(False)
    yield own, peer
    own.close()
    peer.close()


def connect_protocol(own: socket.socket) -> RecordingProtocol:
    """Return a protocol with a transport on this socket."""
    protocol = RecordingProtocol()
    StreamTransport(asyncio.get_running_loop(), own, protocol)
    return protocol


async def read_all(peer: socket.socket) -> bytes:
    """Return what the peer receives up to the end of the output."""
    loop, data = asyncio.get_running_loop(), b""
    while part := await loop.sock_recv(peer, 1 << 20):
        data += part
    return data


class FailingOnce:
    """A call that fails once for lack of memory, and then works."""

    def __init__(self, call: Callable[..., Any]) -> None:
        self.call = call
        self.failures = 0

    def __call__(self, *values: Any) -> Any:
        if not self.failures:
            self.failures += 1
            raise OSError(errno.ENOMEM, "no memory")
        return self.call(*values)


class FailingLoop:
    """The running loop, except that the first call of one method fails."""

    def __init__(self, method: str) -> None:
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.failing = FailingOnce(getattr(loop, method))
        setattr(self, method, self.failing)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


async def test_buffered_output_is_sent_when_the_transport_is_closed(
    peers: tuple[socket.socket, socket.socket],
) -> None:
    own, peer = peers
    protocol = connect_protocol(own)
    protocol.transport.write(LARGE)
    assert protocol.transport.buffered_bytes() > 0
    assert protocol.calls == ["pause_writing"]
    protocol.transport.close()
    protocol.transport.write(b"dropped: it is closing")
    assert await read_all(peer) == LARGE
    await wait_until(lambda: "connection_lost NoneType" in protocol.calls)
    assert protocol.calls == ["pause_writing", "resume_writing", "connection_lost NoneType"]


async def test_buffered_output_is_discarded_when_the_transport_is_aborted(
    peers: tuple[socket.socket, socket.socket],
) -> None:
    own, peer = peers
    protocol = connect_protocol(own)
    protocol.transport.write(LARGE)
    protocol.transport.abort()
    assert own.fileno() == -1  # the descriptor is closed at once
    assert protocol.calls == ["pause_writing"]  # and the protocol is notified later
    await wait_until(lambda: "connection_lost NoneType" in protocol.calls)
    assert len(await read_all(peer)) < len(LARGE)


async def test_buffered_output_is_sent_and_input_still_read_when_the_output_is_ended(
    peers: tuple[socket.socket, socket.socket],
) -> None:
    own, peer = peers
    protocol = connect_protocol(own)
    protocol.transport.write(LARGE)
    protocol.transport.write_eof()
    assert await read_all(peer) == LARGE
    peer.sendall(b"still read")
    await wait_until(lambda: protocol.received == b"still read")
    assert not protocol.transport.is_closing()


async def test_input_stays_in_the_kernel_when_reading_is_paused(
    peers: tuple[socket.socket, socket.socket],
) -> None:
    own, peer = peers
    protocol = connect_protocol(own)
    protocol.transport.pause_reading()
    peer.sendall(b"later")
    await wait_until(protocol.transport.has_input)
    await asyncio.sleep(0.02)
    assert protocol.received == b""
    peer.shutdown(socket.SHUT_WR)
    await wait_until(protocol.transport.peer_closed)
    protocol.transport.resume_reading()
    await wait_until(lambda: "connection_lost NoneType" in protocol.calls)
    assert (protocol.received, protocol.calls[0]) == (b"later", "eof_received")


@pytest.mark.parametrize("method", ["add_reader", "add_writer"])
async def test_watch_is_retried_when_it_fails_for_lack_of_memory(
    method: str, peers: tuple[socket.socket, socket.socket]
) -> None:
    own, peer = peers
    loop, protocol = FailingLoop(method), RecordingProtocol()
    StreamTransport(loop, own, protocol)  # type: ignore[arg-type]
    protocol.transport.write(LARGE)
    peer.sendall(b"input")
    protocol.transport.write_eof()
    assert await read_all(peer) == LARGE
    await wait_until(lambda: protocol.received == b"input")
    assert loop.failing.failures == 1
    protocol.transport.abort()


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
async def test_listening_succeeds_when_a_shortage_is_temporary(
    monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    """Guards against a start that fails after one failed call; Linux documents that calls may fail so."""
    failures = iter([OSError(error, "short")] * 3)
    create_server = socket.create_server

    def failing(*arguments: Any, **options: Any) -> socket.socket:
        for failure in failures:
            raise failure
        return create_server(*arguments, **options)

    monkeypatch.setattr(socket, "create_server", failing)
    acceptor = Acceptor("127.0.0.1", 0, 1, RecordingProtocol)
    assert acceptor.is_open
    acceptor.close()


async def test_error_states_the_reason_when_a_shortage_prevents_listening(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def failing(*arguments: Any, **options: Any) -> socket.socket:
        raise OSError(errno.ENFILE, "short")

    monkeypatch.setattr(acceptor_module, "LISTEN_RETRY_PERIOD_S", 0.05)
    monkeypatch.setattr(socket, "create_server", failing)
    with pytest.raises(OSError, match=r"can't listen on 127\.0\.0\.1:0: too many open files in system"):
        Acceptor("127.0.0.1", 0, 1, RecordingProtocol)


async def test_error_of_a_connection_does_not_keep_its_call_stack_in_memory(
    peers: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against requests that stay in memory until all ends of an iteration are reported.

    The traceback of an error refers to the stack in which it was raised, and its context to an earlier error.
    """
    own, peer = peers
    protocol = connect_protocol(own)
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    try:
        raise ValueError
    except ValueError:
        protocol.transport.write(b"x")
    await asyncio.sleep(0)
    assert isinstance(protocol.error, ConnectionError)
    assert (protocol.error.__traceback__, protocol.error.__context__) == (None, None)
