"""Formats the balancer's state as fields of a log event."""

from __future__ import annotations

from collections.abc import Iterator

from corkdoor.balancer import Balancer
from corkdoor.log_events import format_value
from corkdoor.policy.endpoint_pool import EndpointPool
from corkdoor.policy.endpoint_state import EndpointState

BUSIEST_ENDPOINTS_PER_POOL = 3  # the number of endpoints of each pool that get a field of their own


def format_state(balancer: Balancer, now_us: int) -> str:
    """Return the state at `now_us` as `key=value` pairs; rejections are counted since the last call."""
    return " ".join(f"{key}={format_value(value)}" for key, value in _fields(balancer, now_us))


def _fields(balancer: Balancer, now_us: int) -> Iterator[tuple[str, object]]:
    rules = balancer.rules
    yield "latency_ratio", f"{rules.ratio.value:.2f}"
    yield "capacity_shortage", f"{rules.shortage.rate:.2f}"
    yield "queued", rules.queue.count
    yield "longest_wait_ms", rules.queue.longest_wait_us(now_us) // 1000
    yield "retry_tokens", f"{rules.retry_budget.tokens:.1f}"
    for index, placement in enumerate(balancer.placements):
        yield from _pool_fields(balancer, f"placement_{index}_local", placement.local, now_us)
        yield from _pool_fields(balancer, f"placement_{index}_remote", placement.remote, now_us)
    for tenant, bucket in rules.buckets.by_tenant.items():
        yield (
            "tenant",
            f"{tenant},tokens_ru:{bucket.tokens_ru:.1f},refill_ru_per_s:{bucket.refill_ru_per_s:.1f}",
        )
    counts = rules.rejections.take_counts()
    for reason in sorted(counts, key=lambda reason: reason.value):
        yield f"rejected_{reason.value}", counts[reason]


def _pool_fields(
    balancer: Balancer, prefix: str, pool: EndpointPool, now_us: int
) -> Iterator[tuple[str, object]]:
    limit, members = pool.limit, pool.subset.members
    yield f"{prefix}_in_flight", limit.in_flight
    yield f"{prefix}_limit", f"{limit.available_share * limit.max_in_flight:.1f}"
    yield f"{prefix}_subset", len(members)
    yield f"{prefix}_median", f"{limit.median:.2f}"
    yield f"{prefix}_unloaded_median", f"{limit.unloaded_median:.2f}"
    busiest = sorted(members, key=lambda endpoint: (-endpoint.in_flight, endpoint.id))
    for endpoint in busiest[:BUSIEST_ENDPOINTS_PER_POOL]:
        yield (
            f"{prefix}_endpoint",
            _format_endpoint(endpoint, balancer.rules.availability.share(now_us, endpoint)),
        )


def _format_endpoint(endpoint: EndpointState, available_share: float) -> str:
    relative_latency = "-" if endpoint.relative_latency is None else f"{endpoint.relative_latency:.1f}"
    return (
        f"{endpoint.id},in_flight:{endpoint.in_flight},latency_ratio:{relative_latency},load:{endpoint.load:.1f}"
        f",failure_rate:{endpoint.failure_rate:.2f},available_share:{available_share:.2f}"
    )
