"""Usage of one caller or organisation with limits, as counted by one entry."""

from __future__ import annotations

import math

from carobspool_core._bucket import MINUTE_MS, Bucket
from carobspool_core._clock import Millis
from carobspool_core._config import Limits
from carobspool_core._outcome import Failure, rate_limited
from carobspool_core._refusals import clamp_retry_delay
from carobspool_core._shares import NO_DEMAND, Demand

_DEMAND_TIME_CONSTANT: Millis = 5_000.0
"""Time constant of the demand average: five report intervals. A shorter time follows random single
arrivals; a longer time leaves a share at an entry to which the caller no longer sends."""

_CONCURRENT_RETRY_DELAY: Millis = 1_000.0
"""Retry delay for a caller at its concurrency limit: about the duration of an answer."""


class Account:
    """Usage of one subject at one entry, and the entry's share of the subject's limits.

    Attributes:
        limits: Declared limits of the subject.
        requests: Bucket of this entry's share of the requests per minute.
        tokens: Bucket of this entry's share of the tokens per minute.
        concurrent: This entry's share of the limit on concurrent requests.
        in_flight: Number of admitted requests that have not ended.
        offered: Requests since the last update of the demand, admitted or not.
        offered_tokens: Estimated tokens of the offered requests.
        refused: Requests since that update that were refused by the limit on concurrent requests.
        demand: Average demand at this entry.
        reported: Demand as last reported to the other entries.
    """

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

    def refusal_for(self, cost_tokens: int, now: Millis) -> Failure | None:
        """Return the refusal of a request, or ``None`` if the limits admit it."""
        limits = self.limits
        if limits.concurrent is not None and self.in_flight >= self.concurrent:
            return _refusal(
                "concurrent_limit", "Too many requests at once.", _CONCURRENT_RETRY_DELAY
            )
        if limits.requests_per_minute is not None:
            wait = self.requests.time_until_available(1.0, now)
            if wait > 0.0:
                return _refusal("requests_limit", "Too many requests a minute.", wait)
        if limits.tokens_per_minute is not None:
            wait = self.tokens.time_until_available(cost_tokens, now)
            if wait > 0.0:
                return _refusal("tokens_limit", "Too many tokens a minute.", wait)
        return None

    def charge(self, cost_tokens: int) -> None:
        """Charge an admitted request to the limits."""
        self.in_flight += 1
        if self.limits.requests_per_minute is not None:
            self.requests.consume(1.0)
        if self.limits.tokens_per_minute is not None:
            self.tokens.consume(cost_tokens)

    def update_demand(self, elapsed: Millis) -> None:
        """Update the demand average with the requests of the last ``elapsed`` milliseconds."""
        decay = math.exp(-elapsed / _DEMAND_TIME_CONSTANT)
        rate_factor = (1.0 - decay) * MINUTE_MS / elapsed
        requests = decay * self.demand.requests + rate_factor * self.offered
        tokens = decay * self.demand.tokens + rate_factor * self.offered_tokens
        concurrent = float(self.in_flight + self.refused)
        concurrent = decay * self.demand.concurrent + (1.0 - decay) * concurrent
        # Demand above the limit is never admitted. Counted in full, the demand at an entry that a
        # caller has left would decay more slowly than the demand at its new entry grows, and the
        # caller would get less than its limit in the meantime.
        self.demand = Demand(
            requests=_capped(requests, self.limits.requests_per_minute),
            tokens=_capped(tokens, self.limits.tokens_per_minute),
            concurrent=_capped(concurrent, self.limits.concurrent),
            in_flight=self.in_flight,
        )
        self.offered = self.offered_tokens = self.refused = 0

    def is_idle(self, now: Millis) -> bool:
        """Return whether the account can be dropped without effect."""
        if self.in_flight:
            return False
        return self.requests.is_full(now) and self.tokens.is_full(now)


def _capped(demand: float, limit: float | None) -> float:
    return float(demand if limit is None else min(demand, limit))


def _refusal(code: str, message: str, wait: Millis) -> Failure:
    return rate_limited(code, message, retry_after_ms=clamp_retry_delay(wait))
