"""Whether a failed attempt is tried again at another upstream.

Load pattern: failures that come in masses, when upstreams are lost or full. Without a budget each
caller's request becomes three, just when capacity is short, and the overload keeps itself up after
its cause has gone. Without the outcome a request that must not run twice runs twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from carobspool_core._clock import Clock, Millis
from carobspool_core._outcome import Failure, Outcome

_RETRIED_TYPES = frozenset({"unavailable_error", "upstream_error", "rate_limit_error"})
_OVERLOAD_TYPE = "rate_limit_error"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Figures of the retry policy.

    Attributes:
        budget: Retries allowed for each request. At 0.1 retries add a tenth to the load at most,
            which an overloaded pool survives; at 1.0 a lost third of the upstreams doubles it.
        reserve: Retries allowed at once after a quiet time, so that a site with a few requests a
            minute can retry at all; the budget never holds more.
        max_attempts: Attempts of one request: with a third of the upstreams lost and not yet
            known, three fail together in 1 of 27.
        overload_share: Overload refusals for each request above which nothing is retried. A single
            full upstream of 24 refuses far less, a full pool nearly all.
        half_life: Half-life of the counts behind that share.
        min_refusals: Overload refusals below which the share means nothing.
        first_delay: Upper end of the random delay before the first retry; doubles for each more.
        max_delay: Upper bound of that delay.
    """

    budget: float = 0.1
    reserve: float = 10.0
    max_attempts: int = 3
    overload_share: float = 0.1
    half_life: Millis = 2_000.0
    min_refusals: float = 5.0
    first_delay: Millis = 20.0
    max_delay: Millis = 500.0


class RetryPolicy:
    """Budget and overload memory of one pool at one entry.

    Since 0.1.
    """

    __slots__ = ("_clock", "_decayed_at", "_refusals", "_requests", "_settings", "_tokens")

    def __init__(self, clock: Clock, settings: RetrySettings) -> None:
        self._clock = clock
        self._settings = settings
        self._tokens = settings.reserve
        self._requests = 0.0
        self._refusals = 0.0
        self._decayed_at = clock.now()

    @property
    def overloaded(self) -> bool:
        """Whether the pool refuses so much that retries would only add to it."""
        if self._refusals < self._settings.min_refusals:
            return False
        return self._refusals > self._settings.overload_share * self._requests

    def request(self) -> None:
        """Count a first attempt; each earns a part of a retry."""
        self._decay(self._clock.now())
        self._requests += 1.0
        self._tokens = min(self._settings.reserve, self._tokens + self._settings.budget)

    def may_retry(
        self,
        failure: Failure,
        idempotent: bool,
        attempt: int,
        deadline: Millis,
        bytes_sent_to_caller: bool,
        now: Millis,
    ) -> bool:
        """Return whether to try again; a yes takes from the budget.

        Args:
            failure: How the attempt ended.
            idempotent: Whether running it twice is harmless.
            attempt: Number of the failed attempt, from 1.
            deadline: Instant after which the caller has no use for the answer.
            bytes_sent_to_caller: Whether the caller has seen a part of the answer.
            now: The instant.
        """
        self._decay(now)
        if failure.type == _OVERLOAD_TYPE:
            self._refusals += 1.0
        if bytes_sent_to_caller or not _is_safe(failure, idempotent):
            return False
        if attempt >= self._settings.max_attempts or self.overloaded:
            return False
        if now + self._longest_delay(attempt) >= deadline:
            return False
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def delay(self, attempt: int, rng: Random) -> Millis:
        """Return how long to wait before the retry that follows ``attempt``.

        The whole delay is random: equal delays would bring all the requests of a lost upstream to
        the others at one instant.
        """
        return rng.random() * self._longest_delay(attempt)

    def come_back(self, failure: Failure, rng: Random) -> Millis | None:
        """Return when a caller may come back after its final failure, ``None`` if pointless.

        Spread over 1 to 1.5 times, and doubled while the pool is overloaded.
        """
        if failure.retry_after_ms is None:
            return None
        base = failure.retry_after_ms * (2.0 if self.overloaded else 1.0)
        return base * (1.0 + 0.5 * rng.random())

    def _longest_delay(self, attempt: int) -> Millis:
        return min(self._settings.max_delay, self._settings.first_delay * 2.0 ** (attempt - 1))

    def _decay(self, now: Millis) -> None:
        passed = now - self._decayed_at
        if passed <= 0.0:
            return
        factor = 0.5 ** (passed / self._settings.half_life)
        self._requests *= factor
        self._refusals *= factor
        self._decayed_at = now


def _is_safe(failure: Failure, idempotent: bool) -> bool:
    if failure.type not in _RETRIED_TYPES:
        return False
    return failure.outcome is Outcome.NOT_RUN or idempotent


def make_retry_policy(clock: Clock, settings: RetrySettings | None = None) -> RetryPolicy:
    """Return a policy with a full reserve.

    Args:
        clock: The process's clock.
        settings: Figures of the policy.

    Since 0.1.
    """
    return RetryPolicy(clock, settings or RetrySettings())
