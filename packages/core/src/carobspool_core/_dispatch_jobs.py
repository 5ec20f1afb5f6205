"""Jobs and organisations in the queues of batch dispatch."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from carobspool_core._clock import Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchJob:
    """The data of a job that dispatch needs.

    Attributes:
        id: The job's id.
        organisation: Organisation that owns the job.
        weight: Weight of the organisation among all organisations.
        due_at: Instant at which results are due, by the process's clock.
        items_left: Number of unfinished items, over all entries.
    """

    id: str
    organisation: str
    weight: float
    due_at: Millis
    items_left: int


class QueuedJob:
    """A job and the number of its items that are ready at this entry.

    Attributes:
        ready_items: Number of items ready to be dispatched.
        virtual_time: Virtual time within the organisation. It advances by 1 for each dispatched
            item and skips the time in which the job had no ready items.
        queued: Whether the job is in its organisation's queue.
        serial: Order of creation; distinguishes a removed job from a later job with the same id.
        removed: Whether the job was removed; a removed job may still be in a queue.
        urgent: Whether the due time of this job, or of a job due later, is at risk.
        urgent_queued: Whether the job is in the queue of urgent jobs.
    """

    __slots__ = (
        "due_at",
        "id",
        "items_left",
        "organisation",
        "queued",
        "ready_items",
        "removed",
        "serial",
        "urgent",
        "urgent_queued",
        "virtual_time",
    )

    def __init__(self, job: DispatchJob, organisation: OrganisationQueue, serial: int) -> None:
        self.id = job.id
        self.serial = serial
        self.organisation = organisation
        self.due_at = job.due_at
        self.items_left = job.items_left
        self.ready_items = 0
        self.virtual_time = 0.0
        self.queued = False
        self.removed = False
        self.urgent = False
        self.urgent_queued = False

    def consume_item(self) -> None:
        """Count one ready item as dispatched."""
        self.ready_items -= 1
        self.items_left = max(0, self.items_left - 1)
        self.virtual_time += 1.0


class OrganisationQueue:
    """The jobs of an organisation in order of virtual time, lowest first.

    Attributes:
        job_count: Number of jobs of the organisation.
        serial: Order of creation.
        virtual_time: Virtual time among the organisations: items dispatched, divided by the weight.
        queued: Whether this organisation is in the dispatcher's queue of organisations.
    """

    __slots__ = (
        "_ready",
        "_virtual_time",
        "job_count",
        "name",
        "queued",
        "serial",
        "virtual_time",
        "weight",
    )

    def __init__(self, name: str, weight: float, serial: int) -> None:
        self._ready: list[tuple[float, int, QueuedJob]] = []
        self._virtual_time = 0.0
        self.name = name
        self.serial = serial
        self.weight = weight
        self.virtual_time = 0.0
        self.queued = False
        self.job_count = 0

    @property
    def has_queued_jobs(self) -> bool:
        """Whether jobs are queued; `pop_job` skips those that have no ready items any more."""
        return bool(self._ready)

    def enqueue(self, job: QueuedJob) -> None:
        """Queue a job that has ready items and is not queued yet."""
        if job.queued or not job.ready_items:
            return
        # A job must not be compensated for the time in which it had no ready items: it would
        # starve the other jobs until it had caught up.
        job.virtual_time = max(job.virtual_time, self._virtual_time)
        job.queued = True
        heapq.heappush(self._ready, (job.virtual_time, job.serial, job))

    def pop_job(self) -> QueuedJob | None:
        """Remove and return the next job that has ready items."""
        while self._ready:
            virtual_time, _, job = heapq.heappop(self._ready)
            if job.removed or not job.ready_items:
                job.queued = False
                continue
            if virtual_time < job.virtual_time:
                # Items dispatched as urgent have advanced the job since it was queued.
                heapq.heappush(self._ready, (job.virtual_time, job.serial, job))
                continue
            job.queued = False
            self._virtual_time = job.virtual_time
            return job
        return None
