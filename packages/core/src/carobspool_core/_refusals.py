"""Final, immediate refusals at overload, with a retry delay.

Load pattern: more requests than the upstreams serve. Without a retry delay, callers retry
immediately, and handling the refusals becomes the load.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure, rate_limited

_MIN_RETRY: Millis = 250.0
"""Shortest retry delay sent to a refused caller: about ten engine steps."""

_MAX_RETRY: Millis = 60_000.0
"""Longest retry delay. Predictions beyond a minute rely on a throughput that will have changed."""


def queue_full(wait: Millis) -> Failure:
    """Return the refusal of a request that does not fit into its queue.

    Args:
        wait: Predicted wait of a request queued now. The retry delay is half of it, in which half
            of the queue is served.
    """
    message = "Too many requests are waiting."
    return rate_limited("queue_full", message, retry_after_ms=clamp_retry_delay(wait / 2.0))


def deadline_unreachable(late: Millis) -> Failure:
    """Return the refusal of a request that cannot finish before its deadline.

    Args:
        late: Time by which the request would miss its deadline. A similar request sent after that
            delay would meet its deadline.
    """
    message = "The request cannot finish before its deadline."
    return rate_limited("deadline_unreachable", message, retry_after_ms=clamp_retry_delay(late))


def clamp_retry_delay(wait: Millis) -> Millis:
    """Return ``wait``, clamped to the range of retry delays."""
    return min(_MAX_RETRY, max(_MIN_RETRY, wait))
