"""All decisions of corkdoor. Its types, events and actions stand in corkdoor/interface.py: read that first.

The ordinary path of a request, after "How Airbnb Built Adaptive Traffic Management for a Multi-tenant
Key-value Store": it is priced in request units (RU) against its tenant's token bucket, while the latency
ratio shows stress; past a learned in-flight cap it queues; long sojourn in that queue refuses new arrivals;
it is sent to the less busy of two random members of a random subset of the next tier's endpoints.

Around that stand the departures, each with the failure that it answers told where it stands below.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Sequence

from corkdoor.interface import Actions
from corkdoor.load_report import LoadReport
from corkdoor.model import DiscoveryMode, Endpoint, Idempotency, Outcome, Timer, WatchEventKind
from corkdoor.policy.buckets import BASE_COST_RU, REFILL_WINDOW_US, TokenBuckets
from corkdoor.policy.concurrency import START_CALLS
from corkdoor.policy.discovery.polling import DiscoveryPolling
from corkdoor.policy.endpoints import DepartedEndpoints, EndpointState
from corkdoor.policy.idle_connections import IDLE_STEPS, IdleConnections
from corkdoor.policy.latency import LatencyRatio, ServiceTimes
from corkdoor.policy.pools import Placement, Pool, subset_size
from corkdoor.policy.request_queue import HoldQueue, Request, TryTime
from corkdoor.policy.retries import RetryBudget
from corkdoor.policy.retry_safety import NEVER_RAN, UNANSWERED, may_reject, may_resend
from corkdoor.settings import Settings

# --- request units and buckets ---
HINT_RU_PER_US = 1e-5  # RU for each hinted microsecond: a hint of 100 ms doubles the base cost

# --- latency ratio ---
PENALTY = 3.0  # price of the lowest tier under full stress: 1 + this
SCARCITY_WEIGHT = 0.1  # weight of the newest arrival in the share of those that find no room
SCARCE = 0.2  # past this share room is scarce, however normal the ratio has come to look

# --- concurrency ---
REMOTE_PART = 0.25  # part of that granted in other zones at least, whose own callers come first
FULL_COUNTS = 1.0  # an endpoint that turns a call away counts as a call that took this share of its aim
LOW_TIER_SHARE = 0.8  # share of the cap open to the lower tiers, so the rest finds room at once
LOW_WORTH = 0.5  # tiers worth less than this share of the best class are lower tiers

# --- hold queue ---
HOLD_SHARE = 0.35  # a call is held for this share of its aim at most
HOLD_SHARE_INSIDE = 0.5  # inner tiers hold longer: their refusals surface as errors that may have run
SWEEP_US = 20_000  # how often held calls are looked at

# --- endpoints ---
SENT_DECAY = 0.95  # of the work sent, kept from one refill window to the next: a memory of ten seconds
LEAST_SPARE = 0.1  # part of an even share that free classes keep at endpoints that a bound class fills
REDRAWS = 4  # tries to draw an endpoint that may take the call
HEALTH_WEIGHT = 0.3  # weight of the newest outcome in an endpoint's failure share
FLEET_WEIGHT = 0.02  # and in the failure share of all
EJECT_FAILING = 0.45  # failure share at which an endpoint is ejected: two failures in a row pass it
EJECT_VERSUS_PEERS = 0.5  # and this share of all endpoints' failure share more: shared trouble ejects nobody
LEAVING_DECLINES = 3  # calls turned away in a row by which an endpoint is taken to be leaving, not busy
MAX_EJECTED = 0.5  # share of the known endpoints, in all zones, that may be out at once
EJECT_US = 3_000_000  # first ejection; each further one doubles it
EJECT_MAX_US = 24_000_000  # up to this
FORGIVE_US = 4_000_000  # an endpoint in full use for so long starts over: what it did before says nothing
RETURN_US = 4_000_000  # an ejected endpoint climbs back to its full part in this time
RETURN_FROM = 0.15  # starting with this part
SLOW_WEIGHT = 0.2  # weight of the newest latency in an endpoint's mean
SLOW_RANGE = 4.0  # an endpoint counts as at most this many times slower or faster than its peers
COLD_USE = 0.5  # of the multiple that a cold endpoint bears, the share that all copies together use
CROWDED = 2.0  # usual service times that an endpoint may report before it is spared in proportion
CROWD_MOST = 30.0  # so many usual service times count as more do
CROWD_WEIGHT = 0.5  # weight of the newest report in an endpoint's crowding
CROWD_HALF_US = 1_000_000  # half of it is forgotten in this time: a spared endpoint reports seldom
QUIET_RISE = 3.0  # usual (median) latencies without any answer, while calls are out, after which it is spared
QUIET_CALLS = 2  # so many at least
QUIET_PART = 0.1  # the part of its calls that it has then
OUTLIER = 2.0  # endpoints slower than their peers by this are left out of the ratio and the cap

# --- connections ---
SILENT_RISE = 3.0  # an attempt is silent once it took so many usual (median) latencies without an answer

# --- attempts ---
HOPELESS = 0.5  # share of the median latency: a call with less time to its aim or its end is not taken
COPY_RISE = 3.0  # a second copy goes out when the first has taken this many usual (median) latencies
MAX_TRIES = 3  # attempts from the first tier
MAX_TRIES_INSIDE = 2  # from inner ones: layers that retry each other multiply
RETRY_AFTER_SHARE = 0.5  # a refused client is told to wait this share of what it obeys, or up to twice it
SPILL_GAIN = 0.5  # how much of a call's worth is taken to be saved by sending it to another zone
FAILURES = frozenset((WatchEventKind.FAILED, WatchEventKind.REJECTED, WatchEventKind.LOST))
NEVER = -(1 << 62)  # before any time that a clock tells


class Balancer:
    """The decisions of one sidecar instance."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.actions = actions
        self.random = random.Random(seed)
        self.requests: dict[str, Request] = {}
        self.tries: dict[str, TryTime] = {}
        self.placement: dict[str, Placement] = {}
        self.started = False
        self._configure(settings)

    def _configure(self, settings: Settings) -> None:
        """Work out what follows from settings, the first and any later ones: what remains is carried over."""
        known = {(p.zones, p.machine_types): p for p in self.placements}
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        best = max(c.priority_weight for c in settings.classes) or 1.0
        worths = {
            (c.name, over): c.priority_weight / best * (settings.over_quota_weight if over else 1.0)
            for c in settings.classes
            for over in (False, True)
        }
        # Danger: levels of their own for classes worth the same are told apart by name alone, and the last of
        # them starves behind the others whenever calls are held.
        ranked = sorted({(-worth, over) for (_, over), worth in worths.items()})
        self.level = {(name, over): ranked.index((-worth, over)) for (name, over), worth in worths.items()}
        self.worth = [-minus for minus, _ in ranked]
        objective = settings.objective
        even = objective.class_weight / (objective.class_weight + objective.request_weight or 1.0)
        # What a served call is worth to the goal, where the cheapest class may count as much as the best.
        self.gain = [
            (1 - even) * -minus + even * (settings.over_quota_weight if over else 1.0)
            for minus, over in ranked
        ]
        self.copying = settings.limits.hedging_allowed and settings.layer == 0
        self.tries = {c.name: self.tries.get(c.name) or TryTime() for c in settings.classes}
        self.placement = {
            c.name: known.setdefault((c.allowed_zones, c.allowed_machine_types), Placement(c, settings.layer))
            for c in settings.classes
        }

    @property
    def placements(self) -> list[Placement]:
        """Those of the classes, and those that only calls from before a change of the settings still have."""
        return list(dict.fromkeys([*self.placement.values(), *(c.placement for c in self.requests.values())]))

    # --- life ---

    def start(self, now_us: int) -> None:
        s = self.settings
        self.started = True
        self.endpoints: dict[str, EndpointState] = {}
        self.departed = DepartedEndpoints()
        self.impaired: dict[EndpointState, None] = {}  # those that may have less than a peer's calls
        self.listed_at = NEVER  # when discovery last told anything: what it told then started before
        self.buckets = TokenBuckets(s, self.random.randrange(REFILL_WINDOW_US), now_us)
        self.ratio = LatencyRatio(now_us)
        self.services = ServiceTimes(s.layer, now_us)
        self.queue = HoldQueue(len(self.worth))
        self.retries = RetryBudget()
        self.refused: Counter[str] = Counter()  # since the last report, by reason
        self.idle = IdleConnections(s.limits.idle_connection_us)
        self.ejected: list[EndpointState] = []
        self.ready = 0
        self.fleet_failing = 0.0
        self.scarcity = 0.0  # share of late arrivals within their share that found no room at once
        self.fleet_latency = 0.0
        self.quiet_us = 1 << 62  # silence that tells of an endpoint with calls out
        self.sweep_at = -1
        self.copies: deque[tuple[int, Request]] = deque()  # when a second copy of the call falls due
        self.discovery = DiscoveryPolling(s, now_us, self.actions, self.random)
        if s.discovery_mode is DiscoveryMode.POLL:
            self.actions.watch_discovery(True)

    def reconfigure(self, now_us: int, settings: Settings) -> None:
        """Put other settings in force. Calls that are here keep their class and the endpoints it may use."""
        old = self.settings
        if settings.layer != old.layer:
            raise ValueError("Layer: it can't change while the process runs")
        classes = self.classes
        self._configure(settings)
        if not self.started:
            return
        pairs = [(classes[n], c) for n, c in self.classes.items() if n in classes]
        changes = [old.latency_objective_us / new.latency_objective_us for old, new in pairs]
        if any(change != 1.0 for change in changes):
            # Danger: with aims halved, what was always normal looks like a jam, and caps fall for that.
            self.ratio, self.services = LatencyRatio(now_us), ServiceTimes(settings.layer, now_us)
            for limit in (pool.limit for placement in self.placements for pool in placement.pools):
                limit.follow(now_us, max(1.0, *changes))
        self.buckets.configure(settings, now_us)
        self.discovery.configure(settings)
        self.idle.closed_us = settings.limits.idle_connection_us
        for request in self.requests.values():
            request.level = self.level.get((request.request_class.name, request.over), len(self.worth) - 1)
        self.queue.rank(len(self.worth))
        if self.endpoints:
            self._fill_pools()
        if settings.discovery_mode is not old.discovery_mode:  # what counts as told is another thing by now
            self.discovery.poll(now_us)
        if self.queue.count:
            self._dispatch(now_us)

    def on_watch_event(self, now_us: int, form: WatchEventKind, entries: Sequence[Endpoint]) -> None:
        if form in FAILURES:
            self.discovery.on_failure(now_us, form)
            return
        if form is not WatchEventKind.CACHED:
            self.discovery.on_answer(now_us, empty=not entries)
        if form is not WatchEventKind.DELTA:
            listed = {e.id for e in entries}
            for known in [e for e in self.endpoints.values() if e.id not in listed]:
                self._unlist(known)
                known.ready = False
                self._forget_unused(known)
        for entry in entries:
            self._take_entry(now_us, entry)
        if form is not WatchEventKind.CACHED:
            self.listed_at = now_us
        self._fill_subsets()
        if self.queue.count:
            self._dispatch(now_us)

    def _take_entry(self, now: int, entry: Endpoint) -> None:
        state = self.endpoints.get(entry.id)
        if state is None:
            start = self.departed.take(entry.id)
            state = self.endpoints[entry.id] = EndpointState(entry, start, self.listed_at, now)
        else:
            self._unlist(state)  # by what is known of it so far: it may have moved
            state.take(entry, self.listed_at, now)
        self._list(state)
        self.impaired[state] = None  # it may be cold
        self._forget_unused(state)

    def _list(self, endpoint: EndpointState) -> None:
        """Offer an endpoint that is ready to all calls that may go to it."""
        if not endpoint.ready:
            return
        self.ready += 1
        for placement in self.placements:
            if placement.allows(endpoint):
                placement.pool_for(endpoint, self.settings.zone).add(endpoint)

    def _unlist(self, endpoint: EndpointState) -> None:
        if not endpoint.ready:
            return
        self.ready -= 1
        for placement in self.placements:
            if placement.allows(endpoint):
                placement.pool_for(endpoint, self.settings.zone).remove(endpoint)

    def _forget_unused(self, endpoint: EndpointState) -> None:
        """Guards against ids that are ever new: what has left is forgotten once nothing of it is out."""
        if not endpoint.ready and not endpoint.in_flight and self.endpoints.get(endpoint.id) is endpoint:
            self._forget(endpoint)

    def _forget(self, endpoint: EndpointState) -> None:
        del self.endpoints[endpoint.id]
        self.impaired.pop(endpoint, None)
        self.departed.add(endpoint)

    def on_discovery_moved(self, now_us: int) -> None:
        """Discovery is at another address, and has not been asked there."""
        self.discovery.on_address_changed(now_us)

    def _fill_pools(self) -> None:
        """Divide all endpoints anew: the constraints of the classes, or the sidecar's zone, are others."""
        for placement in self.placements:
            for pool in placement.pools:
                pool.listed = []
        self.ready = 0
        for endpoint in self.endpoints.values():
            self._list(endpoint)
            self.impaired[endpoint] = None  # the settings tell how long it is cold
        self._fill_subsets()

    def _fill_subsets(self) -> None:
        s = self.settings
        for placement in self.placements:
            # Other zones have their own callers to carry. Danger: copies are not spread as endpoints are, and
            # one that takes its whole part in a zone with less jams that, while the others' sit idle.
            fair = placement.size / s.instance_count
            own = min(fair, len(placement.local.listed))
            for pool, part in (
                (placement.local, own),
                (placement.remote, max(fair - own, REMOTE_PART * fair)),
            ):
                pool.limit.size(part)
                size = subset_size(pool.limit.cap, part, pool.limit.in_flight)
                pool.subset.fill(pool.listed, s.instance_index, s.instance_count, size)

    def _share_out(self) -> None:
        """Note what was sent, and leave to a bound class the endpoints that it fills.

        Danger: classes free to go anywhere crowd the few endpoints of a bound class while others have room.
        """
        placements = self.placements
        for placement in placements:
            for pool in placement.pools:
                pool.turn()
        level = sum(p.sent for p in placements) / max(1, *(p.size for p in placements))
        for wide in placements:
            wide.narrower = [
                (narrow, max(LEAST_SPARE, 1.0 - narrow.sent / narrow.size / level))
                for narrow in placements
                if level and 0 < narrow.size < wide.size
            ]
        for p in placements:
            p.sent *= SENT_DECAY

    def on_timer(self, now_us: int, timer: Timer) -> None:
        if timer is Timer.DISCOVERY_POLL:
            self.discovery.on_timer(now_us)
        elif timer is Timer.QUEUE_SWEEP and now_us >= self.sweep_at >= 0:
            self.sweep_at = -1
            self._sweep(now_us)

    # --- requests ---

    def on_request(
        self,
        now_us: int,
        request_id: str,
        class_name: str,
        tenant: str | None,
        timeout_us: int,
        cost_hint_us: int | None,
    ) -> None:
        if not self.started:
            raise RuntimeError("order before start")
        if request_id in self.requests:
            raise RuntimeError(f"request {request_id} is here already")
        buckets = self.buckets
        if now_us >= buckets.next_refill:
            buckets.refill(now_us)
            self._share_out()
        bucket = buckets.find(tenant or "")
        due = now_us + timeout_us
        request_class, placement = self.classes[class_name], self.placement[class_name]
        new = self.requests[request_id] = Request(request_id, request_class, placement, now_us, due, bucket)
        bucket.heard = now_us
        stress = self.ratio.stress()
        worth = self.worth[self.level[class_name, False]]
        price = BASE_COST_RU + HINT_RU_PER_US * (cost_hint_us or 0)
        new.price = price
        inflated = price * (1 + PENALTY * stress * (1 - worth))
        over = new.over = bucket.tokens < inflated
        new.level = self.level[class_name, over]
        deadline_us = request_class.deadline_us
        age = 0 if self.settings.layer else self.tries[class_name].age(timeout_us, deadline_us)
        if timeout_us <= 0:
            self._refuse(new, "expired")
            return
        if not new.request_class.late_answer_value:
            # Guards against repeats that can no longer be worth anything.
            usual = new.placement.local.limit.median * HOPELESS
            new.due = min(new.due, now_us + new.objective_us - age)
            if new.due - now_us <= new.objective_us * usual:
                self._refuse(new, "hopeless")
                return
        low = self.worth[new.level] < LOW_WORTH
        outer = self.settings.layer == 0
        if outer and over and (stress > 0 or self.scarcity > SCARCE):
            self._refuse(new, "bucket")
            return
        if outer and self.queue.refusing(now_us):
            self._refuse(new, "sojourn")
            return
        if not over:
            bucket.tokens -= inflated
            new.paid = inflated
        at_once = (low or not self.queue.count) and self._try_send(now_us, new)
        if not over:
            self.scarcity += SCARCITY_WEIGHT * ((not at_once) - self.scarcity)
        if at_once:
            return
        if outer and low and (stress > 0 or self.queue.count):
            self._refuse(new, "low tier")
            return
        self._hold(now_us, new)

    def _hold(self, now: int, request: Request) -> None:
        share = HOLD_SHARE_INSIDE if self.settings.layer else HOLD_SHARE
        until = min(now + int(share * request.objective_us), request.due - request.margin)
        if until <= now:
            self._refuse(request, "short")
            return
        self.queue.push(request, until)
        self._sweep_later(now)

    def _sweep_later(self, now: int) -> None:
        if self.sweep_at < 0:
            self.sweep_at = now + SWEEP_US
            self.actions.start_timer(SWEEP_US, Timer.QUEUE_SWEEP)

    def _sweep(self, now: int) -> None:
        queue = self.queue
        self._dispatch(now)
        while (request := queue.overdue(now)) is not None:
            queue.take(request)
            self._refuse(request, "held")
        queue.watch(now)
        while self.copies and self.copies[0][0] <= now:
            self._copy(now, self.copies.popleft()[1])
        while self.copies and self.copies[0][1].answered:
            self.copies.popleft()
        if queue.count or self.copies:
            self._sweep_later(now)

    def _copy(self, now: int, request: Request) -> None:
        """Send a second copy: answers an endpoint that pauses or hangs under a call that is safe to repeat.

        Acts only while nothing is scarce: no stress, nobody held, room under the cap, retries left.
        """
        if not self.copying or request.answered or len(request.attempts) != 1 or not request.outstanding:
            return
        if self.ratio.stress() > 0 or self.queue.count or self.retries.tokens < 1.0:
            return
        if self._try_send(now, request):
            self.retries.spend()

    def _dispatch(self, now: int) -> None:
        """Send held calls while there is room, best worth first."""
        queue = self.queue
        queue.watch(now)
        for level in range(len(queue.levels)):
            while (request := queue.head(level)) is not None:
                if not self._try_send(now, request):
                    break
                queue.take(request)

    def _refuse(self, request: Request, why: str) -> None:
        """Final answer without a result: `shed` where that is legal."""
        self.refused[why] += 1
        may_have_run = request.first_run is not None or bool(request.outstanding)
        options = request.request_class
        if may_reject(options.idempotency, options.deduplication_scope, may_have_run):
            wait = 0
            limits = self.settings.limits
            if limits.retry_after_allowed:
                # Drawn anew for each: clients told the same wait would come back together.
                wait = int(limits.max_retry_after_us * RETRY_AFTER_SHARE * (1 + self.random.random()))
            self.actions.reject_request(request.id, wait)
        else:
            self.actions.fail_request(request.id)
        self._answered(request)

    def _answered(self, request: Request) -> None:
        request.answered = True
        if not request.outstanding:
            del self.requests[request.id]

    def _call_off(self, request: Request) -> None:
        """Cancel what nobody waits for any more: some endpoints stop such work."""
        if self.settings.limits.cancellation_allowed:
            for attempt in sorted(request.outstanding):
                self.actions.cancel_attempt(request.id, attempt)

    def _try_send(self, now: int, request: Request) -> bool:
        worth = self.worth[request.level]
        barren = True  # whether this zone has no endpoint that could take the call, however long it waits
        share = 1.0 if worth >= LOW_WORTH else LOW_TIER_SHARE
        for pool in request.placement.pools:
            if not pool.subset.members:
                continue
            limit = pool.limit
            limit.open = self._in_use(now, pool)
            if limit.full(now, share * limit.room(self.scarcity), self.random):
                barren = False
                continue
            if pool is request.placement.remote and not barren and not self._worth_crossing(now, request):
                return False
            endpoint = self._pick(now, pool, request)
            if endpoint is not None:
                self._send(now, request, endpoint, pool)
                return True
        return False

    def _worth_crossing(self, now: int, request: Request) -> bool:
        """Spill to another zone what this one cannot carry; the dearer the crossing, the longer it waits."""
        price = self.settings.costs.cross_zone
        gain = self.gain[request.level] * SPILL_GAIN
        if gain <= price:
            return False
        return now - request.arrived >= price / gain * HOLD_SHARE * request.objective_us

    def _pick(self, now: int, pool: Pool, request: Request) -> EndpointState | None:
        """The less busy, by own calls in flight, of two random members of the subset."""
        members = pool.subset.members
        n = len(members)
        best: EndpointState | None = None
        best_load = 0.0
        tried = request.attempts
        placement = request.placement
        drawn = 0
        for _ in range(2 * REDRAWS):
            e = members[int(self.random.random() * n)]
            if e is best or (tried and any(a[0] is e for a in tried)):
                continue
            warmth = self.warmth(now, e)
            part = self.part(now, e, warmth) * placement.spare(e)
            if part < 1.0 and self.random.random() >= part:
                continue
            if warmth < 1.0 and not self._affords(now, e, pool, warmth):
                continue
            if request.first_run is not None and not may_resend(
                request.request_class.idempotency,
                request.request_class.deduplication_scope,
                # What is sent now leaves once its connection is up, and has to leave within the window.
                request.request_class.deduplication_window_us - self.settings.limits.connect_timeout_us,
                request.first_run,
                now,
                (e.zone, e.cell),
            ):
                continue
            load = (e.in_flight + 1) / (e.weight * part)
            if e.slow:
                load *= e.slow
            if best is None or load < best_load:
                best, best_load = e, load
            drawn += 1
            if drawn == 2:
                break
        return best

    def part(self, now: int, e: EndpointState, warmth: float) -> float:
        """The part of a peer's calls that this endpoint may have: slow start, ejection and return, crowding.

        Rule 4: a draw that falls on a cold endpoint stands only with the probability of its least capacity,
        so each copy sends it that part of what its warm endpoints get, and so do all copies together.
        """
        part = warmth * self._returned(now, e)
        if e.crowd > CROWDED:
            part *= min(1.0, CROWDED / (1 + (e.crowd - 1) * 0.5 ** ((now - e.crowd_at) / CROWD_HALF_US)))
        # Danger: an endpoint that takes calls and answers none is found by time-outs alone, seconds later and
        # by every copy anew; until then the room that its calls hold is lost to the others.
        # One call alone may just be heavy.
        if e.in_flight >= QUIET_CALLS and self.quiet_us < now - e.quiet_since:
            part *= QUIET_PART
        return part

    def _returned(self, now: int, e: EndpointState) -> float:
        """The part of its calls that an endpoint may have while it is ejected, and after."""
        since = now - e.ejected_until
        if not e.ejected_until or since >= RETURN_US:
            return 1.0
        return 0.0 if since < 0 else RETURN_FROM + (1 - RETURN_FROM) * since / RETURN_US

    def _in_use(self, now: int, pool: Pool) -> float:
        """The part of a pool that is in use, not ejected, cold or crowded: as much of its cap is open.

        Danger: a cap learned with all endpoints falls on the few left and jams those in turn. Covers starts
        and whatever ejects. Could hurt where sound endpoints are ejected while others have room to spare.
        """
        members = pool.subset.members
        self._forget_unimpaired(now)
        if 2 * len(self.impaired) >= len(members):
            return sum(self.part(now, e, self.warmth(now, e)) for e in members) / len(members)
        lost = sum(1.0 - self.part(now, e, self.warmth(now, e)) for e in self.impaired if pool.offers(e))
        return max(0.0, 1.0 - lost / len(members))

    def _forget_unimpaired(self, now: int) -> None:
        """Keep those alone of which `part` may be below 1: time itself only raises it, but for the quiet."""
        for e in list(self.impaired):
            if e.in_flight < QUIET_CALLS and self.part(now, e, self.warmth(now, e)) >= 1.0:
                del self.impaired[e]

    def warmth(self, now: int, e: EndpointState) -> float:
        """The least part of its capacity that the endpoint has, by its stated start."""
        rules = self.settings.lifecycle
        age = now - e.launched
        if not e.launched or age >= rules.slow_start_us:
            return 1.0
        initial = rules.slow_start_initial_share
        return initial + (1 - initial) * max(age, 0) / rules.slow_start_us

    def _affords(self, now: int, e: EndpointState, pool: Pool, warmth: float) -> bool:
        """Whether a cold endpoint has credit left: it earns a part of what those of its pool usually got.

        Danger: where most of a subset is cold there is little else to draw, so that redraws and held calls
        would send it all the same, from every copy; a burst right after the start may break rule 4.
        """
        fair = START_CALLS / self.settings.instance_count  # a second, while no rate is known
        usual = max(pool.rate / len(pool.subset.members), fair)
        if e.credit < 0:
            e.credit = self.random.random()  # all copies hear of the start at once
        else:
            earned = usual * min(1.0, COLD_USE * self.settings.lifecycle.overload_factor * warmth)
            e.credit = min(1.0, e.credit + earned * (now - e.credit_at) / 1e6)
        e.credit_at = now
        return e.credit >= 1.0

    def _send(self, now: int, request: Request, e: EndpointState, pool: Pool) -> None:
        request.outstanding.add(len(request.attempts))
        if not request.attempts:
            self.retries.earn()
            request.placement.sent += request.price
            usual = pool.limit.median * request.objective_us
            # Only the outermost layer copies: copies inside multiply, and only it sees all stress.
            if usual and self.copying and request.request_class.idempotency is Idempotency.IDEMPOTENT:
                self.copies.append((now + int(COPY_RISE * usual), request))
                self._sweep_later(now)
        step = -1  # unknown: others are out, and which connection comes next is not told
        if not e.in_flight:
            e.quiet_since = now
            step = self.idle.step(now - e.used) if e.used else IDLE_STEPS
            if self.idle.dead(step, self.random.random()):
                self.actions.close_idle_connections(e.id)
                step = IDLE_STEPS
        request.attempts.append((e, now, pool, step))
        e.used = now
        e.credit -= 1.0 if e.credit >= 1.0 else 0.0
        pool.sent += 1
        e.in_flight += 1
        if e.in_flight >= QUIET_CALLS:
            self.impaired[e] = None
        pool.limit.in_flight += 1
        self.actions.send_attempt(request.id, e.id, 0)

    # --- outcomes ---

    def on_response_start(self, now_us: int, request_id: str, attempt: int) -> None:
        found = self.requests.get(request_id)
        if found is not None:
            found.answered = True

    def on_attempt_end(
        self,
        now_us: int,
        request_id: str,
        attempt: int,
        endpoint_id: str,
        elapsed_us: int,
        request_closed: bool,
        outcome: Outcome,
        load: LoadReport | None = None,
    ) -> None:
        found = self.requests.get(request_id)
        if found is None or attempt not in found.outstanding:
            return
        found.outstanding.discard(attempt)
        e, sent, pool, step = found.attempts[attempt]
        e.in_flight -= 1
        self._forget_unused(e)
        e.used = now_us
        pool.limit.in_flight -= 1
        if step >= 0 and outcome not in NEVER_RAN:
            silent = outcome in UNANSWERED
            long = elapsed_us > SILENT_RISE * pool.limit.median * found.objective_us > 0
            if not silent or long or outcome is Outcome.RESET:
                self.idle.learn(step, silent)
        if outcome not in UNANSWERED and outcome is not Outcome.NOT_SENT:
            e.quiet_since = now_us
        if load is not None:
            pool.limit.told = True
            self._note_load(now_us, e, pool.limit.base, load, found.objective_us, elapsed_us)
        self._judge(now_us, found, e, pool, sent, elapsed_us, outcome)
        if outcome not in NEVER_RAN and (found.first_run is None or sent < found.first_run[0]):
            found.first_run = (sent, e.zone, e.cell)
        if found.answered or request_closed:
            self._answered(found)
            self._call_off(found)
        elif not found.outstanding:
            self._again(now_us, found, outcome)
        if self.queue.count:
            self._dispatch(now_us)

    def _note_load(
        self, now: int, e: EndpointState, base: float, load: LoadReport, aim: int, spent: int
    ) -> None:
        """Learn how crowded an endpoint is, by all copies together, from its own report."""
        share = load.service_time_us / aim
        self.services.record(now, share)
        usual = self.services.usual
        if not usual:
            return
        if base:  # Guards against a mean that still holds a trouble gone by: this very call was faster.
            share = min(share, max(usual, usual + spent / aim - base))
        in_service = max(1.0, load.requests_per_s * load.service_time_us / 1e6)
        crowd = min(CROWD_MOST, share / usual * (1 + load.queued_requests / in_service))
        e.crowd += CROWD_WEIGHT * (crowd - e.crowd)
        e.crowd_at = now
        if e.crowd > CROWDED:
            self.impaired[e] = None

    def _judge(
        self, now: int, call: Request, e: EndpointState, pool: Pool, sent: int, spent: int, outcome: Outcome
    ) -> None:
        """Learn from an outcome: the endpoint's health, the ratio, the cap and the tenant's bill."""
        if outcome is Outcome.NOT_SENT or outcome is Outcome.CANCELLED:
            return
        ok = outcome is Outcome.OK
        share = spent / call.objective_us
        # Danger: one that drains turns calls away at once, seconds before the list tells of it. With little
        # in flight it draws most of the sends, and each would count as crowding and cut the cap.
        e.declines = e.declines + 1 if outcome is Outcome.REJECTED else 0
        leaving = e.declines >= LEAVING_DECLINES
        if leaving and not e.in_flight:
            self._eject(now, e, "rejects_attempts")
        if outcome is not Outcome.REJECTED:  # a full endpoint is busy, not ill
            failed = 0.0 if ok else 1.0
            self.fleet_failing += FLEET_WEIGHT * (failed - self.fleet_failing)
            # Guards against one pause that fails all calls in flight: together they count as one failure.
            if ok or sent >= e.failed_at:
                e.failing += HEALTH_WEIGHT * (failed - e.failing)
            if failed:
                e.failed_at = now
                self._consider_ejecting(now, e)
        if ok or outcome is Outcome.TIMEOUT:
            if not self.fleet_latency:
                self.fleet_latency = share
            self.fleet_latency += FLEET_WEIGHT * (share - self.fleet_latency)
            if pool.limit.median:
                self.quiet_us = int(QUIET_RISE * pool.limit.median * call.objective_us)
            relative = min(max(share / self.fleet_latency, 1 / SLOW_RANGE), SLOW_RANGE)
            e.slow = e.slow + SLOW_WEIGHT * (relative - e.slow) if e.slow else 0.5 + 0.5 * relative
        outlier = e.slow > OUTLIER and share > self.fleet_latency
        if not outlier:  # Guards against one slow endpoint that gets tiers shed while its peers sit idle.
            if ok or outcome is Outcome.TIMEOUT:
                self.ratio.record(now, share)
            if ok or outcome is Outcome.TIMEOUT or (outcome is Outcome.REJECTED and not leaving):
                pool.limit.learn(now, sent, FULL_COUNTS if outcome is Outcome.REJECTED else share)
        self.buckets.bill(call.bucket, call.price, call.paid, spent, ok)

    def _consider_ejecting(self, now: int, e: EndpointState) -> None:
        # Endpoints that are down for sure raise the share of all: a multiple of that could never be reached.
        if e.failing >= EJECT_FAILING + EJECT_VERSUS_PEERS * self.fleet_failing:
            self._eject(now, e, "failing")

    def _eject(self, now: int, e: EndpointState, why: str) -> None:
        if now < e.ejected_until:
            return
        self.ejected = [o for o in self.ejected if o is not e and now < o.ejected_until + RETURN_US]
        if sum(now < o.ejected_until for o in self.ejected) + 1 > MAX_EJECTED * self.ready:
            return
        self.ejected.append(e)
        self.impaired[e] = None
        # Danger: doubled for failures of minutes ago, one failure keeps a sound endpoint out for the longest.
        sound_us = now - e.ejected_until - RETURN_US
        e.ejections = e.ejections + 1 if sound_us < FORGIVE_US else 1
        wait = min(EJECT_US * 2 ** (e.ejections - 1), EJECT_MAX_US)
        e.ejected_until = now + int(wait * (0.75 + 0.5 * self.random.random()))
        e.failing = 0.0
        duration_s = (e.ejected_until - now) / 1e6
        self.actions.log_event("endpoint_ejected", endpoint=e.id, duration_s=duration_s, reason=why)

    def _again(self, now: int, request: Request, outcome: Outcome) -> None:
        """All attempts ended without an answer: send another where that is legal and wise, or give up."""
        s = self.settings
        tries = min(MAX_TRIES if s.layer == 0 else MAX_TRIES_INSIDE, s.limits.max_attempts)
        legal = (
            request.first_run is None or request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        )
        legal = legal and len(request.attempts) < tries and now < request.due - request.margin
        # What was turned away unseen made no work: the budget is for retries of what may have.
        if legal and (outcome in NEVER_RAN or self.retries.spend()):
            for pool in request.placement.pools:
                if pool.subset.members and (endpoint := self._pick(now, pool, request)) is not None:
                    self._send(now, request, endpoint, pool)
                    return
        self._refuse(request, "attempts")

    def on_request_cancelled(self, now_us: int, request_id: str) -> None:
        found = self.requests.get(request_id)
        if found is None:
            return
        if found.held_until:
            self.queue.take(found)
        self._answered(found)
        self._call_off(found)
