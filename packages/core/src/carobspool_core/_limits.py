"""Rate and concurrency limits of callers and organisations, enforced by all entries together.

Load pattern: one very active caller, at one entry or at all of them, and tens of thousands of
nearly idle ones. Without limits, one customer's script uses up the capacity of the fleet; with
limits that each entry enforces alone, the customer gets the limit once per entry.

Requests and tokens per minute are limited by token buckets, concurrent requests by a counter. Each
entry enforces its share of each limit, which follows the demand (`_shares`). The shares add up to
the limit, so the total is exact to within the capacity of the buckets. Idle subjects have no state.
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
    DemandReport,
    PeerDemands,
    Subject,
    SubjectKind,
    share_count,
    share_rate,
)

_MIN_REPORTED_FRACTION = 0.25
"""Fraction of an equal share below which a demand is not reported. The equally divided spare part
of the limit covers such a demand, and of 30,000 organisations nearly all are below the fraction."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """The charge for an admitted request, to be released when the request ends."""

    subjects: tuple[Subject, ...]
    cost_tokens: int


class Limiter:
    """Enforces one entry's share of all limits. Created by `make_limiter`.

    Not thread-safe; the caller must serialise all calls.

    Since 0.1.
    """

    def __init__(self, clock: Clock, entry: str) -> None:
        self._entry = entry
        self._peers = PeerDemands(entry)
        self._accounts: dict[Subject, Account] = {}
        self._last_measured = clock.now()

    @property
    def account_count(self) -> int:
        """Number of callers and organisations with state."""
        return len(self._accounts)

    def admit(
        self, caller: Caller, organisation: Organisation, cost_tokens: int, now: Millis
    ) -> Result[Grant, Failure]:
        """Admit a request or refuse it immediately.

        Args:
            caller: The sender of the request.
            organisation: The caller's organisation.
            cost_tokens: Estimated tokens, prompt and answer together.
            now: The current time.

        Returns:
            A grant to pass to `release` when the request ends, or the refusal.
        """
        accounts = {
            subject: self._account_for(subject, limits, now)
            for subject, limits in _limited_subjects(caller, organisation)
        }
        for account in accounts.values():
            account.offered += 1
            account.offered_tokens += cost_tokens
        for account in accounts.values():
            refusal = account.refusal_for(cost_tokens, now)
            if refusal is not None:
                account.refused += int(refusal.code == "concurrent_limit")
                return Failed(refusal)
        for account in accounts.values():
            account.charge(cost_tokens)
        return Success(Grant(subjects=tuple(accounts), cost_tokens=cost_tokens))

    def release(self, grant: Grant, used_tokens: int, now: Millis) -> None:
        """Release the grant of a request that has ended.

        Args:
            grant: The grant that `admit` returned.
            used_tokens: Tokens that the request used; the rest of the estimate is refunded.
            now: The current time.
        """
        for subject in grant.subjects:
            account = self._accounts.get(subject)
            if account is None:
                continue
            account.in_flight -= 1
            account.tokens.refund(grant.cost_tokens - used_tokens)

    def measure_demand(self, now: Millis) -> DemandReport:
        """Measure and return this entry's demand, for a report to the other entries.

        Call this method about once a second. It also drops expired reports and idle accounts, and
        updates the shares.
        """
        missing = self._peers.missing
        self._peers.expire(now)
        if self._peers.missing != missing:
            self._update_all_shares(now)
        elapsed = now - self._last_measured
        demands: dict[Subject, Demand] = {}
        for subject, account in list(self._accounts.items()):
            if elapsed > 0.0:
                account.update_demand(elapsed)
            before = account.reported
            account.reported = self._reportable_demand(account)
            if account.reported is not NO_DEMAND:
                demands[subject] = account.reported
            elif account.is_idle(now):
                del self._accounts[subject]
                continue
            if account.reported is not before:
                self._update_share(subject, account, now)
        self._last_measured = now
        return DemandReport(entry=self._entry, demands=demands)

    def apply_report(self, report: DemandReport, now: Millis) -> None:
        """Apply the report of another entry."""
        before = self._peers.missing
        self._peers.apply_report(report, now)
        if self._peers.missing != before:
            self._update_all_shares(now)
            return
        for subject in report.demands:
            account = self._accounts.get(subject)
            if account is not None:
                self._update_share(subject, account, now)

    def set_live_entries(self, live: Sequence[str], now: Millis | None = None) -> None:
        """Set which entries are live; they take over the shares of entries that are not."""
        self._peers.set_live(live)
        self._update_all_shares(self._last_measured if now is None else now)

    def _account_for(self, subject: Subject, limits: Limits, now: Millis) -> Account:
        account = self._accounts.get(subject)
        if account is not None and account.limits == limits:
            return account
        if account is None:
            account = self._accounts[subject] = Account(limits, now)
            self._update_share(subject, account, now)
            account.requests = Bucket(account.requests.rate, 1.0, now)
            account.tokens = Bucket(account.tokens.rate, 1.0, now)
            return account
        account.limits = limits
        self._update_share(subject, account, now)
        return account

    def _update_all_shares(self, now: Millis) -> None:
        for subject, account in self._accounts.items():
            self._update_share(subject, account, now)

    def _update_share(self, subject: Subject, account: Account, now: Millis) -> None:
        limits = account.limits
        peer_demands = self._peers.demands(subject)
        own = account.reported
        if limits.requests_per_minute is not None:
            peer_demand = sum(other.requests for other in peer_demands.values())
            share = self._rate_share(limits.requests_per_minute, own.requests, peer_demand)
            account.requests.set_rate(share, now)
        if limits.tokens_per_minute is not None:
            peer_demand = sum(other.tokens for other in peer_demands.values())
            share = self._rate_share(limits.tokens_per_minute, own.tokens, peer_demand)
            account.tokens.set_rate(share, now)
        if limits.concurrent is not None:
            reporting = [peer_demands.get(entry, NO_DEMAND) for entry in self._peers.reporting]
            rank, missing = self._peers.rank, self._peers.missing
            account.concurrent = share_count(
                limits.concurrent, own.concurrent, reporting, rank, missing
            )

    def _rate_share(self, limit: float, own: float, peer_demand: float) -> float:
        return share_rate(limit, own, peer_demand, self._peers.entries, self._peers.missing)

    def _reportable_demand(self, account: Account) -> Demand:
        limits = account.limits
        min_fraction = _MIN_REPORTED_FRACTION / self._peers.entries
        demand = account.demand
        if (
            demand.requests > min_fraction * (limits.requests_per_minute or math.inf)
            or demand.tokens > min_fraction * (limits.tokens_per_minute or math.inf)
            or demand.concurrent > min_fraction * (limits.concurrent or math.inf)
        ):
            return demand
        return NO_DEMAND


def make_limiter(clock: Clock, entry: str) -> Limiter:
    """Return the limiter of one entry.

    Args:
        clock: Read once, for the start of the first measurement.
        entry: Name of the entry, as in the lists passed to `Limiter.set_live_entries`.

    Since 0.1.
    """
    return Limiter(clock, entry)


def _limited_subjects(caller: Caller, organisation: Organisation) -> list[tuple[Subject, Limits]]:
    unlimited = Limits()
    candidates = [
        (Subject(SubjectKind.CALLER, caller.id), caller.limits),
        (Subject(SubjectKind.ORGANISATION, organisation.name), organisation.limits),
    ]
    return [(subject, limits) for subject, limits in candidates if limits != unlimited]
