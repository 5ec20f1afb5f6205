"""Decides whether an attempt of a batch item is retried or its outcome is the item's result."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from carobspool_core._clock import Millis
from carobspool_core._jobs import BatchItem
from carobspool_core._outcome import Failure, Outcome

PREEMPTED = "preempted"
FIRST_BACKOFF: Millis = 200.0
MAX_BACKOFF: Millis = 5_000.0

_TRANSIENT_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    }
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemOutcome:
    """How one attempt of an item ended.

    Attributes:
        status: HTTP status of the upstream's answer, 0 without one.
        body: The answer's body.
        request_id: Id of the attempt, for support.
        failure: Why the answer is missing or incomplete; ``None`` after a complete answer.
    """

    status: int = 0
    body: bytes = b""
    request_id: str = ""
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemRetry:
    """The decision to retry an item.

    Attributes:
        delay: Time to wait before the retry, in milliseconds.
        counts_as_attempt: Whether the attempt counts towards the item's limit.
    """

    delay: Millis
    counts_as_attempt: bool


def decide_item_retry(
    item: BatchItem, outcome: ItemOutcome, *, attempts: int, max_attempts: int
) -> ItemRetry | None:
    """Return how to retry an item, or ``None`` if the outcome is its result.

    Only attempts that did not run are repeated regardless of idempotence. A non-idempotent item
    that may have run ends as an error. An item that fails at every upstream, or crashes every
    upstream that runs it, ends as an error after ``max_attempts``, so that its job still completes.

    Args:
        item: The item.
        outcome: How the attempt ended.
        attempts: Number of counted attempts, including this one.
        max_attempts: Limit of counted attempts.
    """
    failure = outcome.failure
    if failure is None:
        if outcome.status not in _TRANSIENT_STATUSES or not item.idempotent:
            return None
        return _counted_retry(attempts, max_attempts)
    if failure.outcome is Outcome.NOT_RUN:
        if failure.retry_after_ms is None:
            return None
        return ItemRetry(delay=max(failure.retry_after_ms, FIRST_BACKOFF), counts_as_attempt=False)
    if not item.idempotent:
        return None
    if failure.code == PREEMPTED:
        return ItemRetry(delay=0.0, counts_as_attempt=False)
    return _counted_retry(attempts, max_attempts)


def _counted_retry(attempts: int, max_attempts: int) -> ItemRetry | None:
    if attempts >= max_attempts:
        return None
    delay = FIRST_BACKOFF * 2.0 ** (attempts - 1)
    return ItemRetry(delay=min(delay, MAX_BACKOFF), counts_as_attempt=True)
