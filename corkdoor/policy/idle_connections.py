"""Idle connections: how long a connection may be idle before it is closed instead of reused.

Guards against network devices that drop idle connections without notice: an attempt on such a connection
never gets a response. Idle times are divided into steps, and the share of attempts without a response is
measured for each step. If the share of a step is far above the least share of all steps, which is normally
that of fresh connections, connections that were idle for that long are closed before the next attempt.
"""

from __future__ import annotations

import random

from corkdoor.interface import Actions
from corkdoor.model import Outcome
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.policy.retry_safety import NEVER_RAN, WITHOUT_RESPONSE
from corkdoor.settings import Settings

FIRST_STEP_US = 500_000  # the idle time that ends step 0; each further step ends at twice the time
FRESH_STEP = 5  # the step of new connections; the steps below it are idle times, the shortest first
NO_RESPONSE_WEIGHT = 0.1  # weight of the newest attempt in the no-response share of its step
MAX_EXCESS = 0.15  # how far the no-response share of a step may exceed the least share of any step
MIN_SAMPLES = 5  # attempts in a step before its no-response share is used
# The share of connections that would be closed but are used nevertheless: a fault may end unannounced.
PROBE_SHARE = 0.1
# While fresh connections have too few samples, an idle connection whose step has a high no-response share is
# closed for random draws below this, so that the next attempt is a sample of a fresh connection. For these
# draws the no-response share of fresh connections is assumed to be 0, for all other draws 1.
FRESH_PROBE_SHARE = 0.5
# An attempt that timed out or was cancelled counts as one without a response only after more than this many
# median latencies.
MIN_NO_RESPONSE_MEDIANS = 3.0


class IdleConnections:
    """Decides which idle connections to close.

    Args:
        settings: the current settings.
        actions: closes connections.
        rng: the source of all random draws.

    Attributes:
        endpoint_idle_timeout_us: the idle time after which endpoints close connections; None: unknown.
        no_response_shares: the share of attempts without a response, by step.
    """

    def __init__(self, settings: Settings, actions: Actions, rng: random.Random) -> None:
        self.no_response_shares = [0.0] * (FRESH_STEP + 1)
        self._counts = [0] * (FRESH_STEP + 1)
        self._actions = actions
        self._random = rng
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Apply the idle timeout of endpoints from the settings."""
        self.endpoint_idle_timeout_us = settings.limits.idle_connection_us

    def prepare_connection(self, now_us: int, endpoint: EndpointState) -> int:
        """Close the idle connections to an endpoint without attempts in flight, if they are likely dead.

        Returns:
            The step of the connection that the next attempt uses.
        """
        step = FRESH_STEP if endpoint.last_used_us is None else self._step(now_us - endpoint.last_used_us)
        if self._is_likely_dead(step, self._random.random()):
            self._actions.close_idle_connections(endpoint.id)
            return FRESH_STEP
        return step

    def _step(self, idle_us: int) -> int:
        if self.endpoint_idle_timeout_us is not None and idle_us >= self.endpoint_idle_timeout_us:
            return FRESH_STEP
        return min((idle_us // FIRST_STEP_US).bit_length(), FRESH_STEP - 1)

    def _is_likely_dead(self, step: int, chance: float) -> bool:
        """Return whether connections of this step should be closed; `chance` is a random draw from 0 to 1."""
        if step == FRESH_STEP or self._counts[step] < MIN_SAMPLES or chance < PROBE_SHARE:
            return False
        if self.no_response_shares[step] <= MAX_EXCESS:
            return False
        pairs = zip(self.no_response_shares, self._counts, strict=True)
        shares = [share for share, count in pairs if count >= MIN_SAMPLES]
        if self._counts[FRESH_STEP] < MIN_SAMPLES:
            shares.append(0.0 if chance < FRESH_PROBE_SHARE else 1.0)
        return self.no_response_shares[step] > min(shares) + MAX_EXCESS

    def record(
        self, step: int | None, outcome: Outcome, elapsed_us: int, median_share: float, objective_us: int
    ) -> None:
        """Record the outcome of an attempt on a connection of this step.

        Args:
            step: the step; None: unknown.
            outcome: how the attempt ended.
            elapsed_us: the duration of the attempt, in microseconds.
            median_share: the median latency of its pool, as a share of the objective.
            objective_us: the latency objective of the request, in microseconds.
        """
        if step is None or outcome in NEVER_RAN:
            return
        no_response = outcome in WITHOUT_RESPONSE
        was_long = elapsed_us > MIN_NO_RESPONSE_MEDIANS * median_share * objective_us > 0
        if no_response and not was_long and outcome is not Outcome.RESET:
            return
        self._counts[step] += 1
        weight = max(NO_RESPONSE_WEIGHT, 1 / self._counts[step])
        self.no_response_shares[step] += weight * (no_response - self.no_response_shares[step])
