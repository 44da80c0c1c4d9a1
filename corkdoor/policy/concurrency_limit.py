"""The concurrency limit of a pool: how many requests may be in flight there, derived from latencies.

The limit counts requests in flight from this instance. Its inputs are latencies as shares of the latency
objective of their class, collected in rounds of outcomes. When the median of a round exceeds a target, the
limit falls. When it does not and the limit was in use, the limit grows. The rule uses medians because a few
long requests are no sign of overload.
"""

from __future__ import annotations

import math
import random

from corkdoor.policy.latency_histogram import LatencyHistogram

INITIAL_PER_ENDPOINT = 7.0  # initial limit per endpoint, in requests in flight from all instances together
MIN_PER_ENDPOINT = 2.0  # lower bound of the limit per endpoint, in requests in flight from all instances
EASY_GROWTH_FACTOR = 2.0  # the limit grows easily (`_may_grow`) up to this multiple of its initial value
MIN_LIMIT = 0.1  # lower bound of the limit of one instance: the sum over many instances must still be small
DITHER_INTERVAL_US = 250_000  # how often the threshold that rounds fractions of a request is redrawn
BURST_SQRT_FACTOR = 2.0  # bursts may exceed the limit by this times its square root: arrivals are random
BURST_SQRT_FACTOR_OUTERMOST = 0.5  # replaces BURST_SQRT_FACTOR in layer 0, where the excess is to be rejected
TARGET_RATIO = 2.0  # the target median, as a multiple of the unloaded median
# The least target median, as a multiple of the unloaded median, where the unloaded median is a large share of
# the objective.
MIN_TARGET_RATIO = 1.3
MAX_TARGET_SHARE = 0.3  # upper bound of the target median, as a share of the objective, divided by layer + 1
# Upper bound of the first unloaded median, as a share of the objective, divided by layer + 1.
MAX_UNLOADED_SHARE = 0.5
MEDIAN_WEIGHT = 0.3  # weight of the newest round in the smoothed median
UNLOADED_DRIFT = 1.01  # largest factor on the unloaded median in a round, so that it follows a lasting change
ROUND_SAMPLES = 8  # outcomes in a round, plus ROUND_SAMPLES_PER_REQUEST for each request of the limit
ROUND_SAMPLES_PER_REQUEST = 1.5  # outcomes in a round for each request of the limit, plus ROUND_SAMPLES
GROWTH_SHARE = 0.1  # growth after a round, as a share of the limit
MIN_GROWTH = 0.3  # lower bound of the growth after a round, in requests
MIN_GROWTH_WITH_REPORTS = 1.0  # replaces MIN_GROWTH where endpoints report their load
MIN_REMAINING_SHARE = 0.6  # one round reduces the limit to no less than this share of it
AT_LIMIT_SHARE = 0.7  # the limit counts as in use while at least this share of it is in flight
# Beyond the easy growth, the limit grows only if it was in use at more than this share of a round's outcomes.
MIN_AT_LIMIT_SHARE = 0.5


class ConcurrencyLimit:
    """The concurrency limit of one pool.

    Attributes:
        max_in_flight: the limit while the pool's whole capacity is available.
        min_limit: the lower bound of `max_in_flight`.
        available_share: the share of the pool's capacity that is available now; it scales the limit.
        fair_share: this instance's share of the pool, as a number of endpoints, with fractions.
        in_flight: the number of attempts in flight.
        median: the smoothed median latency, as a share of the objective; 0.0 before the first round.
        unloaded_median: the median latency while not overloaded, as a share of the objective; 0.0 before the
            first round.
        headroom: 1.0 while not overloaded, 0.0 when the median latency is at its target.
        endpoints_report_load: whether endpoints report their load.
        peer: the limit of the other pool of the same placement (the remote one for the local one, and the
            other way round).
        round: the latencies of the current round.
        samples_since_us: when the limit was last reduced, or its latencies were last reset; attempts that
            were sent earlier are not counted.
    """

    def __init__(self, layer: int) -> None:
        self.max_in_flight = 0.0
        self.min_limit = MIN_LIMIT
        self.available_share = 1.0
        self.fair_share = 0.0
        self.in_flight = 0
        self.median = 0.0
        self.unloaded_median = 0.0
        self.headroom = 0.5
        self.endpoints_report_load = False
        self.peer: ConcurrencyLimit | None = None
        self._easy_growth_limit = 0.0
        self._dither = 0.0
        self._next_dither_us = 0
        self._max_target = MAX_TARGET_SHARE / (layer + 1)
        self._max_unloaded = MAX_UNLOADED_SHARE / (layer + 1)
        self._burst_sqrt_factor = BURST_SQRT_FACTOR if layer else BURST_SQRT_FACTOR_OUTERMOST
        self.round = LatencyHistogram()
        self._outcomes_at_limit = 0  # outcomes of this round that came while the limit was in use
        self.samples_since_us = 0

    def resize(self, fair_share: float) -> None:
        """Set this instance's share of the endpoints; the limit changes in proportion.

        Otherwise the limit for many endpoints would apply to the few that are left.
        """
        if fair_share:
            self.max_in_flight *= fair_share / (self.fair_share or fair_share)
            self.fair_share = fair_share
        self.min_limit = max(MIN_LIMIT, MIN_PER_ENDPOINT * fair_share)
        self._easy_growth_limit = EASY_GROWTH_FACTOR * INITIAL_PER_ENDPOINT * fair_share
        self.max_in_flight = max(self.max_in_flight or INITIAL_PER_ENDPOINT * fair_share, self.min_limit)

    def reset_latencies(self, now_us: int, rise: float) -> None:
        """Discard the latencies, because objectives have changed.

        Args:
            now_us: the time of the change.
            rise: the factor by which latencies, as shares of the new objectives, may rise.
        """
        self.median, self.unloaded_median = 0.0, self.unloaded_median * rise
        self.round, self._outcomes_at_limit, self.samples_since_us = LatencyHistogram(), 0, now_us

    def capacity(self, shortage: float) -> float:
        """Return how many requests may be in flight at one moment; the limit itself bounds their mean.

        Args:
            shortage: the share of recent requests that found no capacity, 0 to 1.
        """
        limit = self.available_share * self.max_in_flight
        return limit + self._burst_sqrt_factor * self.headroom * (1.0 - shortage) * math.sqrt(limit)

    def update_and_check_full(self, now_us: int, capacity: float, rng: random.Random) -> bool:
        """Redraw the rounding threshold if it is due, and return whether `capacity` is used up.

        Without headroom, fractions of a request are rounded up or down at random. If every instance rounded
        up, their limits would add up to more than the endpoints can handle.
        """
        if now_us >= self._next_dither_us:
            self._next_dither_us = now_us + DITHER_INTERVAL_US
            self._dither = rng.random()
        return self.in_flight >= (capacity if self.headroom else int(capacity + self._dither))

    def record(self, now_us: int, sent_us: int, latency_share: float) -> None:
        """Record the outcome of an attempt that was sent at `sent_us`; a complete round updates the limit."""
        # Attempts that were sent before the last reduction must not reduce the limit again.
        if sent_us < self.samples_since_us:
            return
        self.round.add(latency_share)
        limit = self.available_share * self.max_in_flight
        self._outcomes_at_limit += self.in_flight >= AT_LIMIT_SHARE * limit
        if self.round.total < ROUND_SAMPLES + ROUND_SAMPLES_PER_REQUEST * limit:
            return
        self._end_round(now_us)

    def _end_round(self, now_us: int) -> None:
        median = self.round.upper_quantile(0.5)
        self.median += (MEDIAN_WEIGHT if self.median else 1.0) * (median - self.median)
        self._update_unloaded_median()
        target = self._target()
        self.headroom = min(1.0, max(0.0, TARGET_RATIO * (1.0 - median / target)))
        if median > target:
            self.max_in_flight = max(
                self.min_limit, self.max_in_flight * max(MIN_REMAINING_SHARE, target / median)
            )
            self.samples_since_us = now_us
        elif self._may_grow():
            min_growth = MIN_GROWTH_WITH_REPORTS if self.endpoints_report_load else MIN_GROWTH
            self.max_in_flight += max(min_growth, GROWTH_SHARE * self.max_in_flight)
        self.round, self._outcomes_at_limit = LatencyHistogram(), 0

    def _update_unloaded_median(self) -> None:
        # No drift during overload: otherwise the latencies of the overload would become the unloaded median,
        # round by round.
        overloaded = self._outcomes_at_limit and self.max_in_flight > self._easy_growth_limit
        drift = 1.0 if overloaded else UNLOADED_DRIFT
        # The bound of the first value guards against a start during overload, which would look unloaded.
        highest = self.unloaded_median * drift if self.unloaded_median else self._max_unloaded
        self.unloaded_median = min(highest, self.median)

    def _target(self) -> float:
        """Return the median latency above which the limit falls, as a share of the objective."""
        unloaded = self.unloaded_median
        # Guards against a pool that is overloaded from its first request on. The endpoints of the other pool
        # are of the same kind, so its unloaded median applies here too.
        if self.peer and self.peer.unloaded_median:
            unloaded = min(unloaded, self.peer.unloaded_median)
        return max(MIN_TARGET_RATIO * unloaded, min(TARGET_RATIO * unloaded, self._max_target))

    def _may_grow(self) -> bool:
        """Return whether this round shows how the endpoints perform when the limit is in use.

        The pool's whole capacity must be available. Up to the easy-growth limit, one outcome that came while
        the limit was in use is enough; beyond it, more than `MIN_AT_LIMIT_SHARE` of the round's outcomes must
        have come then.
        """
        at_limit_share = MIN_AT_LIMIT_SHARE if self.max_in_flight > self._easy_growth_limit else 0.0
        return self.available_share == 1.0 and self._outcomes_at_limit > at_limit_share * self.round.total
