"""What one entry knows of one caller or organisation that has limits."""

from __future__ import annotations

import math

from carobspool_core._bucket import MINUTE, Bucket
from carobspool_core._clock import Millis
from carobspool_core._config import Limits
from carobspool_core._outcome import Failure, rate_limited
from carobspool_core._refusals import bounded_retry
from carobspool_core._shares import NO_DEMAND, Demand

_DEMAND_MEMORY: Millis = 5_000.0
"""Memory of the demand: five report intervals. A shorter one follows the chance of single arrivals,
a longer one keeps a share where the caller no longer sends."""

_CONCURRENT_RETRY: Millis = 1_000.0
"""When a caller at its bound of requests at once may come back: about the length of an answer."""


class Account:
    """Usage of one subject at one entry, and this entry's part of its limits."""

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


def _capped(demand: float, limit: float | None) -> float:
    return float(demand if limit is None else min(demand, limit))


def _refusal(code: str, message: str, wait: Millis) -> Failure:
    return rate_limited(code, message, retry_after_ms=bounded_retry(wait))
