"""A crowded discovery by the clock of a simulation: how late real decision modules are told by it.

Discovery works through calls one after another and turns a call away at once where too many wait. The
sidecars are the real decision module; what their discovery client does is played here: it asks, watches,
moves to another address, and gives up on answers that are lost. Times are integer microseconds.

    python -m emulator crowd --sidecars 7 --cost-ms 280 --seeds 20
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple, cast

import typer

from corkdoor.balancer import Balancer
from corkdoor.interface import Actions
from corkdoor.model import DiscoveryMode, Endpoint, Readiness, Timer, WatchEventKind
from corkdoor.model import Idempotency as RepeatEffect
from corkdoor.policy.discovery.watch_timeout import WatchTimeout
from corkdoor.settings import LifecycleRules, Limits, RequestClass, Settings
from corkdoor.sidecar.discovery.client import POLL_TIMEOUT_S, WATCH_GRACE_S

MS = 1_000
S = 1_000_000
LATENCY_US = 10 * MS  # from a sidecar to discovery, and the same back
TOLD_US = 6 * S  # a change counts as told so long after it was made
MOVED_US = 4 * S  # what a new address has counts as told so long after the reload that names it
LOST_US = 2 * S  # what a lost answer to a watch told counts so long after its wait is over
ENTRY = Endpoint("10.0.0.1:80", "a", "m", 0, Readiness.READY)  # in place of what an answer holds
GRACE_US = 1_500 * MS
ASK_EVERY_US = 10 * S


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played: the size of the fleet, what a call costs, and what befalls the calls."""

    sidecars: int
    cost_us: int
    room: int = 1  # calls that may wait behind the one that is served; more are turned away at once
    lost_share: float = 0.0  # of answers, on their way
    refusal_share: float = 0.05  # of a call's cost, that turning one away costs: measured (docs/incidents)
    moves: int = 3  # reloads of each sidecar that move discovery, in a row
    moves_within_us: int = 3 * S
    change_every_us: int = 4 * S
    length_us: int = 60 * S
    seed: int = 1

    def __post_init__(self) -> None:
        if self.sidecars < 1 or self.cost_us < 1 or self.room < 0 or not 0 <= self.lost_share < 1:
            raise ValueError(
                "a scenario needs sidecars, a cost above 0, room from 0 and a lost share below 1"
            )


class Call(NamedTuple):
    """A call as discovery has it; `serial` tells whether the sidecar still waits for it."""

    sidecar: int
    serial: int
    after: int  # generation that is known; -1: the whole list is asked for
    wait_us: int
    asked_us: int
    carried_on: bool  # it follows an answer, not a failure


@dataclass(slots=True)
class Figures:
    """What a play brought."""

    late_us: list[int] = field(default_factory=list)  # after which a sidecar knew a change, one each
    over: int = 0  # of them: later than what counts as told, and the grace
    calls: int = 0
    refused: int = 0


class Events:
    """The clock and what is due."""

    def __init__(self) -> None:
        self.now = 1_000 * S
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = 0

    def after(self, delay_us: int, act: Callable[[], None]) -> None:
        """Do it `delay_us` from now."""
        self._serial += 1
        heapq.heappush(self._heap, (self.now + delay_us, self._serial, act))

    def run(self, until_us: int) -> None:
        """Play all that is due by then."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = until_us


class CrowdedDiscovery:
    """Works through calls in turn; open watches cost nothing while they wait."""

    def __init__(self, events: Events, scenario: Scenario, answered: Callable[[Call, int], None]) -> None:
        self.events = events
        self.scenario = scenario
        self.answered = answered
        self.refused: Callable[[Call], None] = lambda call: None
        self.generation = 1
        self.figures = Figures()
        self._queue: deque[Call] = deque()
        self._refusals_us = 0  # work on refusals since the last call was begun
        self._parked: dict[tuple[int, int], Call] = {}

    def ask(self, call: Call) -> None:
        """A call has come."""
        self.figures.calls += 1
        if len(self._queue) > self.scenario.room:
            self.figures.refused += 1
            self._refusals_us += int(self.scenario.refusal_share * self.scenario.cost_us)
            self.refused(call)
            return
        self._push(call)

    def leave(self, sidecar: int, serial: int) -> None:
        """A connection was closed: an open watch ends; a call in the queue is served for nobody."""
        self._parked.pop((sidecar, serial), None)

    def change(self) -> None:
        """A new generation; those who watch are told in turn."""
        self.generation += 1
        parked, self._parked = self._parked, {}
        for call in parked.values():
            self._push(call)

    def _push(self, call: Call) -> None:
        self._queue.append(call)
        if len(self._queue) == 1:
            self._begin()

    def _begin(self) -> None:
        self._refusals_us = 0
        self.events.after(self.scenario.cost_us, self._serve)

    def _serve(self) -> None:
        if self._refusals_us:  # they came in between, and are done first
            spent_us, self._refusals_us = self._refusals_us, 0
            self.events.after(spent_us, self._serve)
            return
        call = self._queue.popleft()
        if self._queue:
            self._begin()
        if call.after < self.generation:
            self.answered(call, self.generation)
            return
        self._parked[call.sidecar, call.serial] = call
        self.events.after(call.wait_us, lambda: self._over(call))

    def _over(self, call: Call) -> None:
        if self._parked.pop((call.sidecar, call.serial), None) is not None:
            self.answered(call, self.generation)


class Client:
    """One sidecar: the real decision module, and the discovery client round it."""

    def __init__(self, number: int, fleet: Fleet) -> None:
        self.number = number
        self.fleet = fleet
        self.generation = 1
        self.told: list[tuple[int, int]] = []  # when, and up to which generation
        self.moved_us = 0  # when the last reload moved discovery
        self.moved = False
        self.lost_waits: list[tuple[int, int]] = []  # of watches whose answer was lost: begin and end
        self._carried_on = False  # the next call follows an answer
        self._watch_timeout = WatchTimeout()
        self._serial = 0
        self._watching = False
        seed = fleet.scenario.seed * 10_000 + number
        self.balancer = Balancer(fleet.settings, seed, cast(Actions, self))

    def start(self) -> None:
        """As at the start of the process."""
        self.balancer.start(self.fleet.events.now)
        self.balancer.on_watch_event(self.fleet.events.now, WatchEventKind.CACHED, [])

    def move(self) -> None:
        """A reload names another address of the same discovery."""
        self.watch_discovery(False)
        self.moved, self.moved_us = True, self.fleet.events.now
        self.balancer.on_discovery_address_changed(self.fleet.events.now)

    # --- the module's actions ---

    def watch_discovery(self, enabled: bool) -> None:
        """Ask, or hang up."""
        if enabled and not self._watching:
            self._watching = True
            self._ask()
        elif not enabled and self._watching:
            self._carried_on = self._watching = False
            self._watch_timeout.on_interruption(self.fleet.events.now)
            self._hang_up()

    def start_timer(self, delay_us: int, timer: Timer) -> None:
        """The module's timers for asking; it sets no others here."""
        if timer is Timer.DISCOVERY_POLL:
            self.fleet.events.after(
                delay_us, lambda: self.balancer.on_timer(self.fleet.events.now, Timer.DISCOVERY_POLL)
            )

    # --- its calls ---

    def _hang_up(self) -> None:
        discovery, number, serial = self.fleet.discovery, self.number, self._serial
        self.fleet.events.after(LATENCY_US, lambda: discovery.leave(number, serial))
        self._serial += 1

    def _ask(self) -> None:
        events = self.fleet.events
        self._serial += 1
        wait_us = self._watch_timeout.draw_ms(self.fleet.random.random()) * MS
        patience_us = int(POLL_TIMEOUT_S * S) if self.moved else wait_us + int(WATCH_GRACE_S * S)
        after = -1 if self.moved else self.generation
        call = Call(self.number, self._serial, after, wait_us, events.now, self._carried_on)
        events.after(LATENCY_US, lambda: self.fleet.discovery.ask(call))
        events.after(patience_us, lambda: self._give_up(call))

    def answered(self, call: Call, generation: int) -> None:
        """An answer has come."""
        if call.serial != self._serial:
            return
        self._serial += 1
        now = self.fleet.events.now
        form = WatchEventKind.FULL if self.moved else WatchEventKind.DELTA
        self.moved, self.generation = False, generation
        self._watch_timeout.on_answer()
        self._carried_on = True
        self.told.append((now, generation))
        self.balancer.on_watch_event(now, form, [ENTRY] if call.after < generation else [])
        if self._watching:
            self._ask()

    def refused(self, call: Call) -> None:
        """The call was turned away."""
        if call.serial == self._serial:
            self._fail(WatchEventKind.REJECTED)

    def _give_up(self, call: Call) -> None:
        if call.serial == self._serial:
            self._hang_up()
            self._fail(WatchEventKind.LOST)

    def _fail(self, form: WatchEventKind) -> None:
        self._serial += 1
        self._watch_timeout.on_failure(self.fleet.events.now, form)
        self._carried_on = self._watching = False
        self.balancer.on_watch_event(self.fleet.events.now, form, [])


class Fleet:
    """All sidecars of a scenario, and their discovery."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.events = Events()
        self.settings = Settings(
            classes=[RequestClass("read", 1 * S, 3 * S, RepeatEffect.IDEMPOTENT)],
            limits=Limits(max_attempts=3),
            lifecycle=LifecycleRules(drain_grace_us=GRACE_US, poll_interval_us=ASK_EVERY_US),
            discovery_mode=DiscoveryMode.POLL,
        )
        self.discovery = CrowdedDiscovery(self.events, scenario, self._answer)
        self.discovery.refused = self._refuse
        self.changes: list[int] = []  # when each generation from the second on was made
        self.clients = [Client(number, self) for number in range(scenario.sidecars)]

    def play(self) -> Figures:
        """Play all of it."""
        begun, scenario = self.events.now, self.scenario
        for client in self.clients:
            self.events.after(self.random.randrange(5 * S), client.start)
        for client in self.clients:
            for _ in range(scenario.moves):
                self.events.after(20 * S + self.random.randrange(scenario.moves_within_us), client.move)
        at_us = 18 * S
        while at_us < scenario.length_us - 10 * S:
            self.events.after(at_us, self._change)
            at_us += int(scenario.change_every_us * self.random.uniform(0.5, 1.5))
        self.events.run(begun + scenario.length_us)
        return self._figures()

    def _change(self) -> None:
        self.changes.append(self.events.now)
        self.discovery.change()

    def _answer(self, call: Call, generation: int) -> None:
        if self.random.random() < self.scenario.lost_share:
            if call.carried_on and call.after >= 0:
                self.clients[call.sidecar].lost_waits.append((call.asked_us, call.asked_us + call.wait_us))
        else:
            self.events.after(LATENCY_US, lambda: self.clients[call.sidecar].answered(call, generation))

    def _refuse(self, call: Call) -> None:
        self.events.after(LATENCY_US, lambda: self.clients[call.sidecar].refused(call))

    def _figures(self) -> Figures:
        figures = self.discovery.figures
        for client in self.clients:
            for made, known in self._known(client):
                due = made + TOLD_US
                if made <= client.moved_us < due:
                    due = max(due, client.moved_us + MOVED_US)
                for asked, over in client.lost_waits:
                    if asked <= known and made <= over:
                        due = max(due, over + LOST_US)
                figures.late_us.append(known - made)
                figures.over += known > due + GRACE_US
        return figures

    def _known(self, client: Client) -> Iterator[tuple[int, int]]:
        """When each change was made, and when the sidecar knew it."""
        for generation, made in enumerate(self.changes, 2):
            known = (at for at, told in client.told if told >= generation)
            yield made, next(known, self.events.now)


app = typer.Typer(add_completion=False)


@app.callback(invoke_without_command=True)
def crowd(
    sidecars: Annotated[int, typer.Option(help="of all tiers: discovery is one service")] = 7,
    cost_ms: Annotated[float, typer.Option(help="what a call costs discovery")] = 280.0,
    room: Annotated[int, typer.Option(help="calls that may wait")] = 1,
    lost: Annotated[float, typer.Option(help="share of answers that are lost")] = 0.0,
    seeds: Annotated[int, typer.Option(help="how many, from 1 on")] = 20,
) -> None:
    """Moves and changes at a crowded discovery: how late sidecars know them, by the simulation's clock."""
    late: list[int] = []
    over = broken = calls = refused = 0
    for seed in range(1, seeds + 1):
        figures = Fleet(Scenario(sidecars, int(cost_ms * MS), room, lost, seed=seed)).play()
        late += figures.late_us
        over += figures.over
        broken += figures.over > 0
        calls += figures.calls
        refused += figures.refused
    late.sort()
    played = f"{sidecars} sidecars, {cost_ms:g} ms a call, room {room}, {lost:.0%} lost"
    found = f"{broken} of {seeds} seeds late, {over} of {len(late)} changes"
    times = f"longest {late[-1] / S:.1f} s, 99th {late[int(0.99 * len(late))] / S:.1f} s"
    print(f"{played}: {found}; {times}; {calls} calls, {refused} refused")
