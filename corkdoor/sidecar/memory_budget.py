"""The budget for the memory that input takes, and the estimated sizes of the objects that input becomes.

The sizes are upper bounds on 64-bit CPython. They count objects, and not only the bytes that were received:
a short header field takes some 25 times its bytes.
"""

from __future__ import annotations

# A header field in a list, without its characters: the objects of the name and of the value, their tuple, and
# a slot of the list.
HEADER_FIELD_BYTES = 192
MESSAGE_BYTES = 512  # a parsed request or response without its target, header fields and body
# A request in service, without its head and body: its attempts, timers, and its objects in the balancer.
OPEN_REQUEST_BYTES = 8 * 1024
MAX_EXPANSION = 50  # the memory that is charged for one byte of a head at most, in bytes
# The share of the budget that requests may take. The rest is left to the responses to them.
REQUEST_SHARE = 0.75
# The share for input that is parsed while an earlier request of its connection waits for its response. The
# rest of REQUEST_SHARE is left to clients that wait for nothing.
READ_AHEAD_SHARE = 0.4
# The share for input that is kept unparsed while its connection is not read from. It is below
# READ_AHEAD_SHARE, since parsed input takes more memory.
READ_ON_SHARE = 0.35


def growing_bytes(size: int) -> int:
    """Return the memory that a byte array of this size takes, which is allocated with room to grow."""
    return size + size // 8


class MemoryBudget:
    """Counts the memory that is held by input, and limits it.

    Args:
        limit_bytes: the limit.

    Attributes:
        held_bytes: the memory that is held, in bytes.
        refusals: how many times input was refused for want of memory.
    """

    __slots__ = ("held_bytes", "limit_bytes", "refusals")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refusals = 0

    def has_room(self, size: int, share: float = 1.0) -> bool:
        """Whether `size` more bytes stay within this share of the limit."""
        return self.held_bytes + size <= self.limit_bytes * share


class MemoryReservation:
    """The part of a budget that one owner holds.

    Args:
        budget: the budget, which is shared with other owners.
    """

    __slots__ = ("budget", "held_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held_bytes = 0

    def resize(self, size: int) -> None:
        """Hold `size` bytes from now on. Memory that is in use already is counted even above the limit."""
        self.budget.held_bytes += size - self.held_bytes
        self.held_bytes = size

    def release(self) -> None:
        """Hold nothing from now on."""
        self.resize(0)
