"""The balancer's state as fields of a log event."""

from __future__ import annotations

from collections.abc import Iterator

from corkdoor.balancer import Balancer
from corkdoor.policy.endpoint_pool import EndpointPool

BUSIEST_ENDPOINTS = 3  # of each pool, named one by one


def state(balancer: Balancer, now_us: int) -> str:
    """Return the state at `now_us` as `key=value` pairs; rejections are those since the last call."""
    return " ".join(_fields(balancer, now_us))


def _fields(balancer: Balancer, now_us: int) -> Iterator[str]:
    yield f"latency_ratio={balancer.rules.ratio.value:.2f}"
    yield f"capacity_shortage={balancer.rules.shortage.rate:.2f}"
    yield f"queued={balancer.queue.count}"
    yield f"longest_wait_ms={balancer.queue.longest_wait_us(now_us) // 1000}"
    yield f"retry_tokens={balancer.rules.retry_budget.tokens:.1f}"
    for index, placement in enumerate(balancer.placements):
        yield from _pool_fields(balancer, f"placement.{index}.local", placement.local, now_us)
        yield from _pool_fields(balancer, f"placement.{index}.remote", placement.remote, now_us)
    for tenant, bucket in balancer.rules.buckets.by_tenant.items():
        yield f"tenant.{tenant or '-'}.tokens_ru={bucket.tokens_ru:.1f}"
        yield f"tenant.{tenant or '-'}.refill_ru_per_s={bucket.refill_ru_per_s:.1f}"
    counts = balancer.rules.rejections.take_counts()
    for reason in sorted(counts, key=lambda reason: reason.value):
        yield f"rejected.{reason.value}={counts[reason]}"


def _pool_fields(balancer: Balancer, prefix: str, pool: EndpointPool, now_us: int) -> Iterator[str]:
    limit = pool.limit
    yield f"{prefix}.in_flight={limit.in_flight}"
    yield f"{prefix}.limit={limit.available_share * limit.limit:.1f}"
    yield f"{prefix}.subset={len(pool.subset.members)}"
    yield f"{prefix}.median={limit.median:.2f}"
    yield f"{prefix}.unloaded_median={limit.unloaded_median:.2f}"
    busiest = sorted(pool.subset.members, key=lambda endpoint: (-endpoint.in_flight, endpoint.id))
    for endpoint in busiest[:BUSIEST_ENDPOINTS]:
        ratio = "-" if endpoint.latency_ratio is None else f"{endpoint.latency_ratio:.1f}"
        yield (
            f"{prefix}.endpoint={endpoint.id},in_flight:{endpoint.in_flight},latency_ratio:{ratio}"
            f",load:{endpoint.load:.1f},failure_rate:{endpoint.failure_rate:.2f}"
            f",available_share:{balancer.rules.availability.share(now_us, endpoint):.2f}"
        )
