"""Builds the preloaded library of `preload.c`, and controls the faults that it injects into one process.

The layouts below must match `struct control` and `struct slot` in `preload.c`.
"""

from __future__ import annotations

import errno
import mmap
import struct
import subprocess
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("preload.c")
HEADER = struct.Struct("=qQ")  # clock_offset_us, random
SLOT = struct.Struct("=14i")  # skip, count, error, limit, per_million, hits, errors[8]
MAX_ERRORS = 8
FIRST_FIELDS = struct.Struct("=4i")  # skip, count, error, limit
INT_FIELD = struct.Struct("=i")
# Byte offsets within a slot of the fields count, per_million, hits and errors.
COUNT_OFFSET, RANDOM_OFFSET, FAULT_COUNT_OFFSET, ERRORS_OFFSET = 4, 16, 20, 24
SHORT_TRANSFER = -1  # stands in place of an error number for a transfer of a few bytes


class SystemCall(IntEnum):
    """Kinds of system calls, in the order of the library's slots."""

    SOCKET = 0
    CONNECT = 1
    ACCEPT = 2
    READ = 3
    WRITE = 4
    EPOLL_CTL = 5
    EPOLL_WAIT = 6
    POLL = 7


# The errors that Linux documents for these calls on sockets, except the end of the connection itself.
DOCUMENTED_ERRORS: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.CONNECT: (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.EINTR,
        errno.EAGAIN,
        errno.ECONNREFUSED,
    ),
    SystemCall.ACCEPT: (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EINTR,
    ),
    SystemCall.READ: (errno.EINTR, errno.EAGAIN, errno.ENOMEM, SHORT_TRANSFER),
    SystemCall.WRITE: (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, SHORT_TRANSFER),
    SystemCall.EPOLL_CTL: (errno.ENOMEM, errno.ENOSPC),
    SystemCall.EPOLL_WAIT: (errno.EINTR,),
    SystemCall.POLL: (errno.EINTR, errno.ENOMEM),
}


def build_library(folder: Path) -> Path:
    """Compile the library into a folder and return its path.

    Raises:
        subprocess.CalledProcessError: the compiler failed; the error holds its output.
    """
    library = folder / "preload.so"
    command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True, text=True)
    return library


class FaultControl:
    """The shared memory that controls the faults of one process.

    Args:
        path: the file to map, which is overwritten.
        seed: the seed of the library's random faults.
    """

    def __init__(self, path: Path, seed: int = 1) -> None:
        self.path = path
        size = HEADER.size + SLOT.size * len(SystemCall)
        path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), size)
        HEADER.pack_into(self._memory, 0, 0, seed or 1)

    def environment(self, library: Path) -> dict[str, str]:
        """Return the environment variables that the process has to be started with."""
        return {"LD_PRELOAD": str(library), "FAULT_CONTROL": str(self.path)}

    def _slot_offset(self, call: SystemCall) -> int:
        return HEADER.size + SLOT.size * call

    def step_clock(self, offset_us: int) -> None:
        """Set the process's wall clock ahead of the machine's, or behind it if `offset_us` is negative."""
        struct.pack_into("=q", self._memory, 0, offset_us)

    def fail_next(self, call: SystemCall, error: int, count: int = 1, skip: int = 0) -> None:
        """Let the next `count` calls of a kind fail with this error, after `skip` calls that succeed."""
        offset = self._slot_offset(call)
        FIRST_FIELDS.pack_into(self._memory, offset, skip, 0, error, 0)
        INT_FIELD.pack_into(self._memory, offset + COUNT_OFFSET, count)  # last: it activates the others

    def shorten_next(self, call: SystemCall, limit: int, count: int = 1) -> None:
        """Let the next `count` calls of a kind transfer at most `limit` bytes."""
        offset = self._slot_offset(call)
        FIRST_FIELDS.pack_into(self._memory, offset, 0, 0, 0, limit)
        INT_FIELD.pack_into(self._memory, offset + COUNT_OFFSET, count)

    def fail_at_random(self, call: SystemCall, per_million: int, errors: Sequence[int] = ()) -> None:
        """Let `per_million` of a million calls of a kind fail, by default with any documented error.

        At most MAX_ERRORS different errors are used.
        """
        chosen = tuple(errors or DOCUMENTED_ERRORS[call])[:MAX_ERRORS]
        offset = self._slot_offset(call)
        struct.pack_into(
            f"={MAX_ERRORS}i",
            self._memory,
            offset + ERRORS_OFFSET,
            *chosen,
            *[0] * (MAX_ERRORS - len(chosen)),
        )
        INT_FIELD.pack_into(self._memory, offset + RANDOM_OFFSET, per_million)

    def fault_count(self, call: SystemCall) -> int:
        """Return how many calls of a kind the library has made fail or shortened so far."""
        return int(INT_FIELD.unpack_from(self._memory, self._slot_offset(call) + FAULT_COUNT_OFFSET)[0])

    def close(self) -> None:
        """Unmap the memory; the process keeps its own mapping."""
        self._memory.close()
