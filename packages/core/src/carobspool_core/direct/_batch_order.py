"""Which batch items run first, and how much room each may take.

Load pattern: after a burst of jobs, or a loss of engines or of everything, more items wait than can
be done by when they are due. Running them strictly by that time makes each of them a little late,
one after the other, and serves nobody. An item that can no longer be on time therefore waits for
those that still can; one that is running out of time takes more and more of the room that is
otherwise left for online requests.
"""

from __future__ import annotations

from enum import IntEnum

from carobspool_core._clock import Millis

DELAYED_SHARE = 0.6
"""Share of a job's time that an item has left beyond its run when it becomes delayed: it has waited
longer than a burst of online requests lasts, so there is less room than work."""
URGENT_SHARE = 0.3
"""The same for urgent: one burst of online requests with the calm after it would make it late."""
FIRST_EVENTS = 170.0
FIRST_PACE: Millis = 32.0
"""Guesses until the first items have run: events of an item and the time of each, as on engines
that emit eight tokens at a time."""
SHORTEST_SHARE = 0.1
"""Share of a mean item that is expected to be left of one that is longer than the mean already."""
RESCUE_SHARE = 0.6
"""Share of a job's retention after which a late item waits no longer for others. Once the retention
is over it may be given up, and every accepted item is to finish: 36 s of 60 leave time for four
runs."""
_WEIGHT = 0.1


class BatchUrgency(IntEnum):
    """How an item stands against the time at which its job is due; higher runs first."""

    LATE = 0
    ORDINARY = 1
    DELAYED = 2
    URGENT = 3


class ItemPace:
    """How many events items have and how long one takes, by those that ended here."""

    __slots__ = ("_events", "_pace")

    def __init__(self) -> None:
        self._events = FIRST_EVENTS
        self._pace: Millis = FIRST_PACE

    def ended(self, *, events: int) -> None:
        """Take the number of events of a whole item."""
        self._events += (events - self._events) * _WEIGHT

    def ran(self, *, events: int, duration: Millis) -> None:
        """Take a run: how many events came in what time."""
        if events > 0:
            self._pace += (duration / events - self._pace) * _WEIGHT

    def remaining(self, last_event: int) -> Millis:
        """Return how long an item will probably still run after an event."""
        left = max(self._events - last_event, self._events * SHORTEST_SHARE)
        return left * self._pace


def urgency_of(
    *, age: Millis, completion_target: Millis, retention: Millis, remaining: Millis
) -> BatchUrgency:
    """Return how an item that waits now stands.

    Args:
        age: Time since its job was submitted.
        completion_target: Time from the submission to when it is due.
        retention: Time from the submission after which it may be given up; 0 is never.
        remaining: How long the item will probably run.
    """
    if retention and age >= retention * RESCUE_SHARE:
        return BatchUrgency.URGENT
    slack = completion_target - age - remaining
    if slack < 0:
        return BatchUrgency.LATE
    if slack < completion_target * URGENT_SHARE:
        return BatchUrgency.URGENT
    if slack < completion_target * DELAYED_SHARE:
        return BatchUrgency.DELAYED
    return BatchUrgency.ORDINARY
