"""Batch dispatch at an entry: assigns each granted credit to a job.

Load pattern: thousands of jobs of very unequal size wait for credits, which arrive a few at a time
between bursts of online work. In order of arrival, a job of 560,000 items would delay a job of 20
items by hours. With fair shares alone, a job due in a few hours would get no more credits than a
job due next week.

Credits are assigned by stride scheduling: each item advances the virtual time of its organisation
by 1 / weight, and the organisation with the lowest virtual time is next. Jobs within an
organisation are scheduled in the same way. Up to half of the credits go to jobs that are at risk of
missing their due time (see ``_due_times``), in order of due time. These credits are not charged to
the organisation; otherwise its other jobs would get fewer.

An entry uses one dispatcher for each target, since credits are granted by target.
"""

from __future__ import annotations

import heapq
import itertools

from carobspool_core._clock import Clock, Millis
from carobspool_core._dispatch_jobs import DispatchJob, OrganisationQueue, QueuedJob
from carobspool_core._due_times import URGENT_SHARE, DueTimeMonitor


class Dispatcher:
    """Assigns the credits of one target to the jobs that have items ready at this entry.

    Args:
        clock: The process's clock.
        entry_count: Number of entries that work on the same jobs; the rate at which jobs progress
            is this entry's rate times this number.

    Since 0.1.
    """

    __slots__ = (
        "_due_times",
        "_entry_count",
        "_jobs",
        "_organisations",
        "_ready",
        "_serials",
        "_virtual_time",
        "_urgent_credits",
    )

    def __init__(self, clock: Clock, entry_count: int) -> None:
        self._entry_count = entry_count
        self._jobs: dict[str, QueuedJob] = {}
        self._organisations: dict[str, OrganisationQueue] = {}
        self._ready: list[tuple[float, int, OrganisationQueue]] = []
        self._serials = itertools.count()
        self._virtual_time = 0.0
        self._urgent_credits = 0.0
        self._due_times = DueTimeMonitor(clock.now())

    @property
    def entry_count(self) -> int:
        """Number of entries that work on the same jobs."""
        return self._entry_count

    @entry_count.setter
    def entry_count(self, count: int) -> None:
        self._entry_count = max(1, count)

    def add_job(self, job: DispatchJob) -> None:
        """Add a job that has no ready items yet, or update a job that was added before."""
        existing = self._jobs.get(job.id)
        if existing is not None:
            existing.items_left = job.items_left
            existing.due_at = job.due_at
            existing.organisation.weight = job.weight
            return
        organisation = self._organisations.get(job.organisation)
        if organisation is None:
            organisation = OrganisationQueue(job.organisation, job.weight, next(self._serials))
            self._organisations[job.organisation] = organisation
        organisation.weight = job.weight
        organisation.job_count += 1
        self._jobs[job.id] = QueuedJob(job, organisation, next(self._serials))

    def remove_job(self, id: str) -> None:
        """Remove a job that finished or was cancelled; its ready items are not dispatched."""
        job = self._jobs.pop(id, None)
        if job is None:
            return
        job.removed = True
        job.organisation.job_count -= 1
        if not job.organisation.job_count:
            self._organisations.pop(job.organisation.name, None)

    def add_ready_items(self, job_id: str, count: int) -> None:
        """Add ``count`` items of a job that are ready to be run at this entry."""
        job = self._jobs.get(job_id)
        if job is None or count <= 0:
            return
        job.ready_items += count
        self._enqueue(job)
        self._due_times.enqueue(job)

    def assign_credits(self, credits: int, now: Millis) -> list[str]:
        """Assign up to ``credits`` credits to jobs, one item for each credit.

        Returns:
            One job id for each assigned credit, in order of dispatch; fewer than ``credits`` when
            no more items are ready.
        """
        self._due_times.refresh(self._jobs.values(), self._entry_count, now)
        dispatched: list[str] = []
        # The remainder carries over to the next call: credits may arrive singly, and half of a
        # single credit would round to 0 or to 1.
        earned = self._urgent_credits + credits * URGENT_SHARE
        self._urgent_credits = min(earned, max(1.0, float(credits)))
        while len(dispatched) < credits:
            job = self._due_times.next_urgent(now) if self._urgent_credits >= 1.0 else None
            if job is not None:
                self._urgent_credits -= 1.0
                job.consume_item()
            else:
                job = self._dispatch_by_share()
            if job is None:
                break
            dispatched.append(job.id)
        self._due_times.record_dispatched(
            len(dispatched), now, credit_limited=len(dispatched) == credits
        )
        return dispatched

    def _dispatch_by_share(self) -> QueuedJob | None:
        """Consume an item of the job that is next by fair shares, and return that job."""
        while self._ready:
            virtual_time, _, organisation = heapq.heappop(self._ready)
            organisation.queued = False
            job = organisation.pop_job()
            if job is None:
                continue
            self._virtual_time = virtual_time
            organisation.virtual_time = virtual_time + 1.0 / organisation.weight
            job.consume_item()
            self._enqueue(job)
            self._enqueue_organisation(organisation)
            return job
        return None

    def _enqueue(self, job: QueuedJob) -> None:
        job.organisation.enqueue(job)
        self._enqueue_organisation(job.organisation)

    def _enqueue_organisation(self, organisation: OrganisationQueue) -> None:
        if organisation.queued or not organisation.has_queued_jobs:
            return
        # As with jobs, an organisation that was idle starts at the current virtual time and gets
        # no credits for its idle time.
        organisation.virtual_time = max(organisation.virtual_time, self._virtual_time)
        organisation.queued = True
        heapq.heappush(self._ready, (organisation.virtual_time, organisation.serial, organisation))


def make_dispatcher(clock: Clock, *, entry_count: int = 1) -> Dispatcher:
    """Return a dispatcher without jobs.

    Args:
        clock: The process's clock.
        entry_count: Number of entries that work on the same jobs.

    Since 0.1.
    """
    return Dispatcher(clock, entry_count)
