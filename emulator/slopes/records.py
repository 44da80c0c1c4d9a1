"""The points of a measurement as records: lines of JSON."""

from __future__ import annotations

import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

from emulator.provenance import describe_commit
from emulator.slopes.points import Point

PROCESSOR_FIELDS = 8  # of the first line of /proc/stat, from the second on
IDLE, IO_WAIT, STOLEN = 3, 4, 7  # of these


class ProcessorTicks(NamedTuple):
    """Ticks of all cores since the start of the machine."""

    total: int
    idle: int
    stolen: int  # by the machine's host

    @classmethod
    def read(cls) -> ProcessorTicks:
        """Return the ticks so far."""
        line = Path("/proc/stat").read_text(encoding="utf-8").split("\n", 1)[0]
        fields = [int(text) for text in line.split()[1 : 1 + PROCESSOR_FIELDS]]
        return cls(sum(fields), fields[IDLE] + fields[IO_WAIT], fields[STOLEN])


class PointRecorder:
    """Appends points to a file of JSON lines; the file is made with its first point.

    Args:
        folder: of the records.
        name: of the measurement.
    """

    def __init__(self, folder: Path, name: str) -> None:
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        self.path = folder / f"slopes-{name}-{stamp}.jsonl"
        self._origin = {"measurement": name, "commit": describe_commit(), "load1": os.getloadavg()[0]}
        self._ticks = ProcessorTicks.read()

    def append(self, point: Point) -> None:
        """Append a point, with what the machine did since the last one."""
        self.path.parent.mkdir(parents=True, exist_ok=True)
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        line = {"at": at, **self._origin, **self._machine_load(), **msgspec.to_builtins(point)}
        with self.path.open("ab") as file:
            file.write(msgspec.json.encode(line) + b"\n")

    def _machine_load(self) -> dict[str, float]:
        """The cores in use, and stolen by the machine's host, on average since the last point."""
        before, self._ticks = self._ticks, ProcessorTicks.read()
        total, idle, stolen = (now - then for now, then in zip(self._ticks, before, strict=True))
        cores_per_tick = (os.cpu_count() or 1) / max(1, total)
        return {
            "cores_used": (total - idle - stolen) * cores_per_tick,
            "cores_stolen": stolen * cores_per_tick,
        }


def read_points(paths: Iterable[Path]) -> list[Point]:
    """Return the points of these records.

    Raises:
        OSError: a file that can't be read.
        msgspec.MsgspecError: a file that is no record.
    """
    decoder = msgspec.json.Decoder(Point)
    return [decoder.decode(line) for path in paths for line in path.read_bytes().splitlines()]
