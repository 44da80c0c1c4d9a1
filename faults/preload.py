"""Builds the preloaded library, and controls the faults that it injects into one process."""

from __future__ import annotations

import errno
import mmap
import struct
import subprocess
from collections.abc import Sequence
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("preload.c")
HEADER = struct.Struct("=qQ")  # clock offset, state of the random generator
SLOT = struct.Struct("=14i")  # skip, count, error, limit, per_million, hits, errors[8]
ERRORS = 8
ARMED = struct.Struct("=4i")  # the first four fields of a slot
FIELD = struct.Struct("=i")
COUNT_OFFSET, RANDOM_OFFSET, HITS_OFFSET, ERRORS_OFFSET = 4, 16, 20, 24  # of these fields within a slot
SHORT = -1  # in place of an error: a transfer of a few bytes


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


# What Linux documents for these calls and sockets, beyond the end of the connection itself.
DOCUMENTED: dict[SystemCall, tuple[int, ...]] = {
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
    SystemCall.READ: (errno.EINTR, errno.EAGAIN, errno.ENOMEM, SHORT),
    SystemCall.WRITE: (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, SHORT),
    SystemCall.EPOLL_CTL: (errno.ENOMEM, errno.ENOSPC),
    SystemCall.EPOLL_WAIT: (errno.EINTR,),
    SystemCall.POLL: (errno.EINTR, errno.ENOMEM),
}


def build(folder: Path) -> Path:
    """Compile the library into a folder and return its path.

    Raises:
        subprocess.CalledProcessError: with what the compiler printed.
    """
    library = folder / "preload.so"
    command = ["cc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True, text=True)
    return library


class FaultControl:
    """The shared memory that controls the faults of one process.

    Args:
        path: of the file that is mapped; overwritten.
        seed: of the library's random faults.
    """

    def __init__(self, path: Path, seed: int = 1) -> None:
        self.path = path
        size = HEADER.size + SLOT.size * len(SystemCall)
        path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self._memory = mmap.mmap(file.fileno(), size)
        HEADER.pack_into(self._memory, 0, 0, seed or 1)

    def environment(self, library: Path) -> dict[str, str]:
        """Return the variables with which the process has to be started."""
        return {"LD_PRELOAD": str(library), "FAULT_CONTROL": str(self.path)}

    def _slot_offset(self, call: SystemCall) -> int:
        return HEADER.size + SLOT.size * call

    def step_clock(self, offset_us: int) -> None:
        """Set the process's wall clock ahead of the machine's, or behind it where `offset_us` is below 0."""
        struct.pack_into("=q", self._memory, 0, offset_us)

    def fail_next(self, call: SystemCall, error: int, count: int = 1, skip: int = 0) -> None:
        """Let the next `count` calls of a kind fail with this error, after `skip` that pass."""
        offset = self._slot_offset(call)
        ARMED.pack_into(self._memory, offset, skip, 0, error, 0)
        FIELD.pack_into(self._memory, offset + COUNT_OFFSET, count)  # last: it arms the others

    def shorten_next(self, call: SystemCall, limit: int, count: int = 1) -> None:
        """Let the next `count` calls of a kind move `limit` bytes at most."""
        offset = self._slot_offset(call)
        ARMED.pack_into(self._memory, offset, 0, 0, 0, limit)
        FIELD.pack_into(self._memory, offset + COUNT_OFFSET, count)

    def fail_at_random(self, call: SystemCall, per_million: int, errors: Sequence[int] = ()) -> None:
        """Let so many in a million calls of a kind fail, by default with any error that is documented."""
        chosen = tuple(errors or DOCUMENTED[call])[:ERRORS]
        offset = self._slot_offset(call)
        struct.pack_into(
            f"={ERRORS}i", self._memory, offset + ERRORS_OFFSET, *chosen, *[0] * (ERRORS - len(chosen))
        )
        FIELD.pack_into(self._memory, offset + RANDOM_OFFSET, per_million)

    def hits(self, call: SystemCall) -> int:
        """Return how many calls of a kind have failed or been shortened so far."""
        return int(FIELD.unpack_from(self._memory, self._slot_offset(call) + HITS_OFFSET)[0])

    def close(self) -> None:
        """Let go of the memory; the process keeps its own view."""
        self._memory.close()
