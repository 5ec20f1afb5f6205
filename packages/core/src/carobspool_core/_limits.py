"""Limits of callers and organisations at one entry: token buckets and bounds on concurrency.

Load pattern: one caller that sends more than its share. Without limits it takes the queue places of
all others. Each entry counts on its own; sharing between entries replaces this first version.
"""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Clock, Millis
from carobspool_core._config import Caller, Limits, Organisation
from carobspool_core._outcome import Failure, rate_limited

MINUTE: Millis = 60_000.0
CONCURRENCY_RETRY_AFTER: Millis = 1_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """The right to run one request; given back by `Limiter.release`."""

    caller: str
    organisation: str
    cost_tokens: int


@dataclass(slots=True)
class _Usage:
    """What one caller or organisation has left."""

    requests: float
    tokens: float
    at: Millis
    running: int = 0


class Limiter:
    """Admits requests within the declared limits. Made by `make_limiter`. Since 0.1."""

    __slots__ = ("_clock", "_entry", "_usages")

    def __init__(self, clock: Clock, entry: str) -> None:
        self._clock = clock
        self._entry = entry
        self._usages: dict[str, _Usage] = {}

    def admit(
        self, caller: Caller, organisation: Organisation, cost_tokens: int, now: Millis
    ) -> Result[Grant, Failure]:
        """Take a request's share, or return why it is refused and when to come back."""
        bounded = (
            (f"caller {caller.id}", caller.limits),
            (f"organisation {organisation.name}", organisation.limits),
        )
        for name, limits in bounded:
            refusal = self._refusal(name, limits, cost_tokens, now)
            if refusal is not None:
                return Failed(refusal)
        for name, limits in bounded:
            usage = self._usage(name, limits, now)
            usage.requests -= 1.0
            usage.tokens -= cost_tokens
            usage.running += 1
        return Success(
            Grant(caller=caller.id, organisation=organisation.name, cost_tokens=cost_tokens)
        )

    def release(self, grant: Grant, used_tokens: int, now: Millis) -> None:
        """Give a grant back; what it did not use of its estimate is free again."""
        for name in (f"caller {grant.caller}", f"organisation {grant.organisation}"):
            usage = self._usages.get(name)
            if usage is None:
                continue
            usage.running -= 1
            usage.tokens += grant.cost_tokens - used_tokens

    def _refusal(self, name: str, limits: Limits, cost_tokens: int, now: Millis) -> Failure | None:
        usage = self._usage(name, limits, now)
        if limits.concurrent is not None and usage.running >= limits.concurrent:
            message = f"{name} has {usage.running} requests in progress"
            return rate_limited(
                "concurrency_limit", message, retry_after_ms=CONCURRENCY_RETRY_AFTER
            )
        rate = limits.requests_per_minute
        if rate is not None and usage.requests < 1.0:
            wait = (1.0 - usage.requests) * MINUTE / rate
            return rate_limited("request_limit", f"{name} is over its rate", retry_after_ms=wait)
        rate = limits.tokens_per_minute
        if rate is not None and usage.tokens < min(cost_tokens, rate):
            wait = (min(cost_tokens, rate) - usage.tokens) * MINUTE / rate
            return rate_limited("token_limit", f"{name} is over its tokens", retry_after_ms=wait)
        return None

    def _usage(self, name: str, limits: Limits, now: Millis) -> _Usage:
        requests = limits.requests_per_minute or 0.0
        tokens = limits.tokens_per_minute or 0.0
        usage = self._usages.get(name)
        if usage is None:
            usage = self._usages[name] = _Usage(requests=requests, tokens=tokens, at=now)
            return usage
        share = (now - usage.at) / MINUTE
        usage.requests = min(requests, usage.requests + share * requests)
        usage.tokens = min(tokens, usage.tokens + share * tokens)
        usage.at = now
        return usage


def make_limiter(clock: Clock, entry: str) -> Limiter:
    """Return a limiter that has seen no request.

    Args:
        clock: The process's clock.
        entry: Name of the entry.

    Since 0.1.
    """
    return Limiter(clock, entry)
