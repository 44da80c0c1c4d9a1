"""The error for a request that is rejected before it reaches the balancer or an endpoint."""

from __future__ import annotations

from http import HTTPStatus


class HTTPError(Exception):
    """Input that can't be served; the connection closes after the error response.

    Args:
        status: the status of the response.
        reason: one line of text for the body of the response.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
