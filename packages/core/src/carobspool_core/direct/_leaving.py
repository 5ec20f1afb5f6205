"""Which new requests an entry accepts while it shuts down.

Load pattern: the balancer still sends connections to an entry that is not ready, since most entries
of its failure domain are shutting down too, and callers use open connections until the process
exits.
A request that is accepted shortly before the exit is cut off. A request that is refused as not run
is retried at another entry.
"""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis

BALANCER_TIME: Millis = 2_500.0
"""Time after the signal in which the load balancer may still send new callers, who have not chosen
this entry. It removes an entry after two failed health checks, a second apart."""
DEADLINE_MARGIN: Millis = 100.0
"""Time for the answer to a request that ends at its deadline."""
MAX_TO_MEAN_DURATION = 3.0
"""Ratio of the longest duration of a request to the mean of its service, on a full fleet."""
MIN_TIME_LEFT: Millis = 500.0
"""Lower limit for short requests: a mean of some 25 ms says little about the slowest ones."""
MIN_TIME_LEFT_FOR_JOB_CALL: Millis = 2_500.0
"""A call on a job may ask an owner that does not answer, which takes 1.8 s, and then makes two
calls to the store, which take 0.3 s each if the store is slow."""
LEAVING_RETRY_AFTER: Millis = 20.0
"""Retry delay for callers: almost none, since the retry reaches another entry."""


class Shutdown(Struct, frozen=True, kw_only=True):
    """A shutdown in progress.

    Attributes:
        elapsed: Time since the signal.
        time_left: Time until the process exits.
    """

    elapsed: Millis
    time_left: Millis


def has_time_to_serve(shutdown: Shutdown | None, *, mean_duration: Millis, longest: Millis) -> bool:
    """Return whether a new request may be passed on although this process may be shutting down.

    While the balancer still sends callers, a request is passed on if it will probably end in time.
    Later ones come on connections that were open before; their callers lose nothing by a refusal,
    so that only requests are passed on that certainly end in time.

    Args:
        shutdown: The shutdown, ``None`` if there is none.
        mean_duration: Mean duration of requests of the service.
        longest: Time until the deadline of the request.
    """
    if shutdown is None:
        return True
    if shutdown.elapsed >= BALANCER_TIME:
        return shutdown.time_left >= longest + DEADLINE_MARGIN
    return shutdown.time_left >= max(MIN_TIME_LEFT, mean_duration * MAX_TO_MEAN_DURATION)


def has_time_for_job_call(time_left: Millis | None) -> bool:
    """Return whether a call on a batch job will probably end before this process exits.

    Args:
        time_left: Time until the process exits; ``None`` if it is not shutting down.
    """
    return time_left is None or time_left >= MIN_TIME_LEFT_FOR_JOB_CALL
