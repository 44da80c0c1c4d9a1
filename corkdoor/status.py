"""The module's state in one line, for a host's log. It decides nothing."""

from __future__ import annotations

from corkdoor.balancer import Balancer
from corkdoor.policy.pools import Pool

BUSIEST = 3  # endpoints of each pool that are named one by one


def state(balancer: Balancer, now_us: int) -> str:
    """The state at `now_us`; refusals are those since the last call, which it forgets."""
    heads = map(balancer.queue.head, range(len(balancer.worth)))
    worst = max((now_us - call.arrived for call in heads if call), default=0)
    parts = [
        f"ratio {balancer.ratio.value:.2f} scarcity {balancer.scarcity:.2f} held {balancer.queue.count}"
        f" sojourn {worst // 1000} ms retries {balancer.retries.tokens:.1f}"
    ]
    for placement in balancer.placements:
        for name, pool in zip(("near", "far"), placement.pools, strict=True):
            parts += _pool(balancer, name, pool, now_us)
    parts += [f"bucket {n} {b.tokens:.1f} +{b.refill:.1f}/s" for n, b in balancer.buckets.buckets.items()]
    parts += [f"refused {why} {n}" for why, n in sorted(balancer.refused.items())]
    balancer.refused.clear()
    return "; ".join(parts)


def _pool(balancer: Balancer, name: str, pool: Pool, now_us: int) -> list[str]:
    limit = pool.limit
    members = sorted(pool.subset.members, key=lambda e: (-e.in_flight, e.id))
    return [
        f"{name} {limit.in_flight}/{limit.open * limit.cap:.1f} of {len(members)}"
        f" median {limit.median:.2f} base {limit.base:.2f}",
        *(
            f"{e.id} {e.in_flight} out slow {e.slow:.1f} crowd {e.crowd:.1f} failing {e.failing:.2f}"
            f" part {balancer.part(now_us, e, balancer.warmth(now_us, e)):.2f}"
            for e in members[:BUSIEST]
        ),
    ]
