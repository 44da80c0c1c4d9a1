"""The sidecars of a soak as its clients see them."""

from __future__ import annotations


class SidecarTarget:
    """One sidecar: where clients connect to it, and when its process was killed.

    Args:
        name: the sidecar's name, the same over all of its processes.
        port: its loopback port.
    """

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.accepts_clients = False
        self.descriptors_exhausted = False  # idle clients fill them: new connections may be closed unread
        self.killed_s: list[float] = []  # loop times of each SIGKILL

    def killed_since(self, since_s: float) -> bool:
        """Whether its process was killed since that loop time in seconds: then no response is owed."""
        return any(killed_s >= since_s for killed_s in self.killed_s)
