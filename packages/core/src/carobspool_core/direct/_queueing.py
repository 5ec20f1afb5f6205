"""How long a queue may grow before a request is refused.

Load pattern: part of the fleet is gone, or a burst lasts, and more requests come than the upstreams
can serve. Engines serve in order of arrival. With a long queue every answer is late, as many as
with a short one and none sooner; with a short one those that are admitted are on time, and the rest
learn at once when to come back. A caller that has come back once goes before one that is new, since
a second refusal leaves it with nothing.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

NEW_SHARE = 0.5
"""Share of the target latency that a new request may wait in the queue. The rest is for the first
token: some 50 ms for a prompt of 450 tokens, more beside other prompts."""
RETURNED_SHARE = 0.9
"""The same for a request that was refused before: one place more at an engine of 8 slots."""
RETURNED_BELOW = 0.95
"""Share of the route's time limit below which the caller's deadline shows that it has been here
before: it has waited at least for its answer and for what it was told to wait."""
FIRST_GUESS: Millis = 400.0
WEIGHT = 0.1
"""Weight of a new duration in the mean: the last twenty requests or so decide."""
MAX_QUEUE = 16
"""Longest queue at one upstream however short its requests are; servers queue about 24."""
SHORTEST_TO_MEAN = 0.5
"""Duration of the shortest requests against the mean of their service."""
SHORTEST_RETURN: Millis = 300.0
LONGEST_RETURN: Millis = 1_500.0
"""Callers that are refused together return spread over this time; a burst lasts about two seconds,
and callers wait for a third of the time that they have left at most, which is 1.6 s of 5."""
OUTAGE_SPREAD = 0.1
"""Share of the pause by which callers that wait for the store are spread."""


class MeanDuration:
    """How long requests of one service run at an upstream that has a free slot."""

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean: Millis = FIRST_GUESS

    @property
    def value(self) -> Millis:
        """The mean in milliseconds."""
        return self._mean

    def add(self, duration: Millis) -> None:
        """Take the duration of one request."""
        self._mean += (duration - self._mean) * WEIGHT


def queue_limit(
    *, slots: int, mean_duration: Millis, target_latency: Millis, returned: bool
) -> int:
    """Return how many online requests may wait at one upstream beyond its slots."""
    share = RETURNED_SHARE if returned else NEW_SHARE
    time_for_a_slot = mean_duration / slots
    if time_for_a_slot <= 0:
        return MAX_QUEUE
    places = int(target_latency * share / time_for_a_slot)
    return max(1 if returned else 0, min(MAX_QUEUE, places))


def has_returned(*, deadline: Millis, timeout: Millis) -> bool:
    """Whether a request's deadline shows that its caller was refused before."""
    return deadline < timeout * RETURNED_BELOW


def can_end(*, time_left: Millis, mean_duration: Millis) -> bool:
    """Return whether a request may end within the time that its caller has left.

    One that cannot is refused at once: its slot would be taken from others until it is cut off.
    """
    return time_left >= mean_duration * SHORTEST_TO_MEAN


def given_up_at(
    *, started: Millis, heard: Millis, silence: Millis, mean_duration: Millis
) -> Millis:
    """Return when a stream that may be resumed, and has not begun, goes on at another upstream.

    An upstream that sends events of other streams has not stopped: the stream waits for a slot, as
    it would at the end of another queue. Sent on, it runs there too and takes a place from others.
    After the mean duration of a stream a slot has come free, and its answer must be lost.

    Args:
        started: When it was sent.
        heard: When the upstream has last sent anything.
        silence: How long an upstream that works is silent at most.
        mean_duration: How long streams of the service run.
    """
    latest = started + max(silence, mean_duration)
    return min(latest, max(started, heard) + silence)


def return_after_outage(draw: float, time_left: Millis) -> Millis:
    """Return when a caller is to come back whose call needs a store that answers nobody.

    Load pattern: the store is away for some seconds, and callers try a few times only. Told to come
    back soon, they have spent their tries before it is back; so each try is as late as the caller
    waits, a third of the time that it has left, and the last one comes near the end of it.

    Args:
        draw: A random number from 0 to 1, which spreads the callers.
        time_left: What is left of the caller's time.
    """
    latest = max(SHORTEST_RETURN, min(LONGEST_RETURN, time_left / 3.0))
    return latest * (1.0 - OUTAGE_SPREAD * draw)


def return_after(draw: float, time_left: Millis) -> Millis:
    """Return when a refused caller is to come back.

    Args:
        draw: A random number from 0 to 1, which spreads the callers.
        time_left: What is left of the caller's time.
    """
    latest = max(SHORTEST_RETURN, min(LONGEST_RETURN, time_left / 3.0))
    return SHORTEST_RETURN + draw * (latest - SHORTEST_RETURN)
