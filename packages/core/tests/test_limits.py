"""Tests of limits enforced by several entries, by the number of admitted requests."""

from __future__ import annotations

import random
from collections import Counter, deque

import pytest
from returns.pipeline import is_successful

from carobspool_core import (
    Caller,
    DemandReport,
    Grant,
    Limiter,
    Limits,
    ManualClock,
    Organisation,
    make_limiter,
)

MINUTE = 60_000
TICK = 10
HOLD_MS = 2_000
UNLIMITED = Organisation(name="hollowbrook")


def make_caller(limits: Limits, name: str = "editor") -> Caller:
    """Return a caller with ``limits``, in an organisation without limits."""
    return Caller(id=name, organisation=UNLIMITED.name, key_hashes=(), limits=limits)


class Fleet:
    """Entries that exchange reports once a second, with a given rate of lost reports."""

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
            limiter.set_live_entries(self.names)

    def run(self, caller: Caller, rates: dict[str, float], minutes: int, cost: int = 100) -> None:
        """Offer requests at the given rate per second and entry; each runs for two seconds."""
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
        answer = limiter.admit(caller, UNLIMITED, cost, now)
        if is_successful(answer):
            self.held.append((now + HOLD_MS, limiter, answer.unwrap()))
            self.peak = max(self.peak, len(self.held))
            self.admitted[int(now // MINUTE)] += 1

    def exchange(self) -> None:
        now = self.clock.now()
        reports: list[DemandReport] = [
            limiter.measure_demand(now)
            for name, limiter in self.limiters.items()
            if name in self.names
        ]
        for name in self.names:
            for report in reports:
                if report.entry != name and self.rng.random() >= self.loss:
                    self.limiters[name].apply_report(report, now)

    def remove(self, name: str) -> None:
        """Remove an entry that fails without notice; the others learn it from the host list."""
        self.names.remove(name)
        for other in self.names:
            self.limiters[other].set_live_entries(self.names)


SPREADS = {
    "one entry": {"entry-0": 40.0},
    "all entries": {f"entry-{index}": 10.0 for index in range(4)},
    "unevenly": {"entry-0": 30.0, "entry-3": 6.0},
}


@pytest.mark.parametrize("spread", SPREADS)
def test_requests_per_minute_are_enforced_for_any_spread_over_entries(spread: str) -> None:
    """Of a caller at four times its limit, the limit is admitted each full minute, within 10%."""
    fleet = Fleet(4)
    fleet.run(make_caller(Limits(requests_per_minute=600)), SPREADS[spread], minutes=4)
    for minute in (1, 2, 3):
        assert 540 <= fleet.admitted[minute] <= 660


@pytest.mark.parametrize("spread", SPREADS)
def test_tokens_per_minute_are_enforced_for_any_spread_over_entries(spread: str) -> None:
    """A token limit is enforced within 10% in each full minute."""
    fleet = Fleet(4)
    fleet.run(make_caller(Limits(tokens_per_minute=60_000)), SPREADS[spread], minutes=4)
    for minute in (1, 2, 3):
        assert 540 <= fleet.admitted[minute] <= 660


@pytest.mark.parametrize("spread", SPREADS)
def test_concurrent_requests_are_bounded_for_any_spread_over_entries(spread: str) -> None:
    """With a limit of 20, requests of two seconds run at 10 per second and never 23 at a time."""
    fleet = Fleet(4)
    fleet.run(make_caller(Limits(concurrent=20)), SPREADS[spread], minutes=3)
    assert fleet.peak <= 22
    for minute in (1, 2):
        assert fleet.admitted[minute] >= 540


def test_caller_that_switches_entries_keeps_its_limit() -> None:
    """Before and after a caller switches entries, each minute stays within 10% of its limit."""
    fleet = Fleet(4)
    caller = make_caller(Limits(requests_per_minute=600))
    fleet.run(caller, {"entry-0": 40.0}, minutes=2)
    fleet.run(caller, {"entry-1": 40.0}, minutes=2)
    for minute in (1, 2, 3):
        assert 540 <= fleet.admitted[minute] <= 660


@pytest.mark.parametrize("loss", [0.3, 1.0])
def test_lost_reports_never_raise_the_total(loss: float) -> None:
    """Some or all reports between the entries are lost.

    The caller must not get its limit once per entry. For each entry without a valid report an equal
    share is set aside, so the total stays at the limit, and a caller at all entries reaches it.
    """
    fleet = Fleet(4, loss=loss)
    caller = make_caller(Limits(requests_per_minute=600))
    fleet.run(caller, SPREADS["all entries"], minutes=3)
    for minute in (1, 2):
        assert 500 <= fleet.admitted[minute] <= 660


def test_share_of_a_failed_entry_goes_to_the_others() -> None:
    """An entry with nearly the whole share of a limit fails, and its caller switches to another.

    No report announces the failure. Once the host list no longer has the entry, its share returns
    to the others and the caller reaches its limit again.
    """
    fleet = Fleet(4)
    caller = make_caller(Limits(requests_per_minute=600))
    fleet.run(caller, {"entry-0": 40.0}, minutes=2)
    fleet.remove("entry-0")
    fleet.run(caller, {"entry-1": 40.0}, minutes=2)
    assert 540 <= fleet.admitted[3] <= 660


def test_request_after_the_retry_delay_is_admitted() -> None:
    """A refused caller that retries after ``retry_after_ms`` is admitted."""
    clock = ManualClock()
    limiter = make_limiter(clock, "entry-0")
    caller = make_caller(Limits(requests_per_minute=30))
    answers = [limiter.admit(caller, UNLIMITED, 1, 0.0) for _ in range(10)]
    refusal = next(answer for answer in answers if not is_successful(answer)).failure()
    assert refusal.status == 429
    assert refusal.retry_after_ms is not None
    assert is_successful(limiter.admit(caller, UNLIMITED, 1, refusal.retry_after_ms))


def test_idle_organisations_leave_no_state() -> None:
    """A minute after one request each of 30,000 organisations, the limiter has no state of them."""
    clock = ManualClock()
    limiter = make_limiter(clock, "entry-0")
    caller = make_caller(Limits())
    for index in range(30_000):
        limits = Limits(requests_per_minute=600, tokens_per_minute=60_000, concurrent=8)
        organisation = Organisation(name=f"clinic-{index}", limits=limits)
        grant = limiter.admit(caller, organisation, 100, 0.0).unwrap()
        limiter.release(grant, 80, 0.0)
    assert limiter.account_count == 30_000
    for second in range(1, 61):
        report = limiter.measure_demand(second * 1000.0)
    assert limiter.account_count == 0
    assert report.demands == {}
