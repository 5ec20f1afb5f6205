"""Which batch items run first, and how much room each may take.

Load pattern: after a burst of jobs, or a loss of engines or of everything, more items wait than can
be done by when they are due. Running them strictly by that time makes each of them a little late,
one after the other, and serves nobody. An item that can no longer be on time therefore waits for
those that still can; one that is running out of time takes more and more of the room that is
otherwise left for online requests.

A late item that may soon be given up goes before those that have time to spare. It never goes
before one that would be late for it: under lasting overload each of them would only take the
other's place, and all of them would be late.
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
"""Share of a job's retention after which a late item waits no longer for those with time to spare.
Once the retention is over it may be given up, and every accepted item is to finish: 36 s of 60
leave time for four runs."""
LATEST_ON_TIME: Millis = 2_000_000_000.0
"""Turn of an item that is due in 23 days or later; turns before it are times until due."""
LATE_TURN: Millis = 3_000_000_000.0
"""Turn of a late item that is due just now; one that was due before comes before it."""
RESCUE_SPREAD: Millis = 1_000.0
"""Turns over which rescued items are spread, the older ones first."""
_WEIGHT = 0.1


class BatchUrgency(IntEnum):
    """How an item stands against the time at which its job is due; higher runs first."""

    LATE = 0
    ORDINARY = 1
    DELAYED = 2
    RESCUED = 3
    URGENT = 4


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
    slack = completion_target - age - remaining
    if slack < 0:
        is_rescued = retention > 0 and age >= retention * RESCUE_SHARE
        return BatchUrgency.RESCUED if is_rescued else BatchUrgency.LATE
    if slack < completion_target * URGENT_SHARE:
        return BatchUrgency.URGENT
    if slack < completion_target * DELAYED_SHARE:
        return BatchUrgency.DELAYED
    return BatchUrgency.ORDINARY


def turn_of(
    urgency: BatchUrgency, *, age: Millis, completion_target: Millis, remaining: Millis
) -> Millis:
    """Return where an item stands among those of all entries; the lowest turn goes first.

    Turns go down as time passes, all alike.

    Args:
        urgency: How the item stands.
        age: Time since its job was submitted.
        completion_target: Time from the submission to when it is due.
        remaining: How long the item will probably run.
    """
    until_due = completion_target - age
    if urgency is BatchUrgency.LATE:
        return max(LATEST_ON_TIME + 1.0, LATE_TURN + until_due)
    if urgency is BatchUrgency.RESCUED:
        urgent_before = completion_target * URGENT_SHARE + remaining
        return urgent_before + RESCUE_SPREAD * completion_target / max(age, completion_target)
    return min(LATEST_ON_TIME, max(0.0, until_due))
