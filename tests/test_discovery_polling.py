"""Polls of discovery: what follows a failed one."""

from __future__ import annotations

from corkdoor.model import DiscoveryMode, WatchEventKind
from tests.support import MS, RecordingHost, endpoints, settings


def test_failed_poll_is_repeated_with_growing_jittered_delays() -> None:
    first_delays_us = set()
    for seed in range(5):
        host = RecordingHost(settings(discovery_mode=DiscoveryMode.POLL), endpoints(2), seed=seed)
        assert host.actions == [("watch_discovery", True)]
        host.balancer.on_watch_event(host.now_us, WatchEventKind.FAILED, [])
        host.balancer.on_watch_event(host.now_us, WatchEventKind.FAILED, [])
        first_delay_us = host.timers[0][0] - host.now_us
        assert len(host.timers) == 1
        host.advance(first_delay_us)
        assert host.actions.count(("watch_discovery", True)) == 2
        host.advance(200 * MS)  # until the next poll fails: delays count from the beginning of a poll
        host.balancer.on_watch_event(host.now_us, WatchEventKind.FAILED, [])
        first_delays_us.add(first_delay_us)
        assert 375 * MS <= first_delay_us <= 750 * MS
        assert 750 * MS <= host.timers[0][0] - host.now_us + 200 * MS <= 1500 * MS
    assert len(first_delays_us) == 5
