"""Errors raised while a response is read."""

from __future__ import annotations


class ResponseError(Exception):
    """The bytes received from an endpoint are not a usable response."""


class MalformedResponseError(ResponseError):
    """The bytes are not a valid HTTP/1.1 response."""


class HeadTooLargeError(ResponseError):
    """The head, including all interim responses before it, or what follows the body exceeds the limit."""


class BodyTooLargeError(ResponseError):
    """The body exceeds the limit of one response."""


class MemoryShortageError(ResponseError):
    """The budget has no room for more of the response."""
