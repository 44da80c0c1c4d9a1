"""Resource usage of a process, read from /proc. The functions raise OSError if the process has ended."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_KIB = 1024
BYTES_PER_MB = 1e6
NS_PER_S = 1e9
USER_TICKS, SYSTEM_TICKS = 11, 12  # indexes of fields in `stat`, counted after the command's name
RESIDENT_PAGES = 1  # index of the field in `statm`


class ProcessUsage(NamedTuple):
    """Processor time that a process has used so far, counted in steps of 10 ms, and its current memory."""

    user_s: float
    system_s: float
    rss_bytes: int
    pss_bytes: int

    @property
    def cpu_s(self) -> float:
        """Processor time in user and kernel mode, in seconds."""
        return self.user_s + self.system_s


def read_usage(pid: int) -> ProcessUsage:
    """Return a process's processor time in seconds and its memory in bytes."""
    user_s, system_s = _read_times_s(pid)
    memory = (_proc_folder(pid) / "smaps_rollup").read_text(encoding="utf-8")
    return ProcessUsage(user_s, system_s, _parse_bytes(memory, "Rss"), _parse_bytes(memory, "Pss"))


def read_cpu_s(pid: int) -> float:
    """Return a process's processor time in seconds. The kernel counts it in ticks."""
    return sum(_read_times_s(pid))


def read_precise_cpu_s(pid: int) -> float:
    """Return a process's processor time in seconds, from the scheduler's clock in nanoseconds."""
    return int((_proc_folder(pid) / "schedstat").read_text(encoding="utf-8").split()[0]) / NS_PER_S


def read_resident_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    pages = int((_proc_folder(pid) / "statm").read_text(encoding="ascii").split()[RESIDENT_PAGES])
    return pages * PAGE_BYTES / BYTES_PER_MB


def read_peak_memory_bytes(pid: int) -> int:
    """Return a process's peak resident memory in bytes."""
    return _parse_bytes((_proc_folder(pid) / "status").read_text(encoding="utf-8"), "VmHWM")


def count_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(_proc_folder(pid) / "fd"))


def _proc_folder(pid: int) -> Path:
    return Path("/proc") / str(pid)


def _read_times_s(pid: int) -> tuple[float, float]:
    fields = (_proc_folder(pid) / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return int(fields[USER_TICKS]) / TICKS_PER_S, int(fields[SYSTEM_TICKS]) / TICKS_PER_S


def _parse_bytes(text: str, name: str) -> int:
    line = next(line for line in text.splitlines() if line.startswith(name + ":"))
    return int(line.split()[1]) * BYTES_PER_KIB
