"""Settings of other customers: short deadlines and windows, and keys that are left out."""

from __future__ import annotations

import pytest

from corkdoor.model import DeduplicationScope, Idempotency, Outcome
from corkdoor.settings import Limits, RequestClass
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.proxied_request import ProxiedRequest
from tests.support import MS, SAFE, Host, endpoints, settings


class Nobody:
    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None: ...

    def departed(self) -> bool:
        return False

    def label(self) -> str:
        return "r1"


def test_a_short_deadline_leaves_time_for_an_answer() -> None:
    """A margin of 40 ms ended a request of 40 ms before it was sent anywhere."""
    before = now_us()
    request = ProxiedRequest(Nobody(), SAFE, None, None, before + 40 * MS, b"", b"")
    assert before + 30 * MS < request.answer_by_us < request.deadline_us


@pytest.mark.parametrize("turned_away", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_short_try_that_never_ran_is_sent_again(turned_away: Outcome) -> None:
    short = RequestClass("look", 60 * MS, 60 * MS, Idempotency.NOT_IDEMPOTENT)
    host = Host(settings(classes=(short,)), endpoints(4))
    call = host.submit(left=60 * MS)
    host.advance(5 * MS)
    host.end_attempt(call, turned_away, spent=5 * MS)
    assert len(host.sends(call)) == 2


@pytest.mark.parametrize("after_ms", [700, 800])
def test_a_repeat_that_needs_a_new_connection_leaves_within_the_window(after_ms: int) -> None:
    """The window counts to the send, and a connection may come up so long after the module asks for it."""
    keyed = RequestClass(
        "hold", 5000 * MS, 5000 * MS, Idempotency.WITH_KEY, DeduplicationScope.ALL, 1000 * MS
    )
    host = Host(settings(classes=(keyed,), limits=Limits(connect_timeout_us=250 * MS)), endpoints(4))
    call = host.submit("hold", left=5000 * MS)
    host.advance(after_ms * MS)
    host.end_attempt(call, Outcome.ERROR, spent=after_ms * MS)
    assert len(host.sends(call)) == (2 if after_ms + 250 <= 1000 else 1)
