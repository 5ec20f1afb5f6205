"""Simulate a fleet under load, with the load tables of real entries.

Engines admit runs in order of arrival, and a run holds a slot until it ends. Entries see their own
requests at once and those of other entries through hints. The simulation takes no decisions of its
own: placement, preemption and the slots for batch items are those of `LoadTable`.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from carobspool_core.direct import (
    BatchUrgency,
    Load,
    LoadSendLimiter,
    PeerBacklog,
    Upstream,
    WaitingGroup,
    group_by_start_order,
    group_of_entry,
    start_order_of,
    upstreams_of_group,
    urgency_of,
)
from carobspool_node.direct._loads import BatchRun, LoadTable, Placement

ANNOUNCEMENT_INTERVAL = 500.0
HINT_DELAY = 3.0
CANCEL_TIME = 10.0
"""Time from a cancellation to the free slot: a round trip and an engine step."""
RESUME_TIME = 60.0
"""Extra time of a resumed item, to process its prompt and the text so far again."""
FIRST_EVENT_DELAY = 45.0
"""Time from the start of a run to its first event."""
DRAIN_TIME = 60_000.0
"""Time for which items may still run after the last arrival."""
EVENT_INTERVAL = 100.0
"""Time between two rounds of events from running requests. Entries regard an upstream that sends
nothing for 600 ms as hung."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """Size, load and duration of a simulated fleet.

    Attributes:
        entries: Number of entries.
        engines: Number of engines.
        slots: Concurrent runs at each engine.
        calm_rate: Online requests a second between bursts.
        burst_rate: Online requests a second in bursts.
        stream: Mean duration of a stream in milliseconds.
        jobs_rate: Batch jobs of ten items a second.
        item: Duration of an item in milliseconds.
        due: Time from the submission of a job to when it is due, in milliseconds.
        retention: Time from the submission after which an item may be given up, in milliseconds.
        failing_engines: Engines that fail a share of their online requests at once.
        failing_share: Share of their online requests that these engines fail.
        report_failures: Whether hints report failures.
        jobs_at_once: Jobs that arrive together after a fifth of the simulated time.
        length: Simulated time in milliseconds.
        target: Time to the first event within which a stream is on time.
        groups: Groups of entries, each with its own share of the engines.
        hint_delay: Time from a hint's sending to its arrival.
    """

    entries: int
    engines: int
    slots: int
    calm_rate: float
    burst_rate: float
    stream: float = 760.0
    jobs_rate: float = 1.0
    item: float = 4_900.0
    due: float = 18_000.0
    retention: float = 60_000.0
    failing_engines: int = 0
    failing_share: float = 0.5
    report_failures: bool = True
    jobs_at_once: int = 0
    length: float = 34_000.0
    target: float = 300.0
    groups: int = 1
    hint_delay: float = HINT_DELAY


@dataclass(slots=True)
class FleetReport:
    """Results of a simulation.

    Attributes:
        first_events: Time to the first event of each online request, in milliseconds.
        refused: Online requests that found no slot.
        failed: Online requests that a failing engine failed.
        items: Times from a job's submission to the end of each of its items, in milliseconds.
        interruptions: Batch runs that were preempted.
        submitted: Items submitted.
        hints: Hints that the entries sent; a hint to several entries counts once.
    """

    first_events: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0
    items: list[float] = field(default_factory=list)
    interruptions: int = 0
    submitted: int = 0
    hints: int = 0

    def on_time(self, target: float) -> float:
        """Return the share of the online requests whose first event came within ``target``."""
        served = sum(each <= target for each in self.first_events)
        return served / (len(self.first_events) + self.refused)


class _Clock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


@dataclass(slots=True, eq=False)
class _Item:
    submitted: float
    left: float


@dataclass(slots=True, eq=False)
class _Run:
    """A run at an engine, of an online request or of a batch item."""

    entry: int
    engine: str
    duration: float
    batch: BatchRun | None = None
    item: _Item | None = None
    placement: Placement | None = None
    arrived: float = 0.0
    started: float | None = None
    gone: bool = False


class _Fleet:
    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan = plan
        self.clock = _Clock()
        self.draw = random.Random(seed)
        self.report = FleetReport()
        self.upstreams = [
            Upstream(
                instance=f"engine-{number}",
                service="engine",
                address=("127.0.0.1", number),
                failure_domain=f"domain-{number % 3}",
                slots=plan.slots,
                ready=True,
            )
            for number in range(plan.engines)
        ]
        self.tables = [
            LoadTable(self.clock, f"domain-{number % 3}", name=f"entry-{number}")
            for number in range(plan.entries)
        ]
        names = [f"entry-{number}" for number in range(plan.entries)]
        self.groups = [group_of_entry(name, names, plan.groups) for name in names]
        instances = [each.instance for each in self.upstreams]
        self.near = [
            upstreams_of_group(self.upstreams, instances, number, plan.groups)
            for number, _ in self.groups
        ]
        self.by_instance = {each.instance: each for each in self.upstreams}
        self.waiting: list[deque[_Item]] = [deque() for _ in self.tables]
        self.running: list[list[_Run]] = [[] for _ in self.tables]
        self.backlogs = [PeerBacklog() for _ in self.tables]
        self.paces = [LoadSendLimiter() for _ in self.tables]
        self.sent_loads: list[dict[str, Load]] = [{} for _ in self.tables]
        self.send_scheduled = [False for _ in self.tables]
        self.engines: dict[str, list[_Run]] = {each.instance: [] for each in self.upstreams}
        self.queue: dict[str, deque[_Run]] = {each.instance: deque() for each in self.upstreams}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (time, self.count, action))

    def play(self) -> FleetReport:
        for entry in range(self.plan.entries):
            first = self.draw.uniform(0.0, ANNOUNCEMENT_INTERVAL)
            self.at(first, lambda entry=entry: self.announce(entry))
        self.at(EVENT_INTERVAL, self.send_events)
        self.arrive(0.0, self.rate, self.online, self.plan.length)
        self.arrive(0.0, lambda _: self.plan.jobs_rate, self.submit, self.plan.length)
        for _ in range(self.plan.jobs_at_once):
            self.at(self.plan.length / 5.0, self.submit)
        until = self.plan.length + DRAIN_TIME
        while self.events and self.events[0][0] <= until:
            self.clock.at, _, action = heapq.heappop(self.events)
            action()
        return self.report

    def rate(self, now: float) -> float:
        return self.plan.burst_rate if now % 5_200.0 >= 3_000.0 else self.plan.calm_rate

    def arrive(
        self, now: float, rate: Callable[[float], float], act: Callable[[], None], until: float
    ) -> None:
        if now >= until:
            return

        def arrived() -> None:
            act()
            self.arrive(self.clock.at, rate, act, until)

        self.at(now + self.draw.expovariate(rate(now)) * 1_000.0, arrived)

    def online(self) -> None:
        entry = self.draw.randrange(self.plan.entries)
        placement = self.tables[entry].place_online(
            self.near[entry],
            target_latency=self.plan.target,
            is_retry=False,
            far=self.upstreams if self.plan.groups > 1 else (),
        )
        if placement is None:
            self.report.refused += 1
            return
        number = self.upstreams.index(placement.upstream)
        if number < self.plan.failing_engines and self.draw.random() < self.plan.failing_share:
            self.report.failed += 1
            self.tables[entry].record_failure(placement.upstream)
            self.tables[entry].end_online(placement, completed=False)
            return
        duration = self.plan.stream * self.draw.uniform(0.6, 1.4)
        self.begin(_Run(entry, placement.upstream.instance, duration, placement=placement))
        self.interrupt_cancelled()

    def submit(self) -> None:
        entry = self.draw.randrange(self.plan.entries)
        for _ in range(10):
            left = self.plan.item * self.draw.uniform(0.6, 1.4)
            self.waiting[entry].append(_Item(self.clock.at, left))
        self.report.submitted += 10
        self.start_items(entry)

    def start_items(self, entry: int) -> None:
        while self.waiting[entry]:
            item = min(self.waiting[entry], key=self.start_order)
            if not self.may_start(entry, item):
                return
            placed = self.tables[entry].place_batch(
                self.near[entry], urgency=self.urgency(item), due=item.submitted
            )
            if placed is None:
                return
            self.waiting[entry].remove(item)
            self.begin(_Run(entry, placed[0].instance, item.left, batch=placed[1], item=item))

    def may_start(self, entry: int, item: _Item) -> bool:
        urgency = self.urgency(item)
        free_slots = self.tables[entry].free_batch_slots(self.near[entry], urgency=urgency)
        return self.backlogs[entry].may_start(
            self.start_order(item), free_slots=free_slots, now=self.clock.at
        )

    def start_order(self, item: _Item) -> float:
        return start_order_of(
            self.urgency(item),
            age=self.clock.at - item.submitted,
            completion_target=self.plan.due,
            remaining=item.left,
        )

    def backlog(self, entry: int) -> tuple[WaitingGroup, ...]:
        return group_by_start_order(self.start_order(each) for each in self.waiting[entry])

    def urgency(self, item: _Item) -> BatchUrgency:
        return urgency_of(
            age=self.clock.at - item.submitted,
            completion_target=self.plan.due,
            retention=self.plan.retention,
            remaining=item.left,
        )

    def begin(self, run: _Run) -> None:
        run.arrived = self.clock.at
        self.running[run.entry].append(run)
        self.queue[run.engine].append(run)
        self.admit(run.engine)
        self.loads_changed(run.entry)

    def admit(self, engine: str) -> None:
        while self.queue[engine] and len(self.engines[engine]) < self.plan.slots:
            run = self.queue[engine].popleft()
            run.started = self.clock.at
            self.engines[engine].append(run)
            if run.item is None:
                waited = run.started - run.arrived
                self.report.first_events.append(waited + FIRST_EVENT_DELAY)
            self.at(self.clock.at + run.duration, lambda run=run: self.finish(run))

    def send_events(self) -> None:
        """Record activity of each engine at the entries whose requests it is running."""
        for entry, runs in enumerate(self.running):
            for run in runs:
                if run.started is not None:
                    self.tables[entry].record_activity(self.by_instance[run.engine])
        self.at(self.clock.at + EVENT_INTERVAL, self.send_events)

    def finish(self, run: _Run) -> None:
        if run.gone:
            return
        self.leave(run)
        if run.item is not None:
            self.report.items.append(self.clock.at - run.item.submitted)

    def leave(self, run: _Run) -> None:
        run.gone = True
        if run.started is None:
            self.queue[run.engine].remove(run)
        else:
            self.engines[run.engine].remove(run)
        self.running[run.entry].remove(run)
        table = self.tables[run.entry]
        upstream = self.by_instance[run.engine]
        if run.placement is not None:
            table.end_online(run.placement, completed=True)
        elif run.batch is not None:
            table.end_batch(upstream, run.batch)
        self.loads_changed(run.entry)
        self.admit(run.engine)
        self.start_items(run.entry)

    def interrupt_cancelled(self) -> None:
        for runs in self.running:
            for run in runs:
                if run.batch is not None and run.batch.cancellation.cancelled and not run.gone:
                    self.at(self.clock.at + CANCEL_TIME, lambda run=run: self.interrupt(run))

    def interrupt(self, run: _Run) -> None:
        if run.gone or run.item is None:
            return
        self.report.interruptions += 1
        if run.started is not None:
            run.item.left -= self.clock.at - run.started
            run.item.left = max(50.0, run.item.left) + RESUME_TIME
        self.waiting[run.entry].appendleft(run.item)
        self.leave(run)

    def announce(self, entry: int) -> None:
        self.hint(entry, to_all=True)
        self.at(self.clock.at + ANNOUNCEMENT_INTERVAL, lambda: self.announce(entry))

    def loads_changed(self, entry: int) -> None:
        if not self.send_scheduled[entry]:
            self.send_scheduled[entry] = True
            self.at(self.clock.at, lambda: self.send_loads(entry))

    def send_loads(self, entry: int) -> None:
        self.send_scheduled[entry] = False
        if self.tables[entry].own_loads() == self.sent_loads[entry]:
            return
        peers = len(self.groups[entry][1]) - 1
        wait = self.paces[entry].delay_before_send(self.clock.at, peers=peers)
        if wait > 0.0:
            self.send_scheduled[entry] = True
            self.at(self.clock.at + wait, lambda: self.send_loads(entry))
            return
        self.paces[entry].record_send(self.clock.at, peers=peers)
        self.hint(entry)

    def hint(self, entry: int, *, to_all: bool = False) -> None:
        group = self.groups[entry][1]
        loads = self.tables[entry].own_loads()
        self.sent_loads[entry] = loads
        self.report.hints += 1
        failures = self.tables[entry].own_failures() if self.plan.report_failures else {}
        backlog = self.backlog(entry)

        def arrive() -> None:
            for other, table in enumerate(self.tables):
                if other != entry and (to_all or f"entry-{other}" in group):
                    self.backlogs[other].update_peer(f"entry-{entry}", backlog, self.clock.at)
                    table.apply_hint(f"entry-{entry}", loads, self.upstreams, failures)
            self.interrupt_cancelled()
            for other in range(self.plan.entries):
                self.start_items(other)

        self.at(self.clock.at + self.plan.hint_delay, arrive)


def simulate_fleet(plan: FleetPlan, seed: int = 1) -> FleetReport:
    """Simulate a plan; the same seed gives the same arrivals."""
    return _Fleet(plan, seed).play()
