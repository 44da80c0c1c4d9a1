"""Errors of calls to discovery, and how the balancer is notified of each."""

from __future__ import annotations

from typing import ClassVar

from corkdoor.model import WatchEventKind


class DiscoveryError(Exception):
    """A call to discovery failed.

    Attributes:
        kind: the watch event that it stands for.
    """

    kind: ClassVar[WatchEventKind] = WatchEventKind.FAILED


class ConnectionClosedError(DiscoveryError):
    """The connection ended before an answer began."""

    def __init__(self) -> None:
        super().__init__("the connection ended before an answer")


class CallRejectedError(DiscoveryError):
    """Discovery answered with another status than 200: it has too many calls.

    Attributes:
        status: the status of its answer.
    """

    kind = WatchEventKind.REJECTED

    def __init__(self, status: int) -> None:
        super().__init__(f"answered with status {status}")
        self.status = status


class AnswerLostError(DiscoveryError):
    """An answer did not arrive as a complete endpoint list; the changes it held count as notified."""

    kind = WatchEventKind.LOST


class AnswerTimeoutError(AnswerLostError):
    """No answer came in time.

    Attributes:
        timeout_s: how long it was waited for, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        super().__init__(f"no answer within {timeout_s:.1f} s")
        self.timeout_s = timeout_s


class AnswerStalledError(AnswerLostError):
    """An answer stopped part of the way.

    Attributes:
        stall_s: for how long nothing came, in seconds.
    """

    def __init__(self, stall_s: float) -> None:
        super().__init__(f"the answer stopped for {stall_s:.1f} s")
        self.stall_s = stall_s


class AnswerTruncatedError(AnswerLostError):
    """The connection ended within an answer."""

    def __init__(self) -> None:
        super().__init__("the connection ended within the answer")


class AnswerUnreadableError(AnswerLostError):
    """An answer arrived in full and is no endpoint list: the next one may be no better."""


class EndpointListError(ValueError):
    """A document that is no endpoint list.

    Attributes:
        reason: what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"no list of endpoints ({reason})")
        self.reason = reason
