"""Finds the jobs that are at risk of missing their due time.

Load pattern: several jobs are due at the same hour and their share of the credits is too small.
Checked one by one, each of ten such jobs seems to have enough time until it is too late for all of
them. Therefore all items due by an instant are added up and compared with what half of the current
rate can finish by then.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from carobspool_core._clock import Millis
from carobspool_core._dispatch_jobs import QueuedJob

URGENT_SHARE = 0.5
"""Part of the credits that urgent jobs may use. The other jobs keep at least the other half of the
credits, so none is starved."""
CHECK_INTERVAL: Millis = 5_000.0
"""Time between two checks of all due times. A check of 18,000 jobs takes about 10 ms, and a new
risk is detected after at most 5 s of work."""
MIN_RATE_SPAN: Millis = 1_000.0
"""Shortest time over which a sample of the credit rate is taken."""
RATE_SMOOTHING = 0.05
"""Weight of a new sample in the moving average. The last 14 s have half of the weight, which is
slightly longer than one online burst and the pause after it."""


class DueTimeMonitor:
    """Measures this entry's credit rate and queues the jobs that need more than their share.

    Args:
        now: Current instant.

    Since 0.1.
    """

    __slots__ = ("_checked_at", "_pending", "_rate", "_rate_at", "_urgent")

    def __init__(self, now: Millis) -> None:
        self._urgent: list[tuple[Millis, int, QueuedJob]] = []
        self._rate = 0.0
        self._rate_at = now
        self._pending = 0
        self._checked_at = now

    def enqueue(self, job: QueuedJob) -> None:
        """Queue an urgent job that has ready items and is not queued yet."""
        if not job.urgent or job.urgent_queued or not job.ready_items:
            return
        job.urgent_queued = True
        heapq.heappush(self._urgent, (job.due_at, job.serial, job))

    def next_urgent(self, now: Millis) -> QueuedJob | None:
        """Return the urgent job that is due first, among those with ready items."""
        while self._urgent:
            due, _, job = self._urgent[0]
            if job.ready_items and not job.removed and now < due:
                return job
            heapq.heappop(self._urgent)
            job.urgent_queued = False
        return None

    def refresh(self, jobs: Iterable[QueuedJob], entry_count: int, now: Millis) -> None:
        """Find the urgent jobs again, unless the last check is less than an interval ago.

        A job is urgent when its due time is no later than the last due time at risk. Jobs past
        their due time are left out.
        """
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        rate = self._rate * entry_count * URGENT_SHARE
        not_yet_due = sorted((job for job in jobs if job.due_at > now), key=_due)
        items = 0
        at_risk = 0
        for position, job in enumerate(not_yet_due, start=1):
            items += job.items_left
            if rate and items > rate * (job.due_at - now):
                at_risk = position
        self._urgent = []
        for position, job in enumerate(not_yet_due):
            job.urgent = position < at_risk
            job.urgent_queued = False
            self.enqueue(job)

    def record_dispatched(self, items: int, now: Millis, *, credit_limited: bool) -> None:
        """Update the credit rate after a dispatch.

        Args:
            items: Number of items dispatched.
            now: Current instant.
            credit_limited: Whether all credits were used. Otherwise the ready items ran out, and
                the rate of dispatched items is no measure of the credit rate.
        """
        if not credit_limited:
            self._pending = 0
            self._rate_at = now
            return
        self._pending += items
        span = now - self._rate_at
        if span < MIN_RATE_SPAN:
            return
        sample = self._pending / span
        self._rate += RATE_SMOOTHING * (sample - self._rate) if self._rate else sample
        self._pending = 0
        self._rate_at = now


def _due(job: QueuedJob) -> Millis:
    return job.due_at
