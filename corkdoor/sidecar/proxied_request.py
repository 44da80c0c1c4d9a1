"""A request that the sidecar has taken on, and the client that waits for its answer."""

from __future__ import annotations

from typing import Protocol

from corkdoor.settings import RequestClass
from corkdoor.sidecar.clock import Alarm, now_us
from corkdoor.sidecar.upstream.attempt import Attempt

ANSWER_MARGIN_US = 40_000  # an answer leaves this long before the client's deadline: its bytes take time too
MARGIN_SHARE = 0.1  # but at most this share of the time that is left: of a short one much would be lost


class Client(Protocol):
    """Who asked: takes the one final answer."""

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None: ...

    def departed(self) -> bool:
        """Whether it has gone away, though the loop may not have told so yet."""
        ...

    def label(self) -> str:
        """What the log names the request by that it waits for."""
        ...


class ProxiedRequest:
    """One request that was taken, and its attempts."""

    __slots__ = (
        "alarm",
        "answered",
        "attempts",
        "body",
        "client",
        "deadline_us",
        "due_us",
        "head",
        "hint_us",
        "out",
        "request_class",
        "request_id",
        "tenant",
    )  # fmt: skip

    def __init__(
        self,
        client: Client,
        request_class: RequestClass,
        tenant: str | None,
        hint_us: int | None,
        deadline_us: int,
        head: bytes,
        body: bytes,
    ) -> None:
        self.client = client
        self.request_class = request_class  # as it stood when the request came
        self.tenant = tenant
        self.hint_us = hint_us
        self.deadline_us = deadline_us  # when the client gives up
        # When the answer leaves at the latest.
        self.due_us = deadline_us - min(
            ANSWER_MARGIN_US, max(0, int(MARGIN_SHARE * (deadline_us - now_us())))
        )
        self.head = head  # request line and headers for endpoints, but for the time that is left
        self.body = body
        self.request_id = ""
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts that have not ended
        self.answered = False
        self.alarm: Alarm | None = None
