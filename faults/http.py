"""Whole HTTP messages with a stated length, and connections that end as those of a dead process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

HEAD_END = b"\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection as a process that dies does."""
    if writer.is_closing():
        return
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


@dataclass(frozen=True)
class Message:
    """A whole HTTP message: its first line, its headers with lower-case names, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a stated length; IncompleteReadError where it does not come whole."""
    head = await reader.readuntil(HEAD_END)
    first, *lines = head[: -len(HEAD_END)].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)
