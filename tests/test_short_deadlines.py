"""Short deadlines and short deduplication windows."""

from __future__ import annotations

import pytest

from corkdoor.model import DeduplicationScope, Idempotency, Outcome
from corkdoor.settings import Limits, RequestClass
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.proxied_request import ProxiedRequest
from tests.support import IDEMPOTENT, MS, RecordingHost, endpoints, settings


class SilentClient:
    """A client that ignores its response."""

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None: ...

    def has_disconnected(self) -> bool:
        return False

    def may_have_disconnected(self) -> bool:
        return False

    def label(self) -> str:
        return "r1"


def test_short_deadline_leaves_time_for_a_response() -> None:
    """Guards against a margin as long as the deadline, which ends a request before it is sent."""
    before = now_us()
    request = ProxiedRequest(SilentClient(), IDEMPOTENT, None, None, before + 40 * MS, b"", b"")
    assert before + 30 * MS < request.respond_by_us < request.deadline_us


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_attempt_that_never_ran_is_retried_when_the_deadline_is_short(outcome: Outcome) -> None:
    short = RequestClass("look", 60 * MS, 60 * MS, Idempotency.NOT_IDEMPOTENT)
    host = RecordingHost(settings(classes=(short,)), endpoints(4))
    request_id = host.submit(timeout_us=60 * MS)
    host.advance(5 * MS)
    host.end_attempt(request_id, outcome, elapsed_us=5 * MS)
    assert len(host.sent_to(request_id)) == 2


@pytest.mark.parametrize("after_ms", [700, 800])
def test_retry_is_sent_only_when_connecting_can_end_within_the_deduplication_window(after_ms: int) -> None:
    """Guards against a retry that is sent too late because connecting takes the whole connect timeout."""
    keyed = RequestClass(
        "hold", 5000 * MS, 5000 * MS, Idempotency.WITH_KEY, DeduplicationScope.ALL, 1000 * MS
    )
    host = RecordingHost(settings(classes=(keyed,), limits=Limits(connect_timeout_us=250 * MS)), endpoints(4))
    request_id = host.submit("hold", timeout_us=5000 * MS)
    host.advance(after_ms * MS)
    host.end_attempt(request_id, Outcome.ERROR, elapsed_us=after_ms * MS)
    assert len(host.sent_to(request_id)) == (2 if after_ms + 250 <= 1000 else 1)
