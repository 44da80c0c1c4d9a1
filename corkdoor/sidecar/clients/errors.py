"""The error of a request that is rejected without reaching the balancer or an endpoint."""

from __future__ import annotations

from http import HTTPStatus


class HTTPError(Exception):
    """Input that can't be served; the connection closes after the response.

    Args:
        status: the status of the response.
        reason: one line for the response's body.
    """

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
