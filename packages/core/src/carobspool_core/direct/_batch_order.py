"""Start order of batch items, and how much of the online reserve each item may use.

Load pattern: after a burst of jobs, or a loss of engines or of the whole deployment, more items
wait than can finish by their due time. Strict order by due time then makes every item a little
late, one after the other. An item that can no longer be on time therefore waits for the items that
still can be. An item that is running out of time uses more and more of the slots that are otherwise
reserved for online requests.

A late item that may soon be given up starts before items that have time to spare. It never starts
before an item that would become late as a result: under lasting overload the two would only swap
slots, and all items would be late.
"""

from __future__ import annotations

from enum import IntEnum

from carobspool_core._clock import Millis

DELAYED_SLACK_SHARE = 0.6
"""An item is delayed when its slack (time until due, less its run) falls below this share of the
completion target. It has then waited longer than a burst of online requests lasts, so there is more
work than free slots."""
URGENT_SLACK_SHARE = 0.3
"""The same share for urgent items: one more burst of online requests, with the quiet time after
it, would make the item late."""
INITIAL_EVENTS_PER_ITEM = 170.0
INITIAL_EVENT_TIME: Millis = 32.0
"""Estimates until the first items have run: events of an item and time of an event, as on engines
that emit eight tokens at a time."""
MIN_REMAINING_SHARE = 0.1
"""Share of a mean item that is assumed to remain of an item that already exceeds the mean."""
RESCUE_RETENTION_SHARE = 0.6
"""Share of a job's retention after which a late item no longer waits for items with time to spare.
After the retention the item may be given up, but every accepted item should finish: starting at
36 s of 60 leaves time for four runs."""
MAX_ON_TIME_START_ORDER: Millis = 2_000_000_000.0
"""Start order of an item that is due in 23 days or later; lower values are the time until due."""
LATE_START_ORDER_BASE: Millis = 3_000_000_000.0
"""Start order of a late item that is due now; items that were due earlier have lower ones."""
RESCUED_START_ORDER_SPREAD: Millis = 1_000.0
"""Range of start orders over which rescued items are spread, older items first."""
_SMOOTHING = 0.1


class BatchUrgency(IntEnum):
    """Urgency of an item with regard to the due time of its job; higher values start first."""

    LATE = 0
    ORDINARY = 1
    DELAYED = 2
    RESCUED = 3
    URGENT = 4


class ItemDurationEstimate:
    """Moving averages over runs of this entry: events of an item, and time of an event."""

    __slots__ = ("_mean_events", "_mean_event_time")

    def __init__(self) -> None:
        self._mean_events = INITIAL_EVENTS_PER_ITEM
        self._mean_event_time: Millis = INITIAL_EVENT_TIME

    def record_item(self, *, events: int) -> None:
        """Record the number of events of a completed item."""
        self._mean_events += (events - self._mean_events) * _SMOOTHING

    def record_run(self, *, events: int, duration: Millis) -> None:
        """Record the number of events that a run received and its duration."""
        if events > 0:
            self._mean_event_time += (duration / events - self._mean_event_time) * _SMOOTHING

    def estimate_time_of(self, events: int) -> Millis:
        """Estimate how long a run takes to bring a number of events."""
        return events * self._mean_event_time

    def estimate_remaining(self, last_event: int) -> Millis:
        """Estimate how long an item still runs after its event ``last_event``."""
        left = max(self._mean_events - last_event, self._mean_events * MIN_REMAINING_SHARE)
        return left * self._mean_event_time


def urgency_of(
    *, age: Millis, completion_target: Millis, retention: Millis, remaining: Millis
) -> BatchUrgency:
    """Return the urgency of a waiting item.

    Args:
        age: Time since the job was submitted.
        completion_target: Time from the submission to the due time.
        retention: Time from the submission after which the item may be given up; 0 is never.
        remaining: Estimated remaining run time of the item.
    """
    slack = completion_target - age - remaining
    if slack < 0:
        is_rescued = retention > 0 and age >= retention * RESCUE_RETENTION_SHARE
        return BatchUrgency.RESCUED if is_rescued else BatchUrgency.LATE
    if slack < completion_target * URGENT_SLACK_SHARE:
        return BatchUrgency.URGENT
    if slack < completion_target * DELAYED_SLACK_SHARE:
        return BatchUrgency.DELAYED
    return BatchUrgency.ORDINARY


def start_order_of(
    urgency: BatchUrgency, *, age: Millis, completion_target: Millis, remaining: Millis
) -> Millis:
    """Return the sort key of an item among the items of all entries; the lowest one starts first.

    All start orders decrease with time at the same rate.

    Args:
        urgency: Urgency of the item.
        age: Time since the job was submitted.
        completion_target: Time from the submission to the due time.
        remaining: Estimated remaining run time of the item.
    """
    until_due = completion_target - age
    if urgency is BatchUrgency.LATE:
        return max(MAX_ON_TIME_START_ORDER + 1.0, LATE_START_ORDER_BASE + until_due)
    if urgency is BatchUrgency.RESCUED:
        urgent_start_order = completion_target * URGENT_SLACK_SHARE + remaining
        return urgent_start_order + RESCUED_START_ORDER_SPREAD * completion_target / max(
            age, completion_target
        )
    return min(MAX_ON_TIME_START_ORDER, max(0.0, until_due))
