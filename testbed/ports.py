"""Free loopback ports for processes that keep their address over restarts."""

from __future__ import annotations

import contextlib
import random
import socket

FIRST_PORT = 10_000
# The end of the range, exclusive. It lies below the ports for outgoing connections: an outgoing connection
# could otherwise take the port before the process listens on it.
END_PORT = 30_000


def free_port() -> int:
    """Return an unused loopback port outside the range for outgoing connections."""
    while True:
        port = random.randrange(FIRST_PORT, END_PORT)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
