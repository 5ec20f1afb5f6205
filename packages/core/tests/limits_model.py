"""A fleet of entries that share request limits, with hints that are late, lost and doubled."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from carobspool_core import Millis
from carobspool_core.organisations import Neighbour, RateLimit, RequestLimits

STEP: Millis = 5.0
LOOK: Millis = 50.0
HEARTBEAT: Millis = 500.0
ANNOUNCEMENT: Millis = 2_000.0
WINDOW: Millis = 5_000.0
OVERRUN = 0.1
SLACK = 20


@dataclass(slots=True)
class ModelEntry:
    """One entry and what it has heard."""

    name: str
    limits: RequestLimits
    incarnation: int = 0
    heard: dict[str, Millis] = field(default_factory=dict)
    untold: bool = False
    told: Millis = 0.0
    sent: dict[str, tuple[int, int]] = field(default_factory=dict)
    frozen_until: Millis = 0.0
    down_until: Millis = 0.0


class Fleet:
    """Entries, the hints between them, and what they have admitted.

    Args:
        entries: How many.
        limits: By organisation.
        seed: Of delays and losses.
        delay: Longest way of a hint.
        loss: Share of the hints that are lost.
    """

    def __init__(
        self,
        entries: int,
        limits: Mapping[str, RateLimit],
        *,
        seed: int = 1,
        delay: Millis = 20.0,
        loss: float = 0.02,
    ) -> None:
        self.now: Millis = 10_000.0
        self.random = random.Random(seed)
        self.limits = dict(limits)
        self.admitted: dict[str, list[Millis]] = defaultdict(list)
        self.refused: dict[str, int] = defaultdict(int)
        self.groups: dict[str, int] = {}
        self._delay, self._loss = delay, loss
        self._hints: list[tuple[Millis, int, str, str, int, int, dict[int, int]]] = []
        self._numbers = itertools.count()
        self._sequence = itertools.count()
        self.entries = [self._started(f"e{number}") for number in range(entries)]
        self._newest: dict[tuple[str, str], tuple[int, int]] = {}

    def _started(self, name: str, incarnation: int = 0) -> ModelEntry:
        limits = RequestLimits(self.now)
        limits.configure(self.limits, self.now)
        return ModelEntry(name, limits, incarnation=incarnation)

    def run(self, duration: Millis, arrivals: Iterable[tuple[Millis, int, str]] = ()) -> None:
        """Let time pass.

        Args:
            duration: How long.
            arrivals: Requests as time from now, number of the entry and organisation, in order.
        """
        begin = self.now
        waiting = list(arrivals)[::-1]
        while self.now < begin + duration:
            self.now += STEP
            self._deliver()
            while waiting and begin + waiting[-1][0] <= self.now:
                _, number, organisation = waiting.pop()
                self.request(number, organisation)
            self._tell()

    def request(self, number: int, organisation: str) -> bool:
        """Send a request to an entry; one that is away passes it to the next."""
        for offset in range(len(self.entries)):
            entry = self.entries[(number + offset) % len(self.entries)]
            if self._is_up(entry):
                break
        else:
            return False
        self._look(entry)
        granted = entry.limits.admit(organisation, self.now).granted
        if granted:
            self.admitted[organisation].append(self.now)
            entry.untold = True
        else:
            self.refused[organisation] += 1
        return granted

    def cut(self, groups: Mapping[int, int]) -> None:
        """Part the entries into groups that do not hear each other; empty to heal."""
        self.groups = {self.entries[number].name: group for number, group in groups.items()}

    def restart(self, number: int, down: Millis) -> None:
        """Kill an entry; it is back after some time, with nothing known."""
        old = self.entries[number]
        entry = self._started(old.name, old.incarnation + 1)
        entry.down_until = self.now + down
        self.entries[number] = entry

    def freeze(self, number: int, duration: Millis) -> None:
        """Let an entry stand still; it hears what was sent meanwhile after its first requests."""
        self.entries[number].frozen_until = self.now + duration

    def worst_window(self, organisation: str) -> int:
        """Return the most requests admitted in a sliding window."""
        times = self.admitted[organisation]
        most, first = 0, 0
        for last, time in enumerate(times):
            while time - times[first] > WINDOW:
                first += 1
            most = max(most, last - first + 1)
        return most

    def bound(self, organisation: str) -> float:
        """Return the most that a window may hold."""
        limit = self.limits[organisation]
        tokens = limit.per_second * WINDOW / 1000.0 + limit.burst
        return tokens * (1.0 + OVERRUN) + SLACK

    def _is_up(self, entry: ModelEntry) -> bool:
        return self.now >= entry.down_until and self.now >= entry.frozen_until

    def _look(self, entry: ModelEntry) -> None:
        others = [
            Neighbour(name=each.name, heard=entry.heard.get(each.name))
            for each in self.entries
            if each.name != entry.name
        ]
        entry.limits.set_entries(others, self.now)

    def _tell(self) -> None:
        for entry in self.entries:
            if not self._is_up(entry):
                continue
            if self.now % LOOK < STEP:
                self._look(entry)
            if self.now % ANNOUNCEMENT < STEP:
                self._send(entry, within=10_000.0)
            elif self.now % HEARTBEAT < STEP:
                self._send(entry, within=1_300.0)
            elif entry.untold or self._is_due_while_hot(entry):
                self._send(entry, within=200.0)

    def _is_due_while_hot(self, entry: ModelEntry) -> bool:
        limits = entry.limits
        return limits.is_hot(self.now) and self.now - entry.told >= limits.hot_heartbeat

    def _send(self, entry: ModelEntry, *, within: Millis) -> None:
        entry.untold = False
        entry.told = self.now
        counts = entry.limits.counts(self.now, within=within)
        sequence = next(self._sequence)
        for other in self.entries:
            if other is entry or self._is_cut(entry, other):
                continue
            for _ in range(2 if self.random.random() < self._loss else 1):
                if self.random.random() < self._loss:
                    continue
                at = self.now + 1.0 + self.random.random() * self._delay
                hint = (entry.name, other.name, entry.incarnation, sequence, counts)
                heapq.heappush(self._hints, (at, next(self._numbers), *hint))

    def _is_cut(self, one: ModelEntry, other: ModelEntry) -> bool:
        return self.groups.get(one.name, 0) != self.groups.get(other.name, 0)

    def _deliver(self) -> None:
        by_name = {each.name: each for each in self.entries}
        held = []
        while self._hints and self._hints[0][0] <= self.now:
            hint = heapq.heappop(self._hints)
            _, _, sender, receiver, incarnation, sequence, counts = hint
            entry = by_name[receiver]
            if self.now < entry.down_until:
                continue
            if not self._is_up(entry):
                held.append(hint)
                continue
            newest = entry.sent.get(sender, (-1, -1))
            if (incarnation, sequence) <= newest:
                continue
            entry.sent[sender] = (incarnation, sequence)
            entry.heard[sender] = self.now
            entry.limits.receive(sender, str(incarnation), counts, self.now)
        for hint in held:
            heapq.heappush(self._hints, (self.now + STEP, *hint[1:]))


def poisson(
    seed: int, rate: float, duration: Millis, entries: Iterable[int], organisation: str
) -> list[tuple[Millis, int, str]]:
    """Return arrivals at random times and entries."""
    drawn = random.Random(seed)
    numbers = list(entries)
    found = []
    time = drawn.expovariate(rate) * 1000.0
    while time < duration:
        found.append((time, drawn.choice(numbers), organisation))
        time += drawn.expovariate(rate) * 1000.0
    return found
