"""Queue limits of upstreams, and retry delays of refused requests.

Load pattern: part of the fleet is gone, or a burst lasts, and more requests arrive than the
upstreams can serve. Engines serve in order of arrival. A long queue serves as many requests as a
short one, but every answer is late. With a short queue the admitted requests are on time, and the
refused ones receive a retry delay at once. A retried request may wait in a longer queue than a new
one, since a second refusal would leave its caller without an answer.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

FIRST_TRY_WAIT_SHARE = 0.5
"""Share of the target latency that a new request may wait in the queue. The rest is left for the
first token: some 50 ms for a prompt of 450 tokens, more beside other prompts."""
RETRY_WAIT_SHARE = 0.9
"""The same share for a retried request: one more queue place at an engine of 8 slots."""
RETRY_DEADLINE_SHARE = 0.95
"""Share of the route's timeout below which a caller's deadline shows that the request is a retry:
the caller has already waited for the refusal and for the retry delay."""
INITIAL_MEAN: Millis = 400.0
SMOOTHING = 0.1
"""Weight of a new duration in the moving mean, which covers about the last twenty requests."""
MAX_QUEUE = 16
"""Longest queue at one upstream, however short its requests are; servers queue about 24."""
MIN_TO_MEAN_DURATION = 0.5
"""Ratio of the duration of the shortest requests to the mean of their service."""
MIN_RETRY_AFTER: Millis = 300.0
MAX_RETRY_AFTER: Millis = 1_500.0
"""Upper limit of the random delay that spreads the retries of callers refused together. A burst
lasts about two seconds, and callers wait at most a third of their remaining time: 1.6 s of 5."""
OUTAGE_JITTER_SHARE = 0.1
"""Share of the delay that is random for callers that wait for the store."""


class MeanDuration:
    """Moving mean of the time that requests of one service run at an upstream with a free slot."""

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean: Millis = INITIAL_MEAN

    @property
    def value(self) -> Millis:
        """The mean in milliseconds."""
        return self._mean

    def add(self, duration: Millis) -> None:
        """Add the duration of one request."""
        self._mean += (duration - self._mean) * SMOOTHING


def queue_limit(
    *, slots: int, mean_duration: Millis, target_latency: Millis, is_retry: bool
) -> int:
    """Return how many online requests may wait at one upstream beyond its slots.

    Args:
        slots: Slots of the upstream.
        mean_duration: Mean duration of requests of the service.
        target_latency: Target latency of the route.
        is_retry: Whether the request was refused before.
    """
    share = RETRY_WAIT_SHARE if is_retry else FIRST_TRY_WAIT_SHARE
    time_per_free_slot = mean_duration / slots
    if time_per_free_slot <= 0:
        return MAX_QUEUE
    places = int(target_latency * share / time_per_free_slot)
    return max(1 if is_retry else 0, min(MAX_QUEUE, places))


def is_retry_by_deadline(*, deadline: Millis, timeout: Millis) -> bool:
    """Return whether the deadline of a request shows that its caller was refused before."""
    return deadline < timeout * RETRY_DEADLINE_SHARE


def can_finish_in_time(*, time_left: Millis, mean_duration: Millis) -> bool:
    """Return whether a request can possibly end within the remaining time of its caller.

    A request that cannot is refused at once, since it would occupy a slot until it is cut off.
    """
    return time_left >= mean_duration * MIN_TO_MEAN_DURATION


def failover_at(
    *, started: Millis, last_activity_at: Millis, silence: Millis, mean_duration: Millis
) -> Millis:
    """Return when a resumable stream without any event yet is moved to another upstream.

    An upstream that sends events of other streams has not stopped: the stream waits for a slot, as
    it would at the end of another queue. If it were moved, it would run at both upstreams and take
    a slot from other requests. Within the mean duration of a stream a slot has become free; if no
    event has arrived by then, the answer must be lost.

    Args:
        started: Time at which the stream was sent.
        last_activity_at: Time at which the upstream last sent anything.
        silence: Longest time for which a working upstream sends nothing.
        mean_duration: Mean duration of streams of the service.
    """
    latest = started + max(silence, mean_duration)
    return min(latest, max(started, last_activity_at) + silence)


def retry_delay_in_outage(draw: float, time_left: Millis) -> Millis:
    """Return the retry delay for a caller whose call needs a store that does not answer.

    Load pattern: the store is unavailable for some seconds, and callers retry only a few times.
    With short delays they would use up their retries before the store is back. Each retry is
    therefore as late as the caller accepts, which is a third of its remaining time, and the last
    retry comes near the end of that time.

    Args:
        draw: Random number from 0 to 1 that spreads the callers.
        time_left: Remaining time of the caller.
    """
    latest = max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, time_left / 3.0))
    return latest * (1.0 - OUTAGE_JITTER_SHARE * draw)


def retry_delay(draw: float, time_left: Millis) -> Millis:
    """Return a random retry delay for a refused caller.

    The delay is between `MIN_RETRY_AFTER` and a third of the remaining time, at most
    `MAX_RETRY_AFTER`. It is `MIN_RETRY_AFTER` if a third of the remaining time is shorter.

    Args:
        draw: Random number from 0 to 1 that spreads the callers.
        time_left: Remaining time of the caller.
    """
    latest = max(MIN_RETRY_AFTER, min(MAX_RETRY_AFTER, time_left / 3.0))
    return MIN_RETRY_AFTER + draw * (latest - MIN_RETRY_AFTER)
