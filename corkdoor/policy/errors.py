"""Errors of the balancer: the host violates the interface, or settings can't be applied."""

from __future__ import annotations


class BalancerError(Exception):
    """Base of all errors that the balancer raises."""


class NotStartedError(BalancerError, RuntimeError):
    """A request arrived before `start` was called."""

    def __init__(self) -> None:
        super().__init__("a request arrived before start was called")


class DuplicateRequestError(BalancerError, RuntimeError):
    """A request arrived with an id that is in use.

    Attributes:
        request_id: the id.
    """

    def __init__(self, request_id: str) -> None:
        super().__init__(f"request {request_id} already exists")
        self.request_id = request_id


class FixedSettingError(BalancerError, ValueError):
    """New settings change a setting that can't change while the instance runs.

    Attributes:
        setting: its field name in `Settings`.
    """

    def __init__(self, setting: str) -> None:
        super().__init__(f"{setting}: can't be changed while the instance is running")
        self.setting = setting
