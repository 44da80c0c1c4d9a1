"""Settings of the interface, and deployments with little in them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from corkdoor.model import DiscoveryMode, Idempotency, Outcome, WatchEventKind
from corkdoor.settings import RequestClass, Settings
from tests.support import MS, SAFE, Host, S, endpoints, settings


@pytest.mark.parametrize("count", [0, 1])
def test_no_tenants_no_zones_and_hardly_an_endpoint(count: int) -> None:
    host = Host(Settings(classes=(SAFE,)), endpoints(count, zone=""))
    call = host.submit(tenant="")
    if count:
        host.advance(10 * MS)
        host.end_attempt(call, Outcome.OK)
    host.advance(3 * S)
    assert host.answers(call) == ([] if count else ["reject_request"])


def test_tenant_not_met_before_is_served() -> None:
    host = Host(entries=endpoints(4))
    assert host.sends(host.submit(tenant="stranger"))


def test_impossible_values_name_their_field() -> None:
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match="deadline_us"):
        RequestClass("look", 1, 0, Idempotency.IDEMPOTENT)
    with pytest.raises(ValueError, match="instance_count"):
        replace(settings(), instance_count=0)


def test_order_before_start_is_an_error() -> None:
    host = Host(entries=endpoints(1))
    host.balancer.started = False
    with pytest.raises(RuntimeError, match="before start"):
        host.submit()


def test_failed_subscription_is_renewed_with_growing_jittered_waits() -> None:
    waits = set()
    for seed in range(5):
        host = Host(settings(discovery_mode=DiscoveryMode.POLL), endpoints(2), seed=seed)
        assert host.did == [("watch_discovery", True)]
        host.balancer.on_watch_event(host.now, WatchEventKind.FAILED, [])
        host.balancer.on_watch_event(host.now, WatchEventKind.FAILED, [])
        first = host.timers[0][0] - host.now
        assert len(host.timers) == 1
        host.advance(first)
        assert host.did.count(("watch_discovery", True)) == 2
        host.advance(200 * MS)  # so long that call takes to fail: waits count from the beginning of one
        host.balancer.on_watch_event(host.now, WatchEventKind.FAILED, [])
        waits.add(first)
        assert 375 * MS <= first <= 750 * MS
        assert 750 * MS <= host.timers[0][0] - host.now + 200 * MS <= 1500 * MS
    assert len(waits) == 5


def test_new_process_under_a_known_id_starts_with_a_clean_record() -> None:
    host = Host(settings(instance_count=1), endpoints(4))
    bad = endpoints(4)[0]
    host.balancer.endpoints[bad.id].ejected_until_us = host.now + 9 * S
    again = bad._replace(started_us=host.now)
    host.balancer.on_watch_event(host.now, WatchEventKind.DELTA, [again])
    assert host.balancer.endpoints[bad.id].ejected_until_us is None


def test_streamed_answer_belongs_to_the_client_from_its_start() -> None:
    host = Host(settings(classes=(replace(SAFE, streaming=True),)), endpoints(4))
    call = host.submit()
    host.balancer.on_response_start(host.now, call, 0)
    host.advance(9 * S)
    host.end_attempt(call, Outcome.RESET, closed=True)
    assert len(host.sends(call)) == 1
    assert host.answers(call) == []
    assert host.balancer.requests == {}
