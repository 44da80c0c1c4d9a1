"""The status line for operators: what has happened since the previous line, and the current state."""

from __future__ import annotations

from collections import Counter

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.process_memory import anonymous_kib
from corkdoor.sidecar.proxy import Proxy
from corkdoor.status import format_state


def take_status_line(proxy: Proxy, clients: int, max_clients: int) -> str:
    """Return the status line, and reset the counters that it reports."""
    pools, freshness = proxy.upstream, proxy.balancer.discovery.freshness
    fields: dict[str, object] = {
        "clients": clients,
        "max_clients": max_clients,
        **proxy.settings_version_fields(),
        "requests": len(proxy.requests),
        "connections": pools.open_connections,
        "max_connections": pools.max_connections,
        "held_kib": proxy.budget.held_bytes // 1024,
        "max_held_kib": proxy.budget.limit_bytes // 1024,
        "memory_refusals": proxy.budget.refusals + proxy.list_budget.refusals,
        "memory_kib": anonymous_kib(),
        **proxy.endpoint_updates.list_fields(),
        "longest_list_age_s": freshness.longest_age_us / 1e6,
        **_take_counts(proxy.counters),
        **{f"connections_{name}": count for name, count in _take_counts(pools.counters).items()},
        **proxy.invariants.counts(),
    }
    return f"{LogEvent('status', **fields)} {format_state(proxy.balancer, now_us())}"


def _take_counts(counters: Counter[str]) -> dict[str, int]:
    """Return the counters by name, and reset them."""
    counts = {name.replace(" ", "_"): count for name, count in sorted(counters.items())}
    counters.clear()
    return counts
