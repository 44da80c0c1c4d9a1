"""Idle clients that exhaust the file descriptors of one sidecar."""

from __future__ import annotations

import asyncio
import contextlib

from faults.targets import SidecarTarget

CONNECT_BATCH_SIZE = 40  # the most clients that connect between two pauses
RECONNECT_INTERVAL_S = 0.05  # the pause before closed clients connect again
RECOVERY_TIME_S = 0.5  # from when idle clients close until the sidecar has free descriptors again


class IdleClients:
    """Clients that connect to one sidecar and send nothing.

    Args:
        target: the sidecar.
        count: the number of clients, which is more than the sidecar has descriptors for.
    """

    def __init__(self, target: SidecarTarget, count: int) -> None:
        self.target = target
        self.count = count

    async def hold_connections(self, until_s: float) -> None:
        """Keep the clients connected until `until_s`, a loop time in seconds; closed ones connect again."""
        loop = asyncio.get_running_loop()
        self.target.descriptors_exhausted = True
        writers: list[asyncio.StreamWriter] = []
        while loop.time() < until_s:
            writers = [writer for writer in writers if not writer.is_closing()]
            for _ in range(min(CONNECT_BATCH_SIZE, self.count - len(writers))):
                with contextlib.suppress(OSError):
                    writers.append((await asyncio.open_connection("127.0.0.1", self.target.port))[1])
            await asyncio.sleep(RECONNECT_INTERVAL_S)
        for writer in writers:
            writer.close()
        await asyncio.sleep(RECOVERY_TIME_S)
        self.target.descriptors_exhausted = False
