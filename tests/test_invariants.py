"""The guards: what they let through, what they leave out, and that a broken invariant is counted and told."""

from __future__ import annotations

import asyncio
import logging

import pytest

from corkdoor.model import DeduplicationScope, Idempotency, Outcome
from corkdoor.settings import Limits, RequestClass
from corkdoor.sidecar.clients.close_reason import CloseReason
from corkdoor.sidecar.invariants import Invariant, InvariantLog
from corkdoor.sidecar.resend_guard import MAX_SEND_DELAY_US, Location, SentAttempt, may_send_again
from tests.sidecar_support import Sidecar, first_asked, one_attempt, run

S = 1_000_000
WINDOW_US = 2 * S
HERE, SAME_ZONE, ELSEWHERE = Location("a", 1), Location("a", 2), Location("b", 3)
SAFE = RequestClass("look", S, 3 * S, Idempotency.IDEMPOTENT)
UNSAFE = RequestClass("pay", S, 3 * S, Idempotency.NOT_IDEMPOTENT)


def keyed(deduplication_scope: DeduplicationScope) -> RequestClass:
    return RequestClass("hold", S, 3 * S, Idempotency.WITH_KEY, deduplication_scope, WINDOW_US)


def ended(outcome: Outcome | None, at_us: int = 10 * S, location: Location = HERE) -> SentAttempt:
    return SentAttempt(at_us, location, outcome)


ONE_AT_A_TIME = Limits(hedging_allowed=False)
COPIES = Limits(hedging_allowed=True)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_unsafe_request_is_repeated_only_where_it_surely_never_ran(outcome: Outcome) -> None:
    never_ran = outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
    assert may_send_again(UNSAFE, COPIES, [ended(outcome)], HERE, 10 * S) is never_ran


@pytest.mark.parametrize(
    ("class_name", "limits", "allowed"),
    [
        (SAFE, COPIES, True),
        (SAFE, ONE_AT_A_TIME, False),
        (UNSAFE, COPIES, False),
        (UNSAFE, ONE_AT_A_TIME, False),
    ],
)
def test_second_attempt_beside_one_that_is_out(
    class_name: RequestClass, limits: Limits, allowed: bool
) -> None:
    assert may_send_again(class_name, limits, [ended(None)], HERE, 10 * S) is allowed


@pytest.mark.parametrize("deduplication_scope", list(DeduplicationScope))
def test_keyed_request_stays_in_its_window_and_group(deduplication_scope: DeduplicationScope) -> None:
    first = [ended(Outcome.TIMEOUT)]
    last_us = 10 * S + WINDOW_US - MAX_SEND_DELAY_US
    assert may_send_again(keyed(deduplication_scope), ONE_AT_A_TIME, first, HERE, last_us)
    assert not may_send_again(keyed(deduplication_scope), ONE_AT_A_TIME, first, HERE, last_us + 1)
    assert may_send_again(keyed(deduplication_scope), ONE_AT_A_TIME, first, SAME_ZONE, last_us) is (
        deduplication_scope is not DeduplicationScope.CELL
    )
    assert may_send_again(keyed(deduplication_scope), ONE_AT_A_TIME, first, ELSEWHERE, last_us) is (
        deduplication_scope is DeduplicationScope.ALL
    )


def test_window_counts_from_the_earliest_attempt_that_may_have_run() -> None:
    sent = [ended(Outcome.REJECTED, 1 * S), ended(Outcome.TIMEOUT, 5 * S), ended(Outcome.ERROR, 6 * S)]
    last_us = 5 * S + WINDOW_US - MAX_SEND_DELAY_US
    assert may_send_again(keyed(DeduplicationScope.ALL), ONE_AT_A_TIME, sent, HERE, last_us)
    assert not may_send_again(keyed(DeduplicationScope.ALL), ONE_AT_A_TIME, sent, HERE, last_us + 1)


def test_broken_and_prevented_are_counted_apart_and_told(caplog: pytest.LogCaptureFixture) -> None:
    invariants = InvariantLog()
    assert invariants.counts() == {}
    with caplog.at_level(logging.INFO):
        invariants.record_prevented(Invariant.SENT_AFTER_DISCONNECT, "request r-1 to s-1")
        invariants.record_broken(Invariant.CLOSED_UNANSWERED, "request r-2, idle")
    assert invariants.counts() == {"broken_closed_unanswered": 1, "prevented_sent_after_disconnect": 1}
    assert [(record.levelname, "r-1" in record.message) for record in caplog.records] == [
        ("INFO", True),
        ("ERROR", False),
    ]


def test_repeat_that_the_module_should_not_have_asked_for_does_not_leave() -> None:
    """As if it had lost sight of the first attempt: the guard goes by what was written itself."""

    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            _, client = await one_attempt(sidecar, "pay")
            (call,) = sidecar.proxy.requests
            sidecar.proxy.send_attempt(call, "s-1", 0)
            sidecar.proxy.send_attempt(call, "s-0", 0)
            while sum(a.ended for a in sidecar.proxy.requests[call].attempts) < 2:
                await asyncio.sleep(0.01)
            assert sidecar.proxy.invariants.prevented[Invariant.UNSAFE_RETRY] == 2
            assert all(fake.asked.empty() for fake in sidecar.endpoints)
            client.writer.close()

    run(test())


def test_connection_with_an_answer_owed_is_not_closed() -> None:
    async def test() -> None:
        async with Sidecar() as sidecar:
            asked, client = await one_attempt(sidecar)
            (caller,) = sidecar.server.clients
            caller.close(CloseReason.IDLE)
            assert sidecar.proxy.invariants.broken[Invariant.CLOSED_UNANSWERED] == 1
            asked.reply()
            assert (await client.answer()).status == 200

    run(test())


def test_log_tells_what_became_of_a_request_that_failed(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with Sidecar(endpoints=2) as sidecar:
            client = await sidecar.client()
            client.send("pay", request_id="told")
            (await first_asked(sidecar)).reply(503, b"", "Srv-Declined: 1")
            (await first_asked(sidecar)).reply(500, b"")
            assert (await client.answer()).status == 502

    with caplog.at_level(logging.INFO):
        run(test())
    (line,) = [record.message for record in caplog.records if "request=told" in record.message]
    assert line.startswith("event=request_failed request=told status=502 ")
    assert ":rejected:" in line
    assert ":error:" in line
