"""Which jobs are in danger of missing their due time.

Load pattern: jobs due at the same hour whose share of the credits does not suffice. Judged one by
one, ten jobs each seem to have time until it is too late for all of them. So all that is due until
an instant is compared with the time left at half of the present rate.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from carobspool_core._clock import Millis
from carobspool_core._dispatch_jobs import Job

URGENT_SHARE = 0.5
"""Part of the credits that jobs in danger may take: fairness halves at worst, none is starved."""
REVIEW_INTERVAL: Millis = 5_000.0
"""Time between looks at all due times: at 18,000 jobs one takes some 10 ms, and the danger that
arises meanwhile is 5 s of work."""
MIN_RATE_SPAN: Millis = 1_000.0
"""Time over which the rate of credits is averaged at least."""
RATE_SMOOTHING = 0.05
"""Half of the weight lies on the last 14 s, a little more than one online burst and its pause."""


class DueTimes:
    """The rate of this entry's credits and the jobs that need more of them.

    Args:
        now: The instant of the start.

    Since 0.1.
    """

    __slots__ = ("_pending", "_rate", "_rate_at", "_reviewed_at", "_urgent")

    def __init__(self, now: Millis) -> None:
        self._urgent: list[tuple[Millis, int, Job]] = []
        self._rate = 0.0
        self._rate_at = now
        self._pending = 0
        self._reviewed_at = now

    def queue(self, job: Job) -> None:
        """Queue an urgent job that has items ready, unless it is queued."""
        if not job.urgent or job.urgent_queued or not job.offered:
            return
        job.urgent_queued = True
        heapq.heappush(self._urgent, (job.due, job.serial, job))

    def next(self, now: Millis) -> Job | None:
        """Return the urgent job with items ready that is due first."""
        while self._urgent:
            due, _, job = self._urgent[0]
            if job.offered and not job.removed and now < due:
                return job
            heapq.heappop(self._urgent)
            job.urgent_queued = False
        return None

    def review(self, jobs: Iterable[Job], entries: int, now: Millis) -> None:
        """Look at all jobs again when it is time to.

        Urgent are the jobs due no later than the last due time in danger.
        """
        if now - self._reviewed_at < REVIEW_INTERVAL:
            return
        self._reviewed_at = now
        rate = self._rate * entries * URGENT_SHARE
        ahead = sorted((job for job in jobs if job.due > now), key=_due)
        items = 0
        in_danger = 0
        for position, job in enumerate(ahead, start=1):
            items += job.items_left
            if rate and items > rate * (job.due - now):
                in_danger = position
        self._urgent = []
        for position, job in enumerate(ahead):
            job.urgent = position < in_danger
            job.urgent_queued = False
            self.queue(job)

    def note_taken(self, taken: int, now: Millis, *, limited: bool) -> None:
        """Note that credits were spent.

        Args:
            taken: Items taken.
            now: The instant.
            limited: Whether all credits were spent. Otherwise items ran out, and their rate says
                nothing about that of the credits.
        """
        if not limited:
            self._pending = 0
            self._rate_at = now
            return
        self._pending += taken
        span = now - self._rate_at
        if span < MIN_RATE_SPAN:
            return
        sample = self._pending / span
        self._rate += RATE_SMOOTHING * (sample - self._rate) if self._rate else sample
        self._pending = 0
        self._rate_at = now


def _due(job: Job) -> Millis:
    return job.due
