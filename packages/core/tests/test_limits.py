"""Tests of limits over several entries, judged by what callers are admitted."""

from __future__ import annotations

import random
from collections import Counter, deque

import pytest
from returns.pipeline import is_successful

from carobspool_core import (
    Caller,
    Grant,
    Limiter,
    Limits,
    ManualClock,
    Organisation,
    UsageReport,
    make_limiter,
)

MINUTE = 60_000
TICK = 10
HOLD_MS = 2_000
FREE = Organisation(name="hollowbrook")


def make_caller(limits: Limits, name: str = "editor") -> Caller:
    """Return a caller with these limits, of an organisation without."""
    return Caller(id=name, organisation=FREE.name, key_hashes=(), limits=limits)


class Fleet:
    """Entries that report to each other once a second; some reports are lost."""

    def __init__(self, entries: int, loss: float = 0.0) -> None:
        self.clock = ManualClock()
        self.names = [f"entry-{index}" for index in range(entries)]
        self.limiters = {name: make_limiter(self.clock, name) for name in self.names}
        self.loss = loss
        self.rng = random.Random(7)
        self.admitted: Counter[int] = Counter()
        self.peak = 0
        self.held: deque[tuple[float, Limiter, Grant]] = deque()
        for limiter in self.limiters.values():
            limiter.set_entries(self.names)

    def run(self, caller: Caller, rates: dict[str, float], minutes: int, cost: int = 100) -> None:
        """Offer so many requests a second at each entry, each held for two seconds."""
        for _ in range(minutes * MINUTE // TICK):
            self.clock.advance(TICK)
            now = self.clock.now()
            if now % 1000 == 0:
                self.exchange()
            while self.held and self.held[0][0] <= now:
                _, limiter, grant = self.held.popleft()
                limiter.release(grant, grant.cost_tokens, now)
            for name, rate in rates.items():
                if self.rng.random() < rate * TICK / 1000:
                    self.offer(name, caller, cost)

    def offer(self, name: str, caller: Caller, cost: int) -> None:
        now = self.clock.now()
        limiter = self.limiters[name]
        answer = limiter.admit(caller, FREE, cost, now)
        if is_successful(answer):
            self.held.append((now + HOLD_MS, limiter, answer.unwrap()))
            self.peak = max(self.peak, len(self.held))
            self.admitted[int(now // MINUTE)] += 1

    def exchange(self) -> None:
        now = self.clock.now()
        reports: list[UsageReport] = [
            limiter.report(now) for name, limiter in self.limiters.items() if name in self.names
        ]
        for name in self.names:
            for report in reports:
                if report.entry != name and self.rng.random() >= self.loss:
                    self.limiters[name].merge(report, now)

    def remove(self, name: str) -> None:
        """Let an entry die without a word; the host list tells the others."""
        self.names.remove(name)
        for other in self.names:
            self.limiters[other].set_entries(self.names)


SPREADS = {
    "one entry": {"entry-0": 40.0},
    "all entries": {f"entry-{index}": 10.0 for index in range(4)},
    "unevenly": {"entry-0": 30.0, "entry-3": 6.0},
}


@pytest.mark.parametrize("spread", SPREADS)
def test_hot_caller_gets_its_requests_a_minute_wherever_it_sends(spread: str) -> None:
    """A caller at four times its limit is admitted within 10% of it in each full minute."""
    fleet = Fleet(4)
    fleet.run(make_caller(Limits(requests_per_minute=600)), SPREADS[spread], minutes=4)
    for minute in (1, 2, 3):
        assert 540 <= fleet.admitted[minute] <= 660


@pytest.mark.parametrize("spread", SPREADS)
def test_hot_caller_gets_its_tokens_a_minute_wherever_it_sends(spread: str) -> None:
    """The same holds for a limit in tokens."""
    fleet = Fleet(4)
    fleet.run(make_caller(Limits(tokens_per_minute=60_000)), SPREADS[spread], minutes=4)
    for minute in (1, 2, 3):
        assert 540 <= fleet.admitted[minute] <= 660


@pytest.mark.parametrize("spread", SPREADS)
def test_requests_at_once_stay_at_their_bound(spread: str) -> None:
    """A caller held to 20 requests at once, of two seconds each, gets 10 a second and never 23."""
    fleet = Fleet(4)
    fleet.run(make_caller(Limits(concurrent=20)), SPREADS[spread], minutes=3)
    assert fleet.peak <= 22
    for minute in (1, 2):
        assert fleet.admitted[minute] >= 540


def test_caller_that_moves_to_another_entry_keeps_its_limit() -> None:
    """After a hammered entry is left for another, both minutes stay within 10% of the limit."""
    fleet = Fleet(4)
    caller = make_caller(Limits(requests_per_minute=600))
    fleet.run(caller, {"entry-0": 40.0}, minutes=2)
    fleet.run(caller, {"entry-1": 40.0}, minutes=2)
    for minute in (1, 2, 3):
        assert 540 <= fleet.admitted[minute] <= 660


@pytest.mark.parametrize("loss", [0.3, 1.0])
def test_lost_reports_never_raise_the_total(loss: float) -> None:
    """What happens: reports between entries are lost, some or all of them.

    The caller must not get its limit once for each entry. An entry that is not heard has its equal
    part set aside, so the total stays at the limit; a caller at all entries still gets it.
    """
    fleet = Fleet(4, loss=loss)
    caller = make_caller(Limits(requests_per_minute=600))
    fleet.run(caller, SPREADS["all entries"], minutes=3)
    for minute in (1, 2):
        assert 500 <= fleet.admitted[minute] <= 660


def test_share_of_a_dead_entry_goes_to_the_others() -> None:
    """What happens: the hammered entry dies and its caller goes on at another.

    The dead entry held nearly the whole limit. Once the host list drops it, its share is free and
    the caller has its limit again; no report ever said so.
    """
    fleet = Fleet(4)
    caller = make_caller(Limits(requests_per_minute=600))
    fleet.run(caller, {"entry-0": 40.0}, minutes=2)
    fleet.remove("entry-0")
    fleet.run(caller, {"entry-1": 40.0}, minutes=2)
    assert 540 <= fleet.admitted[3] <= 660


def test_refusal_tells_when_to_come_back() -> None:
    """A refused caller that waits as long as it was told is admitted."""
    clock = ManualClock()
    limiter = make_limiter(clock, "entry-0")
    caller = make_caller(Limits(requests_per_minute=30))
    answers = [limiter.admit(caller, FREE, 1, 0.0) for _ in range(10)]
    refusal = next(answer for answer in answers if not is_successful(answer)).failure()
    assert refusal.status == 429
    assert refusal.retry_after_ms is not None
    assert is_successful(limiter.admit(caller, FREE, 1, refusal.retry_after_ms))


def test_nothing_is_kept_of_idle_organisations() -> None:
    """Of 30,000 organisations that sent one request each, nothing is kept a minute later."""
    clock = ManualClock()
    limiter = make_limiter(clock, "entry-0")
    caller = make_caller(Limits())
    for index in range(30_000):
        limits = Limits(requests_per_minute=600, tokens_per_minute=60_000, concurrent=8)
        organisation = Organisation(name=f"clinic-{index}", limits=limits)
        grant = limiter.admit(caller, organisation, 100, 0.0).unwrap()
        limiter.release(grant, 80, 0.0)
    assert limiter.accounts == 30_000
    for second in range(1, 61):
        report = limiter.report(second * 1000.0)
    assert limiter.accounts == 0
    assert report.demands == {}
