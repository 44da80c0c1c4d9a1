"""Errors of calls to discovery, and the watch event by which each is reported to the balancer."""

from __future__ import annotations

from typing import ClassVar

from corkdoor.model import WatchEventKind


class DiscoveryError(Exception):
    """A call to discovery failed.

    Attributes:
        kind: the watch event that reports the error.
    """

    kind: ClassVar[WatchEventKind] = WatchEventKind.FAILED


class ConnectionClosedError(DiscoveryError):
    """The connection closed before a response began."""

    def __init__(self) -> None:
        super().__init__("the connection closed before a response")


class CallRejectedError(DiscoveryError):
    """Discovery responded with a status other than 200: it has too many calls.

    Attributes:
        status: the status of the response.
    """

    kind = WatchEventKind.REJECTED

    def __init__(self, status: int) -> None:
        super().__init__(f"expects status 200, got {status}")
        self.status = status


class AnswerLostError(DiscoveryError):
    """A response did not arrive as a complete endpoint list; its changes are considered notified."""

    kind = WatchEventKind.LOST


class AnswerTimeoutError(AnswerLostError):
    """No response arrived in time.

    Attributes:
        timeout_s: how long the call waited for a response, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        super().__init__(f"no response within {timeout_s:.1f} s")
        self.timeout_s = timeout_s


class AnswerStalledError(AnswerLostError):
    """A response stalled before it was complete.

    Attributes:
        stall_s: how long no data arrived, in seconds.
    """

    def __init__(self, stall_s: float) -> None:
        super().__init__(f"the response stalled for {stall_s:.1f} s")
        self.stall_s = stall_s


class AnswerTruncatedError(AnswerLostError):
    """The connection closed before the response was complete."""

    def __init__(self) -> None:
        super().__init__("the connection closed before the response was complete")


class AnswerUnreadableError(AnswerLostError):
    """A response arrived in full but is not an endpoint list. The next one may not be one either."""


class AnswerTooLargeError(AnswerUnreadableError):
    """A response arrived in full, but the memory for endpoint lists has no room to read it.

    Attributes:
        needed_bytes: the memory that reading it may take, in bytes.
    """

    def __init__(self, needed_bytes: int) -> None:
        super().__init__(f"reading the list may take {needed_bytes} bytes of memory, more than is free")
        self.needed_bytes = needed_bytes


class EndpointListError(ValueError):
    """A document is not an endpoint list.

    Attributes:
        reason: what is wrong with the document.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(f"not an endpoint list: {reason}")
        self.reason = reason
