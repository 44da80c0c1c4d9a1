"""Complete HTTP messages with a stated length, and connections that end as those of a dead process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
LINGER_RESET = struct.pack("ii", 1, 0)  # close with a reset


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as a process that dies does."""
    if writer.is_closing():
        return
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


@dataclass(frozen=True)
class Message:
    """A complete HTTP message: its first line, its headers with lower-case names, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a stated length.

    Raises:
        asyncio.IncompleteReadError: the connection ended before the message did.
        OSError: the connection broke.
    """
    head = await reader.readuntil(HEAD_END)
    first_line, *lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first_line, headers, body)


def encode_response(status: int, reason: str, body: bytes) -> bytes:
    """Return a response with a stated length."""
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n\r\n%b" % (status, reason.encode(), len(body), body)
