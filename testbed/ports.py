"""Loopback ports for processes that are restarted under one address."""

from __future__ import annotations

import contextlib
import random
import socket

FIRST_PORT = 10_000
END_PORT = 30_000  # below the ports that outgoing connections get: they would race for it


def free_port() -> int:
    """Return a loopback port that nobody listens on, outside the range of outgoing connections."""
    while True:
        port = random.randrange(FIRST_PORT, END_PORT)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
