"""Divides the limits of a sidecar's process: its file descriptors and its memory."""

from __future__ import annotations

from dataclasses import dataclass

# File descriptors of the process itself: the event loop, the log, the listener, the connection to discovery,
# and a second one, which is open while a late call is hedged and may replace the first.
RESERVED_DESCRIPTORS = 16
# The share of the descriptors, without RESERVED_DESCRIPTORS, that client connections may use. It is twice the
# share that clients with open requests may use.
CLIENT_DESCRIPTOR_SHARE = 0.55
MIB = 1 << 20
BASE_MEMORY_MB = 18  # anonymous memory of a process in MiB, without connections and input
CONNECTION_BYTES = 2300  # an open connection on which nothing happens
LIST_MEMORY_SHARE = 0.5  # the share of the memory above BASE_MEMORY_MB for reading endpoint lists
MAX_LIST_MEMORY_BYTES = 16 * MIB  # enough for a list of 5,000 endpoints
# The share of the rest for requests and responses. Freed memory is not always fit for reuse.
HELD_MEMORY_SHARE = 0.75
MIN_HELD_BYTES = MIB  # lower bound at any memory limit: with less, no request could be served


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits on the connections and the memory of one sidecar.

    Attributes:
        client_connections: the limit on connections from clients.
        endpoint_connections: the limit on connections to endpoints.
        held_bytes: the limit on the memory that requests and responses take.
        list_bytes: the limit on the memory that reading endpoint lists takes.
    """

    client_connections: int
    endpoint_connections: int
    held_bytes: int
    list_bytes: int = MAX_LIST_MEMORY_BYTES

    @classmethod
    def divide(cls, descriptors: int, memory_mb: float) -> ResourceLimits:
        """Divide the file descriptors of the process, and its memory in MiB."""
        free = max(2, descriptors - RESERVED_DESCRIPTORS)
        clients = max(1, int(CLIENT_DESCRIPTOR_SHARE * free))
        available = int((memory_mb - BASE_MEMORY_MB) * MIB)
        list_bytes = max(MIN_HELD_BYTES, min(MAX_LIST_MEMORY_BYTES, int(LIST_MEMORY_SHARE * available)))
        held_bytes = int(HELD_MEMORY_SHARE * (available - list_bytes - free * CONNECTION_BYTES))
        return cls(clients, max(1, free - clients), max(MIN_HELD_BYTES, held_bytes), list_bytes)
