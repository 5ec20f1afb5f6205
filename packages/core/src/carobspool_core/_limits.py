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

from carobspool_core._account import Account
from carobspool_core._bucket import Bucket
from carobspool_core._clock import Clock, Millis
from carobspool_core._config import Caller, Limits, Organisation
from carobspool_core._outcome import Failure
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

_REPORTED_PART = 0.25
"""A demand below this part of an equal share is not reported: the spare part covers it, and at
30,000 organisations nearly all are below it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """An admitted request, to be given back when it ends."""

    subjects: tuple[Subject, ...]
    cost_tokens: int


class Limiter:
    """Enforces one entry's part of all limits. Made by `make_limiter`.

    Not safe for use from several threads; its owner serialises the calls.

    Since 0.1.
    """

    def __init__(self, clock: Clock, entry: str) -> None:
        self._entry = entry
        self._peers = Peers(entry)
        self._accounts: dict[Subject, Account] = {}
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

    def _account(self, subject: Subject, limits: Limits, now: Millis) -> Account:
        account = self._accounts.get(subject)
        if account is not None and account.limits == limits:
            return account
        if account is None:
            account = self._accounts[subject] = Account(limits, now)
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

    def _share(self, subject: Subject, account: Account, now: Millis) -> None:
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

    def _worth_reporting(self, account: Account) -> Demand:
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


def _subjects(caller: Caller, organisation: Organisation) -> list[tuple[Subject, Limits]]:
    unlimited = Limits()
    candidates = [
        (Subject(SubjectKind.CALLER, caller.id), caller.limits),
        (Subject(SubjectKind.ORGANISATION, organisation.name), organisation.limits),
    ]
    return [(subject, limits) for subject, limits in candidates if limits != unlimited]
