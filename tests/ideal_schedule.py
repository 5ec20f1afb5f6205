"""Upper reference for batch items in time: one queue, all durations known, no hints.

The load is that of `fleet_load`, served by a scheduler that treats all slots as one pool and acts
without delay. Streams have priority and never wait. Items take the remaining slots in the order in
which they are due; items that can no longer be in time come last. A preempted item pays for its
resumption. Tests express what entries achieve with hints and reserves as a fraction of this result.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from fleet_load import RESUME_TIME, FleetPlan

BURST_PERIOD_MS = 5_200.0
BURST_START_MS = 3_000.0
"""Time within each period at which the burst begins."""
ITEMS_PER_JOB = 10
MIN_DURATION, MAX_DURATION = 0.6, 1.4
"""Bounds of durations as multiples of their mean."""


@dataclass(slots=True, eq=False)
class _Item:
    submitted_at: float
    remaining: float


@dataclass(slots=True)
class _Pool:
    """All slots as one pool.

    Attributes:
        plan: The load and the sizes.
        streams: When each running stream ends.
        items: Items that run or wait.
        running: The items that run.
        in_time: Number of items that finished in time.
    """

    plan: FleetPlan
    streams: list[float]
    items: list[_Item]
    running: list[_Item]
    in_time: int = 0

    def advance(self, start: float, end: float) -> None:
        """Run streams and items from ``start`` until ``end``, the next arrival."""
        now = start
        while now < end:
            self._assign(now)
            next_event = min(
                [end, *self.streams, *(now + item.remaining for item in self.running)], default=end
            )
            for item in self.running:
                item.remaining -= next_event - now
            now = next_event
            self.streams = [each for each in self.streams if each > now]
            self._finish(now)

    def _assign(self, now: float) -> None:
        free_slots = max(0, self.plan.engines * self.plan.slots - len(self.streams))
        order = sorted(self.items, key=lambda item: self._rank(item, now))
        chosen = order[:free_slots]
        for item in self.running:
            if item not in chosen:
                item.remaining += RESUME_TIME
        self.running = chosen

    def _rank(self, item: _Item, now: float) -> tuple[bool, float]:
        return now - item.submitted_at + item.remaining > self.plan.due, item.submitted_at

    def _finish(self, now: float) -> None:
        done = [item for item in self.running if item.remaining <= 1e-6]
        self.in_time += sum(now - item.submitted_at <= self.plan.due for item in done)
        self.running = [item for item in self.running if item not in done]
        self.items = [item for item in self.items if item not in done]


def ideal_fraction_in_time(plan: FleetPlan, seed: int) -> float:
    """Return the fraction of the items of a random load that this schedule finishes in time."""
    draw = random.Random(seed)

    def duration(mean: float) -> float:
        return mean * draw.uniform(MIN_DURATION, MAX_DURATION)

    pool = _Pool(plan, [], [], [])
    streams = _arrivals(draw, lambda now: _rate(plan, now), plan.length)
    jobs = _arrivals(draw, lambda _: plan.jobs_rate, plan.length)
    jobs += [plan.length / 5.0] * plan.jobs_at_once
    arrivals = sorted([(each, True) for each in streams] + [(each, False) for each in jobs])
    now = 0.0
    for at, is_stream in arrivals:
        pool.advance(now, at)
        now = at
        if is_stream:
            pool.streams.append(now + duration(plan.stream))
            continue
        pool.items += [_Item(now, duration(plan.item)) for _ in range(ITEMS_PER_JOB)]
    pool.advance(now, now + plan.retention)
    return pool.in_time / (len(jobs) * ITEMS_PER_JOB)


def max_fraction_in_time(plan: FleetPlan) -> float:
    """Return an upper bound, over all schedules, of the fraction of items in time.

    All slots are assumed busy whenever it helps. Durations count with their means, and preemption
    costs nothing.
    """
    slots = plan.engines * plan.slots
    per_period = plan.calm_rate * BURST_START_MS + plan.burst_rate * (
        BURST_PERIOD_MS - BURST_START_MS
    )
    streams = per_period / BURST_PERIOD_MS * plan.length / 1_000.0 * plan.stream
    item_time = slots * (plan.length + plan.due) - streams
    items = plan.jobs_rate * plan.length / 1_000.0 * ITEMS_PER_JOB
    return min(1.0, item_time / plan.item / items)


def _rate(plan: FleetPlan, now: float) -> float:
    return plan.burst_rate if now % BURST_PERIOD_MS >= BURST_START_MS else plan.calm_rate


def _arrivals(draw: random.Random, rate: Callable[[float], float], until: float) -> list[float]:
    arrivals = []
    now = 0.0
    while True:
        now += draw.expovariate(rate(now)) * 1_000.0
        if now >= until:
            return arrivals
        arrivals.append(now)
