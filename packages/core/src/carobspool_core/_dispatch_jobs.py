"""Jobs and organisations as dispatch keeps them."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from carobspool_core._clock import Millis


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


class Job:
    """A job with the items that are ready here.

    Attributes:
        offered: Items ready to be taken.
        time: Virtual time within the organisation: items taken, without those of idle times.
        queued: Whether it stands in its organisation's queue.
        serial: Order of creation; tells apart a job removed and its successor of the same id.
        removed: Whether it was removed; it may still stand in a queue.
        urgent: Whether its due time, or a later one, is in danger.
        urgent_queued: Whether it stands in the queue of urgent jobs.
    """

    __slots__ = (
        "due",
        "id",
        "items_left",
        "offered",
        "organisation",
        "queued",
        "removed",
        "serial",
        "time",
        "urgent",
        "urgent_queued",
    )

    def __init__(self, share: JobShare, organisation: Organisation, serial: int) -> None:
        self.id = share.id
        self.serial = serial
        self.organisation = organisation
        self.due = share.due
        self.items_left = share.items_left
        self.offered = 0
        self.time = 0.0
        self.queued = False
        self.removed = False
        self.urgent = False
        self.urgent_queued = False

    def take(self) -> None:
        """Take one item."""
        self.offered -= 1
        self.items_left = max(0, self.items_left - 1)
        self.time += 1.0


class Organisation:
    """The jobs of an organisation, the one furthest behind first.

    Attributes:
        jobs: Number of its jobs.
        serial: Order of creation.
        time: Virtual time among the organisations: items taken divided by the weight.
        queued: Whether it stands in the queue of organisations.
    """

    __slots__ = ("_ready", "_turn", "jobs", "name", "queued", "serial", "time", "weight")

    def __init__(self, name: str, weight: float, serial: int) -> None:
        self._ready: list[tuple[float, int, Job]] = []
        self._turn = 0.0
        self.name = name
        self.serial = serial
        self.weight = weight
        self.time = 0.0
        self.queued = False
        self.jobs = 0

    @property
    def may_have_ready(self) -> bool:
        """Whether jobs are queued; those without items are found out when it is their turn."""
        return bool(self._ready)

    def queue(self, job: Job) -> None:
        """Queue a job that has items ready, unless it is queued."""
        if job.queued or not job.offered:
            return
        # A job that had nothing ready must not catch up for that time: it would shut the others
        # out until it had.
        job.time = max(job.time, self._turn)
        job.queued = True
        heapq.heappush(self._ready, (job.time, job.serial, job))

    def pop(self) -> Job | None:
        """Remove and return the next job with items ready."""
        while self._ready:
            time, _, job = heapq.heappop(self._ready)
            if job.removed or not job.offered:
                job.queued = False
                continue
            if time < job.time:
                # Items taken as urgent have moved it on since it was queued.
                heapq.heappush(self._ready, (job.time, job.serial, job))
                continue
            job.queued = False
            self._turn = job.time
            return job
        return None
