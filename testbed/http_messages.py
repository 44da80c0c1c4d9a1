"""Reads and encodes HTTP messages with a Content-Length, and resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing sends a reset


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as happens when a process is killed."""
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
    """Read a message whose body length is given by Content-Length.

    Raises:
        asyncio.IncompleteReadError: the connection ended before the message was complete.
        OSError: the connection failed.
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
    """Return a response with a Content-Length header."""
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n\r\n%b" % (status, reason.encode(), len(body), body)
