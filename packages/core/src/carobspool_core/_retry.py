"""Decides whether a failed attempt is retried at another upstream.

Load pattern: many failures at once, when upstreams are lost or full. Without a retry budget each
request becomes three just when capacity is short, and the overload outlasts its cause. Without
regard to the outcome, a request that must not run twice could run twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from carobspool_core._clock import Clock, Millis
from carobspool_core._outcome import Failure, Outcome

_RETRYABLE_TYPES = frozenset({"unavailable_error", "upstream_error", "rate_limit_error"})
_OVERLOAD_TYPE = "rate_limit_error"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Parameters of the retry policy.

    Attributes:
        budget: Retries earned by each request. At 0.1, retries add at most a tenth to the load,
            which an overloaded pool can bear. At 1.0, the loss of a third of the upstreams doubles
            the load.
        reserve: Maximum of the budget: the retries allowed at once after a quiet period. It lets
            a site with a few requests a minute retry at all.
        max_attempts: Maximum number of attempts of one request. While a third of the upstreams is
            lost but not yet detected, three attempts all fail for 1 in 27 requests.
        overload_share: Overload refusals per request above which nothing is retried. One full
            upstream of 24 refuses far fewer requests, a full pool nearly all.
        half_life: Half-life of the request and refusal counts.
        min_refusals: Overload refusals below which their share is not meaningful.
        first_delay: Maximum of the random delay before the first retry; doubles with each retry.
        max_delay: Upper bound of that maximum.
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
    """Retry budget and overload detection of one pool at one entry.

    Since 0.1.
    """

    __slots__ = (
        "_available_retries",
        "_clock",
        "_decayed_at",
        "_refusals",
        "_requests",
        "_settings",
    )

    def __init__(self, clock: Clock, settings: RetrySettings) -> None:
        self._clock = clock
        self._settings = settings
        self._available_retries = settings.reserve
        self._requests = 0.0
        self._refusals = 0.0
        self._decayed_at = clock.now()

    @property
    def overloaded(self) -> bool:
        """Whether the pool refuses so many requests that retries would add to the overload."""
        if self._refusals < self._settings.min_refusals:
            return False
        return self._refusals > self._settings.overload_share * self._requests

    def record_request(self) -> None:
        """Count a first attempt, which earns a fraction of a retry."""
        self._decay(self._clock.now())
        self._requests += 1.0
        self._available_retries = min(
            self._settings.reserve, self._available_retries + self._settings.budget
        )

    def consume_retry(
        self,
        failure: Failure,
        idempotent: bool,
        attempt: int,
        deadline: Millis,
        bytes_sent_to_caller: bool,
        now: Millis,
    ) -> bool:
        """Return whether to retry, and consume one retry of the budget if so.

        An overload refusal is counted in either case.

        Args:
            failure: How the attempt ended.
            idempotent: Whether running the request twice is harmless.
            attempt: Number of the failed attempt, from 1.
            deadline: Time after which the caller has no use for the answer.
            bytes_sent_to_caller: Whether the caller has received a part of the answer.
            now: The current time.
        """
        self._decay(now)
        if failure.type == _OVERLOAD_TYPE:
            self._refusals += 1.0
        if bytes_sent_to_caller or not _is_safe_to_retry(failure, idempotent):
            return False
        if attempt >= self._settings.max_attempts or self.overloaded:
            return False
        if now + self._max_delay(attempt) >= deadline:
            return False
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True

    def delay(self, attempt: int, rng: Random) -> Millis:
        """Return the delay before the retry that follows ``attempt``.

        The whole delay is random (full jitter): equal delays would send all requests of a lost
        upstream to the other upstreams at the same time.
        """
        return rng.random() * self._max_delay(attempt)

    def retry_after(self, failure: Failure, rng: Random) -> Millis | None:
        """Return the delay after which a caller may retry its finally failed request.

        ``None`` if the failure has no ``retry_after_ms``.

        The failure's ``retry_after_ms`` is doubled while the pool is overloaded, and multiplied by
        a random factor of 1 to 1.5.
        """
        if failure.retry_after_ms is None:
            return None
        base = failure.retry_after_ms * (2.0 if self.overloaded else 1.0)
        return base * (1.0 + 0.5 * rng.random())

    def _max_delay(self, attempt: int) -> Millis:
        return min(self._settings.max_delay, self._settings.first_delay * 2.0 ** (attempt - 1))

    def _decay(self, now: Millis) -> None:
        elapsed = now - self._decayed_at
        if elapsed <= 0.0:
            return
        factor = 0.5 ** (elapsed / self._settings.half_life)
        self._requests *= factor
        self._refusals *= factor
        self._decayed_at = now


def _is_safe_to_retry(failure: Failure, idempotent: bool) -> bool:
    if failure.type not in _RETRYABLE_TYPES:
        return False
    return failure.outcome is Outcome.NOT_RUN or idempotent


def make_retry_policy(clock: Clock, settings: RetrySettings | None = None) -> RetryPolicy:
    """Return a policy with a full reserve.

    Args:
        clock: The process's clock.
        settings: Parameters of the policy; the defaults if omitted.

    Since 0.1.
    """
    return RetryPolicy(clock, settings or RetrySettings())
