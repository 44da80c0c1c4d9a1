"""Errors of the balancer: a host that breaks the interface, or settings that can't be put in force."""

from __future__ import annotations


class BalancerError(Exception):
    """Base of all errors that the balancer raises."""


class NotStartedError(BalancerError, RuntimeError):
    """A request came before `start`."""

    def __init__(self) -> None:
        super().__init__("request before start")


class DuplicateRequestError(BalancerError, RuntimeError):
    """A request came under an id that is in use.

    Attributes:
        request_id: that id.
    """

    def __init__(self, request_id: str) -> None:
        super().__init__(f"request {request_id} is here already")
        self.request_id = request_id


class FixedSettingError(BalancerError, ValueError):
    """A setting would change that can't change while the process runs.

    Attributes:
        setting: its name in `Settings`.
    """

    def __init__(self, setting: str) -> None:
        super().__init__(f"{setting}: it can't change while the process runs")
        self.setting = setting
