"""Idle clients that fill the descriptors of one sidecar."""

from __future__ import annotations

import asyncio
import contextlib

from faults.targets import SidecarTarget

CONNECT_AT_ONCE = 40
RECONNECT_S = 0.05
RECOVERY_S = 0.5  # after they have closed, until the sidecar has descriptors to spare again


class IdleClients:
    """Idle clients that connect to one sidecar and send nothing.

    Args:
        target: the sidecar.
        count: how many there are: more than the sidecar has descriptors for.
    """

    def __init__(self, target: SidecarTarget, count: int) -> None:
        self.target = target
        self.count = count

    async def stay(self, until_s: float) -> None:
        """Stay until that loop time in seconds; those that are closed connect again."""
        loop = asyncio.get_running_loop()
        self.target.descriptors_exhausted = True
        writers: list[asyncio.StreamWriter] = []
        while loop.time() < until_s:
            writers = [writer for writer in writers if not writer.is_closing()]
            for _ in range(min(CONNECT_AT_ONCE, self.count - len(writers))):
                with contextlib.suppress(OSError):
                    writers.append((await asyncio.open_connection("127.0.0.1", self.target.port))[1])
            await asyncio.sleep(RECONNECT_S)
        for writer in writers:
            writer.close()
        await asyncio.sleep(RECOVERY_S)
        self.target.descriptors_exhausted = False
