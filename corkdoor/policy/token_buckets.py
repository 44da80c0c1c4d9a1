"""Token buckets: the tenants' budgets in request units (RU).

A request is charged on arrival, and again for the latency of each attempt when the attempt ends. Buckets are
refilled for each refill window: a tenant gets its stated quota, or its share of the recently served request
units if that is more.
"""

from __future__ import annotations

from corkdoor.settings import Settings

BASE_COST_RU = 1.0  # the cost of a request without a cost hint
LATENCY_RU_PER_US = 5e-7  # cost per microsecond of an ended attempt's latency: 2 s cost 1 RU
REFILL_WINDOW_US = 500_000
MAX_WINDOWS_AT_ONCE = 20  # windows smoothed in one refill: after a longer pause the served rate is nearly 0
REFILL_HEADROOM = 0.1  # share added to the refill, so that budgets recover after a reduction
SERVED_RATE_WEIGHT = 0.15  # weight of the newest window in the smoothed served rate
BURST_US = 1_500_000  # a bucket holds what is refilled in this time, plus BURST_RU
BURST_RU = 3.0  # fixed part of a bucket's capacity, for tenants with few requests
ACTIVE_WINDOW_US = 10_000_000  # a tenant without requests for this time gets no share of the served rate
MIN_QUOTA_PER_S = 1.0  # the quota of a tenant without a stated one
MEAN_COST_WEIGHT = 0.05  # weight of the newest attempt in the smoothed mean cost


class TenantBucket:
    """The budget of one tenant.

    Attributes:
        weight: the tenant's weight when the served rate is divided among the tenants.
        quota_per_s: the requests per second that the tenant is granted at this instance.
        refill_ru_per_s: the refill rate, in RU per second.
        tokens_ru: the tokens left; below 0 after requests with long latencies.
        last_request_us: when the tenant's newest request arrived; None: it has sent none.
    """

    __slots__ = ("last_request_us", "quota_per_s", "refill_ru_per_s", "tokens_ru", "weight")

    def __init__(self, weight: float, quota_per_s: float) -> None:
        self.weight = weight
        self.quota_per_s = quota_per_s
        self.refill_ru_per_s = quota_per_s * BASE_COST_RU * (1 + REFILL_HEADROOM)
        self.tokens_ru = self.capacity_ru()
        self.last_request_us: int | None = None

    def is_active(self, now_us: int) -> bool:
        """Return whether the tenant has sent a request recently, and so gets a share of the served rate."""
        return self.last_request_us is not None and now_us - self.last_request_us < ACTIVE_WINDOW_US

    def capacity_ru(self) -> float:
        """Return the bucket's capacity, in RU."""
        return self.refill_ru_per_s * BURST_US / 1e6 + BURST_RU


class TokenBuckets:
    """The buckets of all tenants.

    Attributes:
        by_tenant: the buckets, by the tenant's name; "" is for requests without a tenant.
        next_refill_us: when the next refill is due.
    """

    def __init__(self, settings: Settings, first_refill_delay_us: int, now_us: int) -> None:
        self.by_tenant: dict[str, TenantBucket] = {}
        self.next_refill_us = now_us + first_refill_delay_us
        self._served_ru = 0.0  # served in the current window
        self._served_ru_per_s = 0.0
        self._mean_cost_ru = BASE_COST_RU
        self.configure(settings, now_us)

    def configure(self, settings: Settings, now_us: int) -> None:
        """Apply the tenants of the settings; tenants that stay keep their tokens, up to the new capacity."""
        previous = self.by_tenant
        self.by_tenant = {"": previous[""]} if "" in previous else {}
        for tenant in settings.tenants:
            weight = tenant.weight or 1.0
            quota_per_s = tenant.quota_per_s / settings.instance_count or MIN_QUOTA_PER_S
            bucket = previous.get(tenant.name) or TenantBucket(weight, quota_per_s)
            bucket.weight, bucket.quota_per_s = weight, quota_per_s
            self.by_tenant[tenant.name] = bucket
        self._set_refill_rates(now_us)
        for bucket in self.by_tenant.values():
            bucket.tokens_ru = min(bucket.tokens_ru, bucket.capacity_ru())

    def get_or_create(self, tenant: str) -> TenantBucket:
        """Return the tenant's bucket; create one for a tenant that is not in the settings."""
        bucket = self.by_tenant.get(tenant)
        if bucket is None:
            bucket = self.by_tenant[tenant] = TenantBucket(1.0, MIN_QUOTA_PER_S)
        return bucket

    def charge_latency(
        self, bucket: TenantBucket, cost_ru: float, charged_ru: float, latency_us: int, ok: bool
    ) -> None:
        """Charge the latency of an ended attempt to its tenant, unless the request was over the quota.

        A successful attempt also updates the smoothed mean cost, and adds its cost to the served request
        units, unless the request was over the quota.

        Args:
            bucket: the tenant's bucket.
            cost_ru: the cost of the request.
            charged_ru: what was charged on arrival; 0 for a request over its tenant's quota.
            latency_us: the latency of the attempt.
            ok: whether the attempt succeeded.
        """
        latency_ru = LATENCY_RU_PER_US * latency_us
        if charged_ru:
            bucket.tokens_ru -= latency_ru
        if ok:
            self._mean_cost_ru += MEAN_COST_WEIGHT * (cost_ru + latency_ru - self._mean_cost_ru)
            # Requests over the quota are left out: otherwise a tenant could raise its own budget by what was
            # served with spare capacity.
            if charged_ru:
                self._served_ru += cost_ru + latency_ru

    def refill(self, now_us: int) -> None:
        """Refill all buckets for the refill windows that have ended by now."""
        windows = 1 + (now_us - self.next_refill_us) // REFILL_WINDOW_US
        self.next_refill_us += windows * REFILL_WINDOW_US
        for _ in range(min(windows, MAX_WINDOWS_AT_ONCE)):
            rate = self._served_ru * 1e6 / REFILL_WINDOW_US
            self._served_ru_per_s += SERVED_RATE_WEIGHT * (rate - self._served_ru_per_s)
            self._served_ru = 0.0
        self._set_refill_rates(now_us)
        for bucket in self.by_tenant.values():
            refill_ru = bucket.refill_ru_per_s * windows * REFILL_WINDOW_US / 1e6
            bucket.tokens_ru = min(bucket.capacity_ru(), bucket.tokens_ru + refill_ru)

    def _set_refill_rates(self, now_us: int) -> None:
        buckets = self.by_tenant.values()
        active_weight = sum(bucket.weight for bucket in buckets if bucket.is_active(now_us))
        for bucket in buckets:
            share_ru_per_s = self._served_ru_per_s * bucket.weight / active_weight if active_weight else 0.0
            # Quotas are in requests: converted at the mean cost, they don't shrink when responses are slow.
            quota_ru_per_s = bucket.quota_per_s * self._mean_cost_ru
            bucket.refill_ru_per_s = max(quota_ru_per_s, share_ru_per_s) * (1 + REFILL_HEADROOM)
