"""Plays online requests at entries whose hints are late and partly lost, without a network.

The decisions are those of `ServiceQueue`, `FleetLoads` and `choose_upstream`; the model adds only
arrivals, engines that serve in order of arrival, and the delivery of hints.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from carobspool_core.direct import FleetLoads, Load, Upstream, choose_upstream, short_key_of
from carobspool_core.online_queue import FleetWaiting, Handover, Handovers, further_places
from carobspool_node.online_queue._requests import QueueRefusedError, Ticket, WaitingRequest
from carobspool_node.online_queue._service_queue import ServiceQueue

SLOTS = 8
FIRST_EVENT = 45.0
HINT_INTERVAL = 12.0
"""Time between two hints of an entry: 2,000 datagrams a second to 23 peers."""
TICK = 20.0


@dataclass(frozen=True, kw_only=True)
class Plan:
    """A fleet and its load. Times are in milliseconds, rates in requests a second.

    Attributes:
        rate: Returns the arrivals a second at a time.
        organisation: Draws the organisation of a request, and its rank.
    """

    rate: Callable[[float], float]
    organisation: Callable[[Random, float], tuple[str, int]] = lambda draw, now: (
        f"o{draw.randrange(81)}",
        0,
    )
    entries: int = 24
    engines: int = 25
    run: float = 1_900.0
    length: float = 15_600.0
    hint_delay: float = 50.0
    hint_loss: float = 0.02
    target: float = 308.0
    limit: float = 5_132.0
    frozen_from: float = float("inf")
    engines_lost_at: float = float("inf")
    first_come: bool = False


@dataclass(eq=False)
class Call:
    """A request of the model, and when its first event came."""

    arrived: float
    organisation: str
    rank: int
    work: float
    first_event: float = float("inf")
    placed: float = 0.0
    refused: bool = False


@dataclass(frozen=True)
class Placed:
    """A request at its engine."""

    upstream: Upstream


@dataclass
class _Engine:
    upstream: Upstream
    speed: float
    running: int = 0
    waiting: deque[tuple[Call, _Entry]] = field(default_factory=deque)


class _Watch:
    def fileno(self) -> int | None:
        return None

    def check(self, flags: int) -> None:
        return None


class _Entry:
    def __init__(self, name: str, draw: Random) -> None:
        self.name = name
        self.loads = FleetLoads()
        self.own: Counter[str] = Counter()
        self.peers = FleetWaiting()
        self.handovers = Handovers(name)
        self.queue: ServiceQueue[Placed] = ServiceQueue(name, self.peers, self.handovers, draw)
        self.tickets: dict[int, tuple[Ticket[Placed], Call]] = {}
        self.is_hint_due = False


class Fleet:
    """One play of a plan."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.draw = Random(seed)
        self.now = 0.0
        self.calls: list[Call] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._engines = {each.upstream.identity: each for each in map(_engine, range(plan.engines))}
        self._entries = [
            _Entry(f"e{number}", Random(seed + number)) for number in range(plan.entries)
        ]

    def play(self) -> list[Call]:
        """Play all arrivals until the last request has ended."""
        self._at(0.0, self._arrive)
        self._at(self.plan.engines_lost_at, self._lose_engines)
        for entry in self._entries:
            self._at(self.draw.uniform(0.0, TICK), lambda entry=entry: self._tick(entry))
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            if self.now > self.plan.length + self.plan.limit:
                break
            act()
        return self.calls

    def _at(self, at: float, act: Callable[[], None]) -> None:
        if at < float("inf"):
            heapq.heappush(self._events, (at, next(self._numbers), act))

    def _arrive(self) -> None:
        # Thinning: candidates at the highest rate, accepted in proportion to the current one.
        top = 400.0
        self._at(self.now + self.draw.expovariate(top) * 1_000.0, self._arrive)
        if self.now > self.plan.length or self.draw.random() * top > self.plan.rate(self.now):
            return
        organisation, rank = self.plan.organisation(self.draw, self.now)
        call = Call(self.now, organisation, rank, self.plan.run * self.draw.uniform(0.6, 1.4))
        self.calls.append(call)
        entry = self.draw.choice(self._entries)
        if self._is_frozen(entry):
            call.refused = True
            return
        if self.plan.first_come:
            call.refused = self._place(entry, call, places=24) is None
            return
        self._submit(entry, call)

    def _submit(self, entry: _Entry, call: Call) -> None:
        request: WaitingRequest[Placed] = WaitingRequest(
            request_id="",
            service="engine",
            organisation=call.organisation,
            cost=1.0,
            body_bytes=0,
            arrived=self.now,
            target_latency=self.plan.target,
            deadline=self.now + self.plan.limit,
            is_retry=False,
            is_continued=False,
            may_have_run=False,
            watch=_Watch(),
            place=lambda usable: self._place(entry, call, self._places(entry), usable),
            release=lambda unused: None,
            rank=lambda: call.rank,
            refusal=lambda: None,
            refusal_by_configuration=lambda: None,
        )
        self._observe(entry)
        if entry.queue.place_at_once(request, call.rank, self.now) is not None:
            return
        ticket = Ticket(next(self._numbers), request, call.rank, self.now)
        try:
            entry.queue.add(ticket, self.now)
        except QueueRefusedError:
            call.refused = True
            return
        self._start(entry)

    def _places(self, entry: _Entry) -> int:
        return further_places(SLOTS, entry.queue.times.run)

    def _observe(self, entry: _Entry) -> None:
        entry.peers.expire(self.now)
        places = SLOTS + self._places(entry)
        free = {
            identity: places - entry.loads.totals.get(identity, Load()).online
            for identity in self._engines
        }
        free = {identity: count for identity, count in free.items() if count > 0}
        entry.queue.entries = self.plan.entries
        entry.queue.observe(free, len(self._engines) * SLOTS, self.now)

    def _start(self, entry: _Entry) -> None:
        entry.queue.end_expired(self.now)
        before = len(entry.queue.tickets)
        version = entry.handovers.version
        if entry.queue.start_next(self.now) or before or entry.handovers.version != version:
            self._schedule_hint(entry)

    def _tick(self, entry: _Entry) -> None:
        self._at(self.now + TICK, lambda: self._tick(entry))
        if self._is_frozen(entry):
            return
        version = entry.handovers.version
        entry.handovers.expire(self.now)
        if entry.handovers.version != version:
            self._schedule_hint(entry)
        self._observe(entry)
        self._start(entry)

    def _place(
        self, entry: _Entry, call: Call, places: int, usable: frozenset[str] | None = None
    ) -> Placed | None:
        upstream = choose_upstream(
            [
                each.upstream
                for identity, each in self._engines.items()
                if usable is None or identity in usable
            ],
            entry.loads.totals,
            failure_domain="z",
            queue_limit_of=lambda _: places,
            draw=self.draw,
        )
        if upstream is None:
            return None
        call.placed = self.now
        self._count(entry, upstream.identity, 1)
        self._at(self.now + 1.0, lambda: self._reach(upstream.identity, call, entry))
        return Placed(upstream)

    def _count(self, entry: _Entry, identity: str, change: int) -> None:
        entry.own[identity] += change
        entry.loads.add_own(identity, online=change)
        self._schedule_hint(entry)

    def _reach(self, identity: str, call: Call, entry: _Entry) -> None:
        engine = self._engines.get(identity)
        if engine is None:
            return
        engine.waiting.append((call, entry))
        self._run(engine)

    def _run(self, engine: _Engine) -> None:
        while engine.waiting and engine.running < SLOTS:
            call, entry = engine.waiting.popleft()
            engine.running += 1
            call.first_event = self.now + FIRST_EVENT
            entry.queue.times.add_first_event(call.first_event - call.placed)
            self._at(
                self.now + call.work / engine.speed,
                lambda call=call, entry=entry: self._end(engine, call, entry),
            )

    def _end(self, engine: _Engine, call: Call, entry: _Entry) -> None:
        engine.running -= 1
        self._run(engine)
        if engine.upstream.identity not in self._engines:
            return
        entry.queue.times.add_run(call.work / engine.speed)
        entry.queue.free.own_request_ended(engine.upstream.identity)
        self._count(entry, engine.upstream.identity, -1)
        if not self._is_frozen(entry):
            self._observe(entry)
            self._start(entry)

    def _lose_engines(self) -> None:
        for identity in list(self._engines)[::2]:
            del self._engines[identity]

    def _is_frozen(self, entry: _Entry) -> bool:
        return entry is self._entries[0] and self.now >= self.plan.frozen_from

    def _schedule_hint(self, entry: _Entry) -> None:
        if not entry.is_hint_due:
            entry.is_hint_due = True
            self._at(self.now + HINT_INTERVAL, lambda: self._send_hint(entry))

    def _send_hint(self, entry: _Entry) -> None:
        entry.is_hint_due = False
        if self._is_frozen(entry):
            return
        loads = {key: Load(count, 0) for key, count in entry.own.items() if count}
        waiting = dict(entry.queue.queue.counts())
        handed = entry.handovers.lasting(self.now)
        for peer in self._entries:
            if peer is not entry and self.draw.random() >= self.plan.hint_loss:
                self._at(
                    self.now + self.plan.hint_delay - HINT_INTERVAL / 2.0,
                    lambda peer=peer: self._receive(peer, entry.name, loads, waiting, handed),
                )

    def _receive(
        self,
        peer: _Entry,
        name: str,
        loads: dict[str, Load],
        waiting: dict[tuple[int, int], int],
        handed: list[Handover],
    ) -> None:
        if self._is_frozen(peer):
            return
        peer.peers.update(name, waiting, self.now)
        is_handed = peer.handovers.apply_handovers(name, handed, self.now)
        by_key = {short_key_of(each): load for each, load in loads.items()}
        peer.handovers.apply_loads(name, by_key, sum(waiting.values()), self.now)
        is_freed = peer.loads.update_peer(name, loads, self.now)
        if (
            peer.queue.free.has_own_slots
            if waiting
            else is_freed and peer.queue.tickets or is_handed
        ):
            self._observe(peer)
            self._start(peer)


def on_time_share(plan: Plan, calls: list[Call]) -> float:
    """Return the fraction of the requests whose first event was on time."""
    return sum(each.first_event <= each.arrived + plan.target for each in calls) / len(calls)


def ideal_share(plan: Plan, calls: list[Call]) -> float:
    """Return the fraction that one queue for all slots serves on time if it knows everything.

    It starts the request that arrived first of those that can still be on time, at the fastest free
    slot, and no other request.
    """
    free = sorted(
        ((0.0, -_engine(number).speed) for number in range(plan.engines) for _ in range(SLOTS)),
    )
    heapq.heapify(free)
    on_time = 0
    for call in calls:
        at, speed = free[0]
        start = max(at, call.arrived)
        if start + FIRST_EVENT > call.arrived + plan.target:
            continue
        heapq.heapreplace(free, (start - call.work / speed, speed))
        on_time += 1
    return on_time / len(calls)


def _engine(number: int) -> _Engine:
    upstream = Upstream(
        instance=f"i{number}",
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=SLOTS,
        ready=True,
    )
    return _Engine(upstream, 1.3 if number % 3 == 0 else 1.0)
