"""The most items that can be in time: one queue, every arrival and duration known, no hints.

The same load as `fleet_load` plays, served by a scheduler that sees all slots as one pool and acts
at once. Streams go first and never wait; items take the rest in the order in which they are due,
those that cannot be in time any more last. An item that gives way pays for its resumption. What
entries reach with hints and reserves reads as a share of this.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from fleet_load import RESUME_TIME, FleetPlan

BURST_PERIOD = 5_200.0
BURST_FROM = 3_000.0
ITEMS_OF_A_JOB = 10
SHORTEST, LONGEST = 0.6, 1.4
"""Bounds of durations against their mean."""


@dataclass(slots=True, eq=False)
class _Item:
    submitted: float
    left: float


@dataclass(slots=True)
class _Pool:
    """All slots together: streams by when they end, and items that run or wait."""

    plan: FleetPlan
    streams: list[float]
    items: list[_Item]
    running: list[_Item]
    in_time: int = 0

    def advance(self, start: float, end: float) -> None:
        """Let what runs go on from one instant to the next arrival."""
        now = start
        while now < end:
            self._assign(now)
            following = min(
                [end, *self.streams, *(now + item.left for item in self.running)], default=end
            )
            for item in self.running:
                item.left -= following - now
            now = following
            self.streams = [each for each in self.streams if each > now]
            self._finish(now)

    def _assign(self, now: float) -> None:
        places = max(0, self.plan.engines * self.plan.slots - len(self.streams))
        order = sorted(self.items, key=lambda item: self._rank(item, now))
        chosen = order[:places]
        for item in self.running:
            if item not in chosen:
                item.left += RESUME_TIME
        self.running = chosen

    def _rank(self, item: _Item, now: float) -> tuple[bool, float]:
        return now - item.submitted + item.left > self.plan.due, item.submitted

    def _finish(self, now: float) -> None:
        done = [item for item in self.running if item.left <= 1e-6]
        self.in_time += sum(now - item.submitted <= self.plan.due for item in done)
        self.running = [item for item in self.running if item not in done]
        self.items = [item for item in self.items if item not in done]


def share_in_time(plan: FleetPlan, seed: int) -> float:
    """Return the share of the items of a drawn load that can be in time."""
    draw = random.Random(seed)

    def duration(mean: float) -> float:
        return mean * draw.uniform(SHORTEST, LONGEST)

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
        pool.items += [_Item(now, duration(plan.item)) for _ in range(ITEMS_OF_A_JOB)]
    pool.advance(now, now + plan.retention)
    return pool.in_time / (len(jobs) * ITEMS_OF_A_JOB)


def most_in_time(plan: FleetPlan) -> float:
    """Return a share of the items that no schedule exceeds: all slots busy whenever it helps.

    Durations count with their means, and giving way costs nothing.
    """
    slots = plan.engines * plan.slots
    per_period = plan.calm_rate * BURST_FROM + plan.burst_rate * (BURST_PERIOD - BURST_FROM)
    streams = per_period / BURST_PERIOD * plan.length / 1_000.0 * plan.stream
    room = slots * (plan.length + plan.due) - streams
    items = plan.jobs_rate * plan.length / 1_000.0 * ITEMS_OF_A_JOB
    return min(1.0, room / plan.item / items)


def _rate(plan: FleetPlan, now: float) -> float:
    return plan.burst_rate if now % BURST_PERIOD >= BURST_FROM else plan.calm_rate


def _arrivals(draw: random.Random, rate: Callable[[float], float], until: float) -> list[float]:
    found = []
    now = 0.0
    while True:
        now += draw.expovariate(rate(now)) * 1_000.0
        if now >= until:
            return found
        found.append(now)
