"""Other settings in force while an instance runs: what they change at once, and what is carried over."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as checked
from hypothesis import strategies as st

from corkdoor.balancer import Balancer
from corkdoor.model import DiscoveryMode, Endpoint, Idempotency, Outcome, Readiness, WatchEventKind
from corkdoor.policy.concurrency_limit import START_PER_ENDPOINT
from corkdoor.policy.endpoint_state import EndpointState
from corkdoor.settings import LifecycleRules, Limits, RequestClass, Settings, Tenant
from tests.support import KEYED, MS, SAFE, UNSAFE, Host, S, endpoints, settings

CHEAP = replace(SAFE, name="idle", priority_weight=0.2)
WEST = replace(SAFE, name="west", allowed_zones=frozenset({"west"}))


def reconfigure(host: Host, **changes: Any) -> None:
    host.balancer.reconfigure(host.now, settings(**changes))


def held_call(host: Host, class_name: str) -> str:
    """Fill the room until a call of this class is held."""
    for _ in range(500):
        call = host.submit(class_name)
        if not host.sends(call) and not host.answers(call):
            return call
    raise AssertionError("nothing is held")


def test_calls_of_a_class_that_is_gone_end_as_it_says() -> None:
    host = Host(entries=endpoints(4))
    is_out = host.submit("pay")
    held = held_call(host, "pay")
    reconfigure(host, classes=(SAFE, KEYED))
    assert not host.answers(is_out) and not host.answers(held)
    host.end_attempt(is_out, Outcome.ERROR)
    assert host.answers(is_out) == ["fail_request"]  # at most once: no second attempt, and no promise
    assert len(host.sends(is_out)) == 1
    host.answer_all()
    assert len(host.sends(held)) == 1
    host.end_attempt(held, Outcome.OK)
    assert held not in host.balancer.requests
    with pytest.raises(KeyError):
        host.submit("pay")


def test_held_call_of_a_class_that_is_gone_is_answered_in_time() -> None:
    host = Host(entries=endpoints(4))
    held = held_call(host, "pay")
    reconfigure(host, classes=(SAFE,))
    host.advance(3 * S)
    assert host.answers(held) == ["reject_request"]


def test_a_class_that_is_added_is_served_in_its_own_zone_only() -> None:
    host = Host(entries=endpoints(3) + endpoints(3, zone="west", start=3))
    reconfigure(host, classes=(SAFE, WEST))
    west = {e.id for e in endpoints(3, zone="west", start=3)}
    for _ in range(4):
        assert host.sends(host.submit("west"))[0][2] in west


def test_effect_of_a_class_changes_for_later_calls_only() -> None:
    host = Host(entries=endpoints(4))
    before = host.submit("pay")
    reconfigure(host, classes=(SAFE, KEYED, replace(UNSAFE, idempotency=Idempotency.IDEMPOTENT)))
    after = host.submit("pay")
    host.end_attempt(before, Outcome.RESET)
    host.end_attempt(after, Outcome.RESET)
    assert (len(host.sends(before)), host.answers(before)) == (1, ["fail_request"])
    assert (len(host.sends(after)), host.answers(after)) == (2, [])


def test_held_calls_are_lined_up_by_the_new_worths() -> None:
    host = Host(settings(classes=(SAFE, KEYED, UNSAFE, replace(CHEAP, priority_weight=0.9))), endpoints(4))
    held = held_call(host, "idle")
    host.advance(MS)
    dear = held_call(host, "look")
    room = host.submit("look")  # behind both
    reconfigure(
        host,
        classes=(replace(SAFE, priority_weight=0.5), CHEAP, replace(CHEAP, name="new", priority_weight=0.1)),
    )
    assert host.balancer.queue.count == 3
    sent: list[str] = []
    while len(sent) < 3:
        host.end_attempt(next(c for c in host.sent if c in host.balancer.requests), Outcome.OK)
        sent = [c for c in (d[1] for d in host.sends()) if c in (held, dear, room)]
    assert sent == [dear, room, held]


def test_a_constraint_that_only_open_calls_have_follows_the_list_until_they_end() -> None:
    """A held call must neither leave its zone nor go to what has left meanwhile."""
    west = endpoints(2, zone="west", start=4)
    host = Host(settings(classes=(SAFE, WEST)), endpoints(4) + west)
    held = [held_call(host, "west") for _ in range(8)]
    reconfigure(host, classes=(SAFE,))
    gone, stays = west
    host.balancer.on_watch_event(host.now, WatchEventKind.DELTA, [gone._replace(readiness=Readiness.REMOVED)])
    while host.balancer.requests:
        host.answer_all()
    assert {d[2] for call in held for d in host.sends(call)} == {stays.id}
    assert all(host.sends(call) for call in held)
    assert len(host.balancer.placements) == 1


def test_caps_go_with_the_part_of_the_endpoints() -> None:
    host = Host(entries=endpoints(8))
    limit = host.balancer.placements[0].local.limit
    limit.limit, limit.in_flight, limit.median, limit.unloaded_median = 60.0, 3, 0.2, 0.1
    reconfigure(host, instance_count=8)
    assert host.balancer.placements[0].local.limit is limit
    assert (limit.limit, limit.in_flight, limit.median, limit.unloaded_median) == (30.0, 3, 0.2, 0.1)


def learned_state(balancer: Balancer) -> list[object]:
    """What an instance has learned, down to the objects that a reset would replace."""
    return [
        balancer.endpoints,
        balancer.rules.ratio,
        balancer.rules.ratio._long,
        balancer.rules.service_times,
        balancer.rules.service_times.newer,
        balancer.rules.retry_budget,
        balancer.rules.idle_connections.unanswered_shares,
        balancer.rules.admission.usual_timeouts["look"],
        balancer.rules.ejection.ejected,
        balancer._random,
    ]


def test_endpoints_connections_and_budgets_are_known_as_before() -> None:
    host = Host(entries=endpoints(6))
    for _ in range(4):
        host.end_attempt(host.submit("pay"), Outcome.ERROR)
    balancer = host.balancer
    kept = learned_state(balancer)
    failing = {e.id: e.failure_rate for e in balancer.endpoints.values()}
    assert any(failing.values())
    limits = Limits(max_attempts=2, idle_connection_us=3 * S)
    reconfigure(host, classes=(SAFE, replace(KEYED, priority_weight=0.4), UNSAFE), limits=limits)
    assert all(a is b for a, b in zip(kept, learned_state(balancer), strict=True))
    assert {e.id: e.failure_rate for e in balancer.endpoints.values()} == failing
    assert balancer.rules.idle_connections.closed_after_us == 3 * S


def test_halved_quota_keeps_the_tokens_that_still_fit() -> None:
    host = Host(entries=endpoints(4))
    for _ in range(5):
        host.submit(tenant="small")
    big, small = (host.balancer.rules.buckets.by_tenant[name] for name in ("big", "small"))
    full, left, heard = big.tokens_ru, small.tokens_ru, small.last_request_us
    halved = (Tenant("big", 0.6, 30.0), Tenant("small", 0.4, 20.0), Tenant("third", 0.1, 5.0))
    reconfigure(host, tenants=halved)
    assert host.balancer.rules.buckets.by_tenant["small"] is small
    assert big.tokens_ru == big.depth_ru() < full
    assert small.tokens_ru == min(left, small.depth_ru())
    assert (small.quota_per_s, small.last_request_us) == (5.0, heard)
    third = host.balancer.rules.buckets.by_tenant["third"]
    assert third.tokens_ru == third.depth_ru()


def test_call_of_a_tenant_that_is_gone_is_answered_and_its_bucket_is_not_kept() -> None:
    host = Host(entries=endpoints(4))
    call = host.submit(tenant="small")
    reconfigure(host, tenants=(Tenant("big", 1.0, 60.0),))
    host.end_attempt(call, Outcome.OK)
    assert call not in host.balancer.requests
    assert list(host.balancer.rules.buckets.by_tenant) == ["big"]


def test_calls_that_name_no_tenant_keep_their_bucket() -> None:
    plain = Settings(classes=(SAFE,))
    host = Host(plain, endpoints(2, zone=""))
    host.submit(tenant="")
    bucket = host.balancer.rules.buckets.by_tenant[""]
    host.balancer.reconfigure(host.now, replace(plain, instance_count=2))
    assert host.balancer.rules.buckets.by_tenant[""] is bucket


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.0])
def test_aims_that_change_make_no_jam_out_of_what_was_normal(factor: float) -> None:
    """Latencies are learned as shares of the aims: halved aims make the usual ones look doubled."""
    host = Host(settings(classes=(SAFE,), instance_count=1), endpoints(4))

    def serve(rounds: int) -> None:
        for _ in range(rounds):
            for _ in range(8):
                host.submit(tenant="big")
            host.advance(120 * MS)
            host.answer_all(120 * MS)

    serve(100)
    limit = host.balancer.placements[0].local.limit
    cap = limit.limit
    assert limit.median and limit.unloaded_median
    reconfigure(
        host,
        classes=(replace(SAFE, latency_objective_us=int(SAFE.latency_objective_us * factor)),),
        instance_count=1,
    )
    serve(100)
    assert limit.limit >= cap
    assert host.balancer.rules.ratio.stress() == 0
    assert limit.unloaded_median == pytest.approx(limit.median, rel=0.2)


def test_second_copies_that_are_no_longer_allowed_are_not_sent() -> None:
    host = Host(settings(instance_count=1), endpoints(8))
    for _ in range(200):
        host.submit(tenant="big")
        host.advance(50 * MS)
        host.answer_all(50 * MS)
    slow = host.submit(tenant="big")
    assert host.balancer.rules.hedging.pending
    reconfigure(host, instance_count=1, limits=Limits(max_attempts=4, hedging_allowed=False))
    host.advance(S)
    assert len(host.sends(slow)) == 1


def test_slow_start_follows_the_new_rules_at_once() -> None:
    host = Host(entries=endpoints(4))
    host.balancer.on_watch_event(host.now, WatchEventKind.DELTA, endpoints(1, start=9, launched=host.now))
    fresh = host.balancer.endpoints[endpoints(1, start=9)[0].id]
    assert host.balancer.rules.slow_start.capacity_share(host.now + S, fresh) < 1.0
    reconfigure(host, lifecycle=LifecycleRules(slow_start_us=S))
    assert host.balancer.rules.slow_start.capacity_share(host.now + S, fresh) == 1.0


def test_another_zone_fills_the_pools_anew() -> None:
    both = endpoints(4) + endpoints(4, zone="west", start=4)
    host = Host(entries=both)
    reconfigure(host, zone="west")
    placement = host.balancer.placements[0]
    assert {e.zone for e in placement.local.subset.members} == {"west"}
    assert {e.zone for e in placement.remote.subset.members} == {"east"}


def test_questions_begin_where_lists_were_pushed_before() -> None:
    host = Host(entries=endpoints(2))
    reconfigure(host, discovery_mode=DiscoveryMode.POLL)
    assert host.did.count(("watch_discovery", True)) == 1
    host.balancer.on_watch_event(host.now, WatchEventKind.FAILED, [])
    reconfigure(host, discovery_mode=DiscoveryMode.PUSH)
    # Pushed lists count as told at once, so the question that was due is not waited for.
    assert host.did.count(("watch_discovery", True)) == 2
    host.advance(9 * S)
    assert host.did.count(("watch_discovery", True)) == 2
    reconfigure(host, discovery_mode=DiscoveryMode.POLL)
    assert host.did.count(("watch_discovery", True)) == 3


def test_another_layer_is_refused_and_changes_nothing() -> None:
    host = Host(entries=endpoints(2))
    before = host.balancer.settings
    with pytest.raises(ValueError, match="Layer"):
        reconfigure(host, layer=1, layer_count=2, classes=(SAFE,))
    assert host.balancer.settings is before
    assert host.sends(host.submit("pay"))


@pytest.mark.parametrize("started", [False, True])
def test_settings_that_come_before_the_first_list_are_in_force_with_it(started: bool) -> None:
    host = Host()
    host.balancer = Balancer(settings(), 7, host)
    if started:
        host.balancer.start(host.now)
    reconfigure(host, classes=(SAFE, WEST))
    if not started:
        host.balancer.start(host.now)
    host.balancer.on_watch_event(host.now, WatchEventKind.CACHED, endpoints(2))
    assert host.balancer.rules.placements.by_class["look"].local.limit.limit == START_PER_ENDPOINT * 2 / 4
    assert host.sends(host.submit())


@pytest.mark.parametrize("value", [float("inf"), float("nan"), 10**400])
def test_figures_that_would_fail_only_once_in_force_are_refused(value: float) -> None:
    for make in (
        lambda: replace(SAFE, priority_weight=value),
        lambda: Tenant("big", value),
        lambda: Limits(idle_connection_us=value),  # type: ignore[arg-type]
        lambda: settings(over_quota_weight=value),
    ):
        with pytest.raises(ValueError, match="too large"):
            make()


# --- any order of events ---

NAMES = ("a", "b", "c", "d")
CLASSES = st.lists(
    st.builds(
        RequestClass,
        name=st.sampled_from(NAMES),
        latency_objective_us=st.sampled_from((S // 2, S, 2 * S)),
        deadline_us=st.just(3 * S),
        idempotency=st.sampled_from(Idempotency),
        deduplication_window_us=st.just(2 * S),
        priority_weight=st.sampled_from((0.0, 0.1, 0.6, 1.0)),
        late_answer_value=st.sampled_from((0.0, 0.5)),
        allowed_zones=st.sampled_from((None, frozenset({"east"}), frozenset({"west"}))),
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda c: c.name,
)
TENANTS = st.lists(
    st.builds(
        Tenant,
        name=st.sampled_from(("big", "small", "new")),
        weight=st.sampled_from((0.1, 0.7)),
        quota_per_s=st.sampled_from((0.0, 4.0, 60.0)),
    ),
    max_size=3,
    unique_by=lambda t: t.name,
)
SETTINGS = st.builds(
    settings,
    classes=CLASSES,
    tenants=TENANTS,
    instance_count=st.sampled_from((1, 4, 9)),
    instance_index=st.integers(0, 3),
    zone=st.sampled_from(("east", "west", "")),
    discovery_mode=st.sampled_from(DiscoveryMode),
    limits=st.builds(
        Limits,
        max_attempts=st.integers(1, 4),
        hedging_allowed=st.booleans(),
        cancellation_allowed=st.booleans(),
        idle_connection_us=st.sampled_from((0, S)),
    ),
)
STEPS = st.one_of(
    st.tuples(st.just("order"), st.integers(1, 12), st.integers(0, 3)),
    st.tuples(st.just("reply"), st.integers(0, 99), st.sampled_from(Outcome)),
    st.tuples(st.just("expired"), st.integers(0, 99)),
    st.tuples(st.just("advance"), st.sampled_from((MS, 30 * MS, 300 * MS, 2 * S))),
    st.tuples(st.just("list"), st.sampled_from(WatchEventKind), st.integers(0, 255)),
    st.tuples(st.just("reconfigure"), SETTINGS),
)


class Played:
    """One instance and all that is owed and out, as its host would count it."""

    def __init__(self, chosen: Settings) -> None:
        self.ended: Counter[str] = Counter()  # final answers
        self.over: set[tuple[str, int]] = set()  # attempts that ended
        self.may_have_run: set[str] = set()
        self.grades: dict[str, RequestClass] = {}  # of all calls, as they stood on arrival
        self.called_off: set[str] = set()
        self.seen = 0
        self.host = Host(chosen, endpoints(4) + endpoints(4, zone="west", start=4))
        self.look()

    def look(self) -> None:
        """Follow what the instance did since the last time."""
        for did in self.host.did[self.seen :]:
            if did[0] in ("reject_request", "fail_request"):
                self.ended[did[1]] += 1
                once = self.grades[did[1]].idempotency is Idempotency.NOT_IDEMPOTENT
                assert did[0] == "fail_request" or not once or did[1] not in self.may_have_run
            if did[0] == "send_attempt":
                self._sent(did[1], self.host.balancer.endpoints[did[2]])
        self.seen = len(self.host.did)

    def _sent(self, call: str, to: EndpointState) -> None:
        class_name = self.grades[call]
        assert call not in self.called_off and not self.ended[call]
        assert to.ready and (class_name.allowed_zones is None or to.zone in class_name.allowed_zones)
        if class_name.idempotency is Idempotency.NOT_IDEMPOTENT:
            before = range(len(self.host.sent[call]) - 1)
            assert call not in self.may_have_run and all((call, i) in self.over for i in before)

    def out(self) -> list[tuple[str, int]]:
        sent = self.host.sent.items()
        return [(c, i) for c, places in sent for i in range(len(places)) if (c, i) not in self.over]

    def order(self, count: int, which: int) -> None:
        now = self.host.balancer.settings
        class_name = now.classes[which % len(now.classes)]
        tenant = now.tenants[which % len(now.tenants)].name if now.tenants else ""
        for _ in range(count):
            self.grades[f"{self.host.serial + 1:016x}"] = class_name
            self.host.submit(class_name.name, tenant)
            self.look()

    def reply(self, which: int, outcome: Outcome) -> None:
        out = self.out()
        if not out:
            return
        call, number = out[which % len(out)]
        closed = bool(self.ended[call]) or call in self.called_off or outcome is Outcome.OK
        if outcome is Outcome.OK and not self.ended[call] and call not in self.called_off:
            self.ended[call] += 1
        if outcome not in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            self.may_have_run.add(call)
        self.over.add((call, number))
        self.host.end_attempt(call, outcome, 50 * MS, number, closed)
        self.look()

    def expired(self, which: int) -> None:
        waiting = [c for c in self.grades if not self.ended[c] and c not in self.called_off]
        if waiting:
            call = waiting[which % len(waiting)]
            self.called_off.add(call)
            self.host.balancer.on_request_cancelled(self.host.now, call)
            self.look()

    def advance(self, by: int) -> None:
        self.host.advance(by)
        self.look()

    def list(self, form: WatchEventKind, mask: int) -> None:
        entries: list[Endpoint] = endpoints(4) + endpoints(4, zone="west", start=4)
        states = (Readiness.DRAINING, Readiness.READY)
        told = [e._replace(readiness=states[mask >> i & 1]) for i, e in enumerate(entries)]
        self.host.balancer.on_watch_event(
            self.host.now, form, told if form is not WatchEventKind.FAILED else []
        )
        self.look()

    def reconfigure(self, chosen: Settings) -> None:
        balancer = self.host.balancer
        tokens = {n: b.tokens_ru for n, b in balancer.rules.buckets.by_tenant.items()}
        places = {
            (p.allowed_zones, p.allowed_machine_types): p for p in balancer.rules.placements.by_class.values()
        }
        fair = {
            (key, i): (x.limit.fair_share, x.limit.limit)
            for key, p in places.items()
            for i, x in enumerate(p.pools)
        }
        balancer.reconfigure(self.host.now, chosen)
        for tenant in chosen.tenants:
            bucket = balancer.rules.buckets.by_tenant[tenant.name]
            if tenant.name in tokens:
                assert bucket.tokens_ru == min(tokens[tenant.name], bucket.depth_ru())
            assert bucket.depth_ru() > 0 and bucket.tokens_ru <= bucket.depth_ru()
        for placement in balancer.rules.placements.by_class.values():
            key = (placement.allowed_zones, placement.allowed_machine_types)
            assert places.get(key, placement) is placement
            for i, pool in enumerate(placement.pools):
                before, cap = fair.get((key, i), (0.0, 0.0))
                if before and cap:
                    scaled = cap * pool.limit.fair_share / before
                    assert pool.limit.limit == pytest.approx(max(scaled, pool.limit.min_limit))
        self.look()

    def finish(self) -> None:
        """All that is out ends, and all time passes."""
        while out := self.out():
            self.reply(0, Outcome.OK)
            assert len(self.out()) < len(out) + 4
        self.advance(60 * S)
        while self.out():
            self.reply(0, Outcome.OK)
        for call in self.grades:
            assert self.ended[call] == 1 or (call in self.called_off and not self.ended[call]), call
        balancer = self.host.balancer
        assert not balancer.requests and not balancer.queue.count
        assert not any(e.in_flight for e in balancer.endpoints.values())
        assert not any(pool.limit.in_flight for p in balancer.placements for pool in p.pools)
        assert len(balancer.placements) == len(
            {(c.allowed_zones, c.allowed_machine_types) for c in balancer.classes.values()}
        )


@checked(max_examples=500, deadline=None, derandomize=True)
@given(SETTINGS, st.lists(STEPS, max_size=40))
def test_any_order_of_events_ends_each_call_once(chosen: Settings, steps: list[tuple[Any, ...]]) -> None:
    played = Played(chosen)
    for name, *values in steps:
        getattr(played, name)(*values)
    played.finish()
