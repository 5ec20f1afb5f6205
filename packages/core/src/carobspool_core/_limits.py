"""Limits of callers and organisations, kept over all entries together.

Load pattern: a hot caller, at one entry or at all, and tens of thousands of quiet ones. Without
limits one customer's script takes the fleet from the others; with limits kept by each entry alone
it gets them as many times as there are entries.

Requests and tokens a minute are token buckets, requests at once are counted. Each entry enforces
its part of each limit, which moves with demand (`_shares`). The parts add up to the limit, so the
total is right to within what the buckets hold. Nothing is kept of a subject that is idle.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._bucket import MINUTE, Bucket
from carobspool_core._clock import Clock, Millis
from carobspool_core._config import Caller, Limits, Organisation
from carobspool_core._outcome import Failure, rate_limited
from carobspool_core._refusals import bounded_retry
from carobspool_core._shares import (
    NO_DEMAND,
    Demand,
    Peers,
    Subject,
    SubjectKind,
    UsageReport,
    share_count,
    share_rate,
)

_DEMAND_MEMORY: Millis = 5_000.0
"""Memory of the demand: five report intervals. A shorter one follows the chance of single arrivals,
a longer one keeps a share where the caller no longer sends."""

_REPORTED_PART = 0.25
"""A demand below this part of an equal share is not reported: the spare part covers it, and at
30,000 organisations nearly all are below it."""

_CONCURRENT_RETRY: Millis = 1_000.0
"""When a caller at its bound of requests at once may come back: about the length of an answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """An admitted request, to be given back when it ends."""

    subjects: tuple[Subject, ...]
    cost_tokens: int


class _Account:
    """What one entry knows of one subject."""

    __slots__ = (
        "concurrent",
        "demand",
        "in_flight",
        "limits",
        "offered",
        "offered_tokens",
        "refused",
        "reported",
        "requests",
        "tokens",
    )

    def __init__(self, limits: Limits, now: Millis) -> None:
        self.limits = limits
        self.requests = Bucket(0.0, 1.0, now)
        self.tokens = Bucket(0.0, 1.0, now)
        self.concurrent = 0
        self.in_flight = 0
        self.offered = 0
        self.offered_tokens = 0
        self.refused = 0
        self.demand = NO_DEMAND
        self.reported = NO_DEMAND

    def refusal(self, cost_tokens: int, now: Millis) -> Failure | None:
        """Return why a request may not pass, or ``None``."""
        limits = self.limits
        if limits.concurrent is not None and self.in_flight >= self.concurrent:
            return _refusal("concurrent_limit", "Too many requests at once.", _CONCURRENT_RETRY)
        if limits.requests_per_minute is not None:
            wait = self.requests.wait(1.0, now)
            if wait > 0.0:
                return _refusal("requests_limit", "Too many requests a minute.", wait)
        if limits.tokens_per_minute is not None:
            wait = self.tokens.wait(cost_tokens, now)
            if wait > 0.0:
                return _refusal("tokens_limit", "Too many tokens a minute.", wait)
        return None

    def take(self, cost_tokens: int) -> None:
        """Count an admitted request."""
        self.in_flight += 1
        if self.limits.requests_per_minute is not None:
            self.requests.take(1.0)
        if self.limits.tokens_per_minute is not None:
            self.tokens.take(cost_tokens)

    def measure(self, elapsed: Millis) -> None:
        """Work out the demand since the last measurement."""
        keep = math.exp(-elapsed / _DEMAND_MEMORY)
        add = (1.0 - keep) * MINUTE / elapsed
        requests = keep * self.demand.requests + add * self.offered
        tokens = keep * self.demand.tokens + add * self.offered_tokens
        concurrent = float(self.in_flight + self.refused)
        concurrent = keep * self.demand.concurrent + (1.0 - keep) * concurrent
        # What exceeds the limit is never admitted. Counted in full, a caller who moves would leave
        # a demand behind that takes longer to fade than the new one to grow, and be cut meanwhile.
        self.demand = Demand(
            requests=_capped(requests, self.limits.requests_per_minute),
            tokens=_capped(tokens, self.limits.tokens_per_minute),
            concurrent=_capped(concurrent, self.limits.concurrent),
            in_flight=self.in_flight,
        )
        self.offered = self.offered_tokens = self.refused = 0

    def is_idle(self, now: Millis) -> bool:
        """Tell whether it can be forgotten without effect."""
        if self.in_flight:
            return False
        return self.requests.is_full(now) and self.tokens.is_full(now)


class Limiter:
    """Enforces one entry's part of all limits. Made by `make_limiter`.

    Not safe for use from several threads; its owner serialises the calls.

    Since 0.1.
    """

    def __init__(self, clock: Clock, entry: str) -> None:
        self._entry = entry
        self._peers = Peers(entry)
        self._accounts: dict[Subject, _Account] = {}
        self._measured = clock.now()

    @property
    def accounts(self) -> int:
        """Subjects of which anything is kept."""
        return len(self._accounts)

    def admit(
        self, caller: Caller, organisation: Organisation, cost_tokens: int, now: Millis
    ) -> Result[Grant, Failure]:
        """Admit a request or refuse it at once.

        Args:
            caller: Who sends it.
            organisation: The caller's organisation.
            cost_tokens: Estimated tokens, prompt and answer together.
            now: The present instant.

        Returns:
            A grant, to be handed to `release` when the request ends, or the refusal.
        """
        accounts = {
            subject: self._account(subject, limits, now)
            for subject, limits in _subjects(caller, organisation)
        }
        for account in accounts.values():
            account.offered += 1
            account.offered_tokens += cost_tokens
        for account in accounts.values():
            refusal = account.refusal(cost_tokens, now)
            if refusal is not None:
                account.refused += int(refusal.code == "concurrent_limit")
                return Failed(refusal)
        for account in accounts.values():
            account.take(cost_tokens)
        return Success(Grant(subjects=tuple(accounts), cost_tokens=cost_tokens))

    def release(self, grant: Grant, used_tokens: int, now: Millis) -> None:
        """Note the end of an admitted request.

        Args:
            grant: What `admit` returned.
            used_tokens: Tokens that it used; the rest of the estimate is given back.
            now: The present instant.
        """
        for subject in grant.subjects:
            account = self._accounts.get(subject)
            if account is None:
                continue
            account.in_flight -= 1
            account.tokens.give_back(grant.cost_tokens - used_tokens)

    def report(self, now: Millis) -> UsageReport:
        """Return this entry's demand, to be sent to the other entries about once a second."""
        unheard = self._peers.unheard
        self._peers.lapse(now)
        if self._peers.unheard != unheard:
            self._share_all(now)
        elapsed = now - self._measured
        demands: dict[Subject, Demand] = {}
        for subject, account in list(self._accounts.items()):
            if elapsed > 0.0:
                account.measure(elapsed)
            before = account.reported
            account.reported = self._worth_reporting(account)
            if account.reported is not NO_DEMAND:
                demands[subject] = account.reported
            elif account.is_idle(now):
                del self._accounts[subject]
                continue
            if account.reported is not before:
                self._share(subject, account, now)
        self._measured = now
        return UsageReport(entry=self._entry, demands=demands)

    def merge(self, report: UsageReport, now: Millis) -> None:
        """Take the report of another entry."""
        before = self._peers.unheard
        self._peers.merge(report, now)
        if self._peers.unheard != before:
            self._share_all(now)
            return
        for subject in report.demands:
            account = self._accounts.get(subject)
            if account is not None:
                self._share(subject, account, now)

    def set_entries(self, live: Sequence[str], now: Millis | None = None) -> None:
        """Set which entries are live; the shares of the others return to them."""
        self._peers.set_live(live)
        self._share_all(self._measured if now is None else now)

    def _account(self, subject: Subject, limits: Limits, now: Millis) -> _Account:
        account = self._accounts.get(subject)
        if account is not None and account.limits == limits:
            return account
        if account is None:
            account = self._accounts[subject] = _Account(limits, now)
            self._share(subject, account, now)
            account.requests = Bucket(account.requests.rate, 1.0, now)
            account.tokens = Bucket(account.tokens.rate, 1.0, now)
            return account
        account.limits = limits
        self._share(subject, account, now)
        return account

    def _share_all(self, now: Millis) -> None:
        for subject, account in self._accounts.items():
            self._share(subject, account, now)

    def _share(self, subject: Subject, account: _Account, now: Millis) -> None:
        limits = account.limits
        others = self._peers.demands(subject)
        own = account.reported
        if limits.requests_per_minute is not None:
            demand = sum(other.requests for other in others.values())
            share = self._rate(limits.requests_per_minute, own.requests, demand)
            account.requests.set_rate(share, now)
        if limits.tokens_per_minute is not None:
            demand = sum(other.tokens for other in others.values())
            share = self._rate(limits.tokens_per_minute, own.tokens, demand)
            account.tokens.set_rate(share, now)
        if limits.concurrent is not None:
            heard = [others.get(entry, NO_DEMAND) for entry in self._peers.heard]
            rank, unheard = self._peers.rank, self._peers.unheard
            account.concurrent = share_count(
                limits.concurrent, own.concurrent, heard, rank, unheard
            )

    def _rate(self, limit: float, own: float, others: float) -> float:
        return share_rate(limit, own, others, self._peers.entries, self._peers.unheard)

    def _worth_reporting(self, account: _Account) -> Demand:
        limits = account.limits
        part = _REPORTED_PART / self._peers.entries
        demand = account.demand
        if (
            demand.requests > part * (limits.requests_per_minute or math.inf)
            or demand.tokens > part * (limits.tokens_per_minute or math.inf)
            or demand.concurrent > part * (limits.concurrent or math.inf)
        ):
            return demand
        return NO_DEMAND


def make_limiter(clock: Clock, entry: str) -> Limiter:
    """Return the limiter of one entry.

    Args:
        clock: Read once, for the start of the first measurement.
        entry: Name of the entry, as in the lists given to `Limiter.set_entries`.

    Since 0.1.
    """
    return Limiter(clock, entry)


def _capped(demand: float, limit: float | None) -> float:
    return float(demand if limit is None else min(demand, limit))


def _subjects(caller: Caller, organisation: Organisation) -> list[tuple[Subject, Limits]]:
    unlimited = Limits()
    candidates = [
        (Subject(SubjectKind.CALLER, caller.id), caller.limits),
        (Subject(SubjectKind.ORGANISATION, organisation.name), organisation.limits),
    ]
    return [(subject, limits) for subject, limits in candidates if limits != unlimited]


def _refusal(code: str, message: str, wait: Millis) -> Failure:
    return rate_limited(code, message, retry_after_ms=bounded_retry(wait))
