"""Opens outgoing connections."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import NamedTuple

from corkdoor.sidecar.transport.errors import CONNECT_IN_PROGRESS
from corkdoor.sidecar.transport.stream import StreamTransport
from corkdoor.sidecar.transport.stream_protocol import StreamProtocol


class SocketAddress(NamedTuple):
    """An address in the form that the socket module expects."""

    family: int
    address: tuple[object, ...]


async def connect(protocol: StreamProtocol, host: str, port: int) -> StreamTransport:
    """Open a connection.

    Args:
        protocol: the user of the connection.
        host: a host name, or an IPv4 or IPv6 address.
        port: the port.

    Returns:
        The transport. If the call fails or is cancelled, the socket is closed.

    Raises:
        OSError: the connection could not be established.
    """
    loop = asyncio.get_running_loop()
    family, address = await _resolve(loop, host, port)
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        await _complete_connect(loop, sock, address)
        return StreamTransport(loop, sock, protocol)
    except BaseException:
        sock.close()
        raise


async def _resolve(loop: asyncio.AbstractEventLoop, host: str, port: int) -> SocketAddress:
    """Return the first address of a host; an IP address is not looked up."""
    for family, literal in ((socket.AF_INET, host), (socket.AF_INET6, host.strip("[]"))):
        try:
            socket.inet_pton(family, literal)
        except OSError:
            continue
        return SocketAddress(family, (literal, port))
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    return SocketAddress(found[0][0], found[0][4])


async def _complete_connect(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, address: tuple[object, ...]
) -> None:
    status = errno.EINTR
    while status == errno.EINTR:  # another call reports the progress of the interrupted one
        status = sock.connect_ex(address)
    if status in CONNECT_IN_PROGRESS:
        await _wait_until_writable(loop, sock)
        status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if status not in (0, errno.EISCONN):
        raise OSError(status, os.strerror(status))


async def _wait_until_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    writable = loop.create_future()
    loop.add_writer(sock.fileno(), _set_done, writable)
    try:
        await writable
    finally:
        loop.remove_writer(sock.fileno())


def _set_done(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)
