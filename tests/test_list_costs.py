"""What a change of the list costs in processor time: it goes with what changed, not with what is listed."""

from __future__ import annotations

import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdoor.balancer import Balancer
from corkdoor.load_report import LoadReport
from corkdoor.model import Endpoint, Outcome, Readiness, WatchEventKind
from corkdoor.policy.endpoint_pool import subset_size
from tests.support import MS, Host, S, endpoints, settings

FEW, MANY = 200, 3200
CHANGES = 300
REPEATS = 3
MOST_TIMES_DEARER = 3.0  # an index that is kept in order costs a little more where it is larger


def replaced(balancer: Balancer, now: int, listed: list[Endpoint]) -> None:
    """One endpoint after the other drains, goes, and is replaced: three messages a replacement."""
    for number, old in enumerate(listed):
        new = endpoints(1, start=10_000 + number)[0]
        balancer.on_watch_event(now, WatchEventKind.DELTA, [old._replace(readiness=Readiness.DRAINING)])
        balancer.on_watch_event(now, WatchEventKind.DELTA, [old._replace(readiness=Readiness.REMOVED)])
        balancer.on_watch_event(now, WatchEventKind.DELTA, [new])
        now += 10_000


def cost_of_changes_s(size: int) -> float:
    """The least of several runs: other work of the machine only adds to it."""
    listed = [e._replace(zone="east" if n % 2 else "west") for n, e in enumerate(endpoints(size))]
    costs = []
    for _ in range(REPEATS):
        host = Host(settings(instance_count=40), listed)
        begun = time.process_time()
        replaced(host.balancer, host.now + S, listed[: CHANGES // 3])
        costs.append(time.process_time() - begun)
    return min(costs)


def test_change_costs_by_what_changed() -> None:
    assert cost_of_changes_s(MANY) < MOST_TIMES_DEARER * cost_of_changes_s(FEW)


def cost_of_no_news_s(size: int) -> float:
    costs = []
    for _ in range(REPEATS):
        host = Host(settings(instance_count=40), endpoints(size))
        begun = time.process_time()
        for _ in range(CHANGES):
            host.balancer.on_watch_event(host.now, WatchEventKind.DELTA, [])
        costs.append(time.process_time() - begun)
    return min(costs)


def test_watch_with_no_news_costs_the_same_however_many_are_listed() -> None:
    assert cost_of_no_news_s(MANY) < MOST_TIMES_DEARER * cost_of_no_news_s(FEW)


@given(st.integers(0, 1 << 30))
def test_part_in_use_is_that_of_all_members_however_it_is_summed(seed: int) -> None:
    """Cold, ejected, crowded and quiet endpoints: those that are kept apart are all that count."""
    draw = random.Random(seed)
    host = Host(settings(instance_count=2), endpoints(40), seed=seed)
    balancer = host.balancer
    for _ in range(60):
        host.advance(draw.randrange(800 * MS))
        if draw.random() < 0.2:
            launched = host.now - draw.randrange(12 * S)
            changed = endpoints(1, start=draw.randrange(45), launched=launched)
            balancer.on_watch_event(host.now, WatchEventKind.DELTA, changed)
        for _ in range(draw.randrange(12)):
            host.submit()
        for call in [c for c in host.sent if c in balancer.requests and draw.random() < 0.6]:
            if balancer.requests[call].outstanding:
                outcome = draw.choice((Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT))
                report = LoadReport(draw.randrange(30), 10.0, draw.randrange(1, 2 * S))
                host.end_attempt(call, outcome, attempt=max(balancer.requests[call].outstanding), load=report)
        for pool in balancer.rules.placements.by_class["look"].pools:
            if members := pool.subset.members:
                parts = [balancer.rules.availability.share(host.now, e) for e in members]
                assert balancer.rules.availability.pool_share(host.now, pool) == pytest.approx(
                    sum(parts) / len(members), abs=1e-9
                )


@pytest.mark.parametrize(
    ("cap", "fair", "in_flight", "size"),
    [
        (0.2, 0.03, 0, 5),  # never fewer, so that a quiet copy has evidence
        (7.0, 1.0, 0, 14),  # twice the cap, as long as that is not wide
        (35.0, 5.0, 1, 64),
        (560.0, 80.0, 1, 160),  # all endpoints stay covered, by two copies each
        (560.0, 80.0, 100, 400),  # a hot copy spreads wider
        (100.0, 10.0, 100, 200),  # but no wider than by its cap
    ],
)
def test_subset_goes_with_what_a_copy_has_to_send(cap: float, fair: float, in_flight: int, size: int) -> None:
    assert subset_size(cap, fair, in_flight) == size
