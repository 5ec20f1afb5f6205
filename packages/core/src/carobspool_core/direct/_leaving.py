"""Which requests a leaving entry still takes on.

Load pattern: the balancer goes on sending connections to an entry that is not ready, since most
entries of its failure domain are leaving too, and callers use open connections until the process is
gone. A request that is taken shortly before the exit is cut in the middle; one that is refused as
not run is served by another entry.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

LONGEST_TO_MEAN = 3.0
"""Longest duration of a request against the mean of its service, on a full fleet."""
SHORTEST_ROOM: Millis = 500.0
"""Time that any request is given, for plain calls whose mean of some 25 ms says little of the
slowest."""
JOB_CALL_ROOM: Millis = 2_500.0
"""Time that a call on a job is given: asking an owner that is silent takes 1.8 s, and the two calls
to a slow store that follow 0.3 s each."""
LEAVING_RETRY_AFTER: Millis = 20.0
"""When the caller is to come back: at once, since the retry reaches another entry."""


def has_time_to_serve(time_left: Millis | None, mean_duration: Millis) -> bool:
    """Return whether a new request will probably end before this process does.

    Args:
        time_left: Until the process exits; ``None`` when it is not leaving.
        mean_duration: How long requests of the service take.
    """
    if time_left is None:
        return True
    return time_left >= max(SHORTEST_ROOM, mean_duration * LONGEST_TO_MEAN)


def has_time_for_job_call(time_left: Millis | None) -> bool:
    """Return whether a call on a batch job will probably end before this process does.

    Args:
        time_left: Until the process exits; ``None`` when it is not leaving.
    """
    return time_left is None or time_left >= JOB_CALL_ROOM
