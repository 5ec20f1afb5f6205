"""Refusals at overload: final, immediate, and telling when to come back.

Load pattern: more requests than the upstreams serve. Without a time to come back, callers resend at
once and the refusals themselves become the load.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure, rate_limited

LEAST_RETRY_MS: Millis = 250.0
"""Shortest time after which a refused caller is asked back: some ten engine steps."""

MOST_RETRY_MS: Millis = 60_000.0
"""Longest such time. A prediction further ahead than a minute rests on a rate that will change."""


def queue_full(wait: Millis) -> Failure:
    """Return the refusal of a request for which there is no room.

    Args:
        wait: Predicted wait of a request that joined now; half the queue is served in half of it.
    """
    message = "Too many requests are waiting."
    return rate_limited("queue_full", message, retry_after_ms=bounded_retry(wait / 2.0))


def deadline_unreachable(late: Millis) -> Failure:
    """Return the refusal of a request that cannot finish before its deadline.

    Args:
        late: By how much it would miss the deadline; after that time a like request would not.
    """
    message = "The request cannot finish before its deadline."
    return rate_limited("deadline_unreachable", message, retry_after_ms=bounded_retry(late))


def bounded_retry(wait: Millis) -> Millis:
    """Return ``wait`` within the least and the longest time to come back."""
    return min(MOST_RETRY_MS, max(LEAST_RETRY_MS, wait))
