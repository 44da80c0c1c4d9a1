"""The errors of reading a response."""

from __future__ import annotations


class ResponseError(Exception):
    """What came from an endpoint is no response that can be used."""


class MalformedResponseError(ResponseError):
    """The bytes are no HTTP/1.1 response."""


class HeadTooLargeError(ResponseError):
    """The head, with all interim responses before it, exceeds its limit."""


class BodyTooLargeError(ResponseError):
    """The body exceeds the limit of one response, or the memory that is left for all."""
