"""Measures the memory of this process."""

from __future__ import annotations

import os
from pathlib import Path

STATM_RESIDENT_INDEX, STATM_SHARED_INDEX = 1, 2  # fields of /proc/PID/statm, in pages
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
STATM = Path("/proc/self/statm")


def anonymous_kib() -> int | None:
    """Return the anonymous memory of this process in KiB: all of it that is not backed by a file.

    None: the system does not tell.
    """
    try:
        fields = STATM.read_text(encoding="ascii").split()
    except OSError:
        return None
    return (int(fields[STATM_RESIDENT_INDEX]) - int(fields[STATM_SHARED_INDEX])) * PAGE_KIB
