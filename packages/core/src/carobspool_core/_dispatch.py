"""Batch dispatch at an entry: which job the next granted credit goes to.

Load pattern: thousands of jobs of very unequal size wait for credits that come in handfuls, between
bursts of online work. In order of arrival a job of 560,000 items holds up one of 20 for hours; by
shares alone a job due at dawn gets no more than one due next week.

Credits go by stride scheduling: each organisation advances a virtual time by 1 / weight for an
item, and the one furthest behind is next; within it jobs take turns the same way. Up to half of
the credits go to jobs whose due time is in danger (``_due_times``), the earliest due first. These
are not charged to the organisation, or its other jobs would pay for them.

An entry uses one dispatcher for each target, since credits are granted by target.
"""

from __future__ import annotations

import heapq
import itertools

from carobspool_core._clock import Clock, Millis
from carobspool_core._dispatch_jobs import Job, JobShare, Organisation
from carobspool_core._due_times import URGENT_SHARE, DueTimes


class Dispatcher:
    """Jobs of one target with items ready at this entry.

    Args:
        clock: The process's clock.
        entries: Entries that work on the same jobs; scales the rate with which they finish.

    Since 0.1.
    """

    __slots__ = (
        "_due_times",
        "_entries",
        "_jobs",
        "_organisations",
        "_ready",
        "_serials",
        "_time",
        "_urgent_credits",
    )

    def __init__(self, clock: Clock, entries: int) -> None:
        self._entries = entries
        self._jobs: dict[str, Job] = {}
        self._organisations: dict[str, Organisation] = {}
        self._ready: list[tuple[float, int, Organisation]] = []
        self._serials = itertools.count()
        self._time = 0.0
        self._urgent_credits = 0.0
        self._due_times = DueTimes(clock.now())

    @property
    def entries(self) -> int:
        """Entries that work on the same jobs."""
        return self._entries

    @entries.setter
    def entries(self, count: int) -> None:
        self._entries = max(1, count)

    def add_job(self, share: JobShare) -> None:
        """Add a job without items ready, or replace what is known of one."""
        known = self._jobs.get(share.id)
        if known is not None:
            known.items_left = share.items_left
            known.due = share.due
            known.organisation.weight = share.weight
            return
        organisation = self._organisations.get(share.organisation)
        if organisation is None:
            organisation = Organisation(share.organisation, share.weight, next(self._serials))
            self._organisations[share.organisation] = organisation
        organisation.weight = share.weight
        organisation.jobs += 1
        self._jobs[share.id] = Job(share, organisation, next(self._serials))

    def remove_job(self, id: str) -> None:
        """Forget a job that finished or was cancelled; nothing is taken from it any more."""
        job = self._jobs.pop(id, None)
        if job is None:
            return
        job.removed = True
        job.organisation.jobs -= 1
        if not job.organisation.jobs:
            self._organisations.pop(job.organisation.name, None)

    def offer(self, job_id: str, count: int) -> None:
        """Say that ``count`` more items of a job are ready here to be run."""
        job = self._jobs.get(job_id)
        if job is None or count <= 0:
            return
        job.offered += count
        self._queue(job)
        self._due_times.queue(job)

    def take(self, credits: int, now: Millis) -> list[str]:
        """Spend up to ``credits`` credits.

        Returns:
            Ids of the jobs to take one item from, in order; shorter when nothing more is ready.
        """
        self._due_times.review(self._jobs.values(), self._entries, now)
        taken: list[str] = []
        # Kept over calls: credits also come one by one, and half of one is none or all.
        earned = self._urgent_credits + credits * URGENT_SHARE
        self._urgent_credits = min(earned, max(1.0, float(credits)))
        while len(taken) < credits:
            job = self._due_times.next(now) if self._urgent_credits >= 1.0 else None
            if job is not None:
                self._urgent_credits -= 1.0
                job.take()
            else:
                job = self._take_fair()
            if job is None:
                break
            taken.append(job.id)
        self._due_times.note_taken(len(taken), now, limited=len(taken) == credits)
        return taken

    def _take_fair(self) -> Job | None:
        while self._ready:
            time, _, organisation = heapq.heappop(self._ready)
            organisation.queued = False
            job = organisation.pop()
            if job is None:
                continue
            self._time = time
            organisation.time = time + 1.0 / organisation.weight
            job.take()
            self._queue(job)
            self._queue_organisation(organisation)
            return job
        return None

    def _queue(self, job: Job) -> None:
        job.organisation.queue(job)
        self._queue_organisation(job.organisation)

    def _queue_organisation(self, organisation: Organisation) -> None:
        if organisation.queued or not organisation.may_have_ready:
            return
        # Like a job, an organisation that was idle goes on from the present time.
        organisation.time = max(organisation.time, self._time)
        organisation.queued = True
        heapq.heappush(self._ready, (organisation.time, organisation.serial, organisation))


def make_dispatcher(clock: Clock, *, entries: int = 1) -> Dispatcher:
    """Return a dispatcher without jobs.

    Args:
        clock: The process's clock.
        entries: Entries that work on the same jobs.

    Since 0.1.
    """
    return Dispatcher(clock, entries)
