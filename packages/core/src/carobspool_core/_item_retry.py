"""What becomes of a batch item after one attempt: a result, or another attempt later."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from carobspool_core._clock import Millis
from carobspool_core._jobs import BatchItem
from carobspool_core._outcome import Failure, Outcome

PREEMPTED = "preempted"
FIRST_BACKOFF: Millis = 200.0
LONGEST_BACKOFF: Millis = 5_000.0

_TRANSIENT = frozenset(
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
        failure: Why there is no whole answer; ``None`` after one.
    """

    status: int = 0
    body: bytes = b""
    request_id: str = ""
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemRetry:
    """Try again.

    Attributes:
        delay: Time to wait first, in milliseconds.
        counted: Whether the attempt counts towards the item's limit.
    """

    delay: Millis
    counted: bool


def item_retry(
    item: BatchItem, outcome: ItemOutcome, *, attempts: int, max_attempts: int
) -> ItemRetry | None:
    """Return how to go on with an item, ``None`` if the outcome is its result.

    Only what was not run is repeated freely. A non-idempotent item that may have run ends as an
    error. An item that fails at every upstream, or breaks each one that runs it, ends as an error
    after ``max_attempts``, so that its job still ends.

    Args:
        item: The item.
        outcome: How the attempt ended.
        attempts: Counted attempts, this one included.
        max_attempts: Limit of counted attempts.
    """
    failure = outcome.failure
    if failure is None:
        if outcome.status not in _TRANSIENT or not item.idempotent:
            return None
        return _counted(attempts, max_attempts)
    if failure.outcome is Outcome.NOT_RUN:
        if failure.retry_after_ms is None:
            return None
        return ItemRetry(delay=max(failure.retry_after_ms, FIRST_BACKOFF), counted=False)
    if not item.idempotent:
        return None
    if failure.code == PREEMPTED:
        return ItemRetry(delay=0.0, counted=False)
    return _counted(attempts, max_attempts)


def _counted(attempts: int, max_attempts: int) -> ItemRetry | None:
    if attempts >= max_attempts:
        return None
    delay = FIRST_BACKOFF * 2.0 ** (attempts - 1)
    return ItemRetry(delay=min(delay, LONGEST_BACKOFF), counted=True)
