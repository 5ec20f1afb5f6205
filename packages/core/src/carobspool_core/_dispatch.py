"""Batch dispatch at an entry: which job the next granted credit goes to.

Load pattern: thousands of jobs of very unequal size wait for credits that come in handfuls, between
bursts of online work. In order of arrival a job of 560,000 items holds up one of 20 for hours; by
shares alone a job due at dawn gets no more than one due next week.

Credits go by stride scheduling: each organisation advances a virtual time by 1 / weight for an
item, and the one furthest behind is next; within it jobs take turns the same way. Up to half of
the credits go to jobs whose due time is in danger, the earliest due first. These credits are not
charged to the organisation, or its other jobs would pay for them.

A due time is in danger when all that is due until then would take longer than the time left, at
half of the present rate. Judged one by one, ten jobs due at the same hour each seem to have time
until it is too late for all of them.

An entry uses one dispatcher for each target, since credits are granted by target.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from carobspool_core._clock import Clock, Millis

URGENT_SHARE = 0.5
"""Part of the credits that jobs in danger may take: fairness halves at worst, none is starved."""
REVIEW_INTERVAL: Millis = 5_000.0
"""Time between looks at all due times: at 18,000 jobs one takes some 10 ms, and the danger that
arises meanwhile is 5 s of work."""
MIN_RATE_SPAN: Millis = 1_000.0
"""Time over which the rate of credits is averaged at least."""
RATE_SMOOTHING = 0.05
"""Half of the weight lies on the last 14 s, a little more than one online burst and its pause."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobShare:
    """What dispatch needs to know of a job.

    Attributes:
        id: The job's id.
        organisation: Whose it is.
        weight: The organisation's share.
        due: Instant at which results are due, by the process's clock.
        items_left: Items not finished yet, over all entries.
    """

    id: str
    organisation: str
    weight: float
    due: Millis
    items_left: int


class _Job:
    __slots__ = (
        "due",
        "id",
        "items_left",
        "offered",
        "organisation",
        "queued",
        "removed",
        "time",
        "urgent",
        "urgent_queued",
    )

    def __init__(self, share: JobShare, organisation: _Organisation) -> None:
        self.id = share.id
        self.organisation = organisation
        self.due = share.due
        self.items_left = share.items_left
        self.offered = 0
        self.time = 0.0
        self.urgent = False
        self.urgent_queued = False
        self.queued = False
        self.removed = False


class _Organisation:
    __slots__ = ("jobs", "name", "queued", "ready", "time", "turn", "weight")

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.time = 0.0
        self.turn = 0.0
        self.queued = False
        self.jobs = 0
        self.ready: list[tuple[float, str, _Job]] = []


class Dispatcher:
    """Jobs of one target with items ready at this entry.

    Args:
        clock: The process's clock.
        entries: Entries that work on the same jobs; scales the rate with which they finish.

    Since 0.1.
    """

    __slots__ = (
        "_clock",
        "_entries",
        "_jobs",
        "_organisations",
        "_pending",
        "_rate",
        "_rate_at",
        "_reviewed_at",
        "_ready",
        "_time",
        "_urgent",
    )

    def __init__(self, clock: Clock, entries: int) -> None:
        self._clock = clock
        self._entries = entries
        self._jobs: dict[str, _Job] = {}
        self._organisations: dict[str, _Organisation] = {}
        self._ready: list[tuple[float, str, _Organisation]] = []
        self._urgent: list[tuple[Millis, str, _Job]] = []
        self._time = 0.0
        self._rate = 0.0
        self._reviewed_at = clock.now()
        self._rate_at = clock.now()
        self._pending = 0

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
            organisation = _Organisation(share.organisation, share.weight)
            self._organisations[share.organisation] = organisation
        organisation.weight = share.weight
        organisation.jobs += 1
        self._jobs[share.id] = _Job(share, organisation)

    def remove_job(self, id: str) -> None:
        """Forget a job that finished or was cancelled; nothing is taken from it any more."""
        job = self._jobs.pop(id, None)
        if job is None:
            return
        job.removed = True
        job.offered = 0
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
        self._queue_urgent(job)

    def take(self, credits: int, now: Millis) -> list[str]:
        """Spend up to ``credits`` credits.

        Returns:
            Ids of the jobs to take one item from, in order; shorter when nothing more is ready.
        """
        if now - self._reviewed_at >= REVIEW_INTERVAL:
            self._review(now)
        taken: list[str] = []
        urgent_left = int(credits * URGENT_SHARE + 0.5)
        while len(taken) < credits:
            job = self._pop_urgent(now) if urgent_left else None
            if job is not None:
                urgent_left -= 1
            else:
                job = self._pop_fair()
            if job is None:
                break
            taken.append(job.id)
        self._note_rate(len(taken), now, limited=len(taken) == credits)
        return taken

    def _pop_fair(self) -> _Job | None:
        while self._ready:
            time, _, organisation = heapq.heappop(self._ready)
            organisation.queued = False
            job = _first_ready(organisation)
            if job is None:
                continue
            self._time = time
            organisation.turn = job.time
            organisation.time = time + 1.0 / organisation.weight
            _charge(job)
            self._queue(job)
            self._queue_organisation(organisation)
            return job
        return None

    def _queue(self, job: _Job) -> None:
        if job.queued or not job.offered:
            return
        organisation = job.organisation
        # A job that had nothing ready must not catch up for that time: it would shut the others
        # out until it had.
        job.time = max(job.time, organisation.turn)
        job.queued = True
        heapq.heappush(organisation.ready, (job.time, job.id, job))
        self._queue_organisation(organisation)

    def _queue_organisation(self, organisation: _Organisation) -> None:
        if organisation.queued or not organisation.ready:
            return
        organisation.time = max(organisation.time, self._time)
        organisation.queued = True
        heapq.heappush(self._ready, (organisation.time, organisation.name, organisation))

    def _pop_urgent(self, now: Millis) -> _Job | None:
        while self._urgent:
            due, _, job = self._urgent[0]
            if job.removed or not job.offered or now >= due:
                heapq.heappop(self._urgent)
                job.urgent_queued = False
                continue
            _charge(job)
            return job
        return None

    def _queue_urgent(self, job: _Job) -> None:
        if not job.urgent or job.urgent_queued or not job.offered:
            return
        job.urgent_queued = True
        heapq.heappush(self._urgent, (job.due, job.id, job))

    def _review(self, now: Millis) -> None:
        """Mark the jobs that are due no later than the last due time in danger."""
        self._reviewed_at = now
        rate = self._rate * self._entries * URGENT_SHARE
        ahead = sorted((job for job in self._jobs.values() if job.due > now), key=_due)
        items = 0
        in_danger = 0
        for position, job in enumerate(ahead, start=1):
            items += job.items_left
            if items > rate * (job.due - now):
                in_danger = position
        self._urgent = []
        for position, job in enumerate(ahead):
            job.urgent = bool(rate) and position < in_danger
            job.urgent_queued = False
            self._queue_urgent(job)

    def _note_rate(self, taken: int, now: Millis, *, limited: bool) -> None:
        span = now - self._rate_at
        if not limited:
            # Fewer items than credits: the rate of items says nothing about that of credits.
            span = 0.0
            self._pending = 0
            self._rate_at = now
        self._pending += taken
        if span < MIN_RATE_SPAN:
            return
        sample = self._pending / span
        self._rate += RATE_SMOOTHING * (sample - self._rate) if self._rate else sample
        self._pending = 0
        self._rate_at = now


def _due(job: _Job) -> Millis:
    return job.due


def _charge(job: _Job) -> None:
    job.offered -= 1
    job.items_left = max(0, job.items_left - 1)
    job.time += 1.0


def _first_ready(organisation: _Organisation) -> _Job | None:
    while organisation.ready:
        time, _, job = heapq.heappop(organisation.ready)
        if job.removed or not job.offered:
            job.queued = False
            continue
        if time < job.time:
            # Items taken as urgent have moved it on since it was queued.
            heapq.heappush(organisation.ready, (job.time, job.id, job))
            continue
        job.queued = False
        return job
    return None


def make_dispatcher(clock: Clock, *, entries: int = 1) -> Dispatcher:
    """Return a dispatcher without jobs.

    Args:
        clock: The process's clock.
        entries: Entries that work on the same jobs.

    Since 0.1.
    """
    return Dispatcher(clock, entries)
