"""All open jobs as one process works on them, and the news of finished chunks."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping

from carobspool_core import ChunkHolder, Clock, Job, JobCounts, Millis, preferred_node
from carobspool_node.jobs._job_work import JobWork
from carobspool_node.jobs._runner_ports import ChunkDone

MAX_EARLY = 1_000
LOOK_AGAIN_INTERVAL: Millis = 10_000.0


class JobWorks:
    """The works by job, and who coordinates them. Belongs to the runner's loop.

    Args:
        holder: This process.
        clock: The process's clock.
        tell_done: Passes a finished chunk to the node that coordinates its job.
    """

    def __init__(
        self, holder: ChunkHolder, clock: Clock, tell_done: Callable[[str, ChunkDone], None]
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._tell_done = tell_done
        self._works: dict[str, JobWork] = {}
        self._live: tuple[str, ...] = ()
        self._lease_holders: tuple[str, ...] = ()
        self._looked_at: Millis = clock.now()
        self._early: deque[ChunkDone] = deque(maxlen=MAX_EARLY)

    @property
    def live(self) -> tuple[str, ...]:
        """Names of the live entries, as of the last round."""
        return self._live

    @property
    def by_job(self) -> Mapping[str, JobWork]:
        """The works of the open jobs."""
        return self._works

    def update(
        self,
        jobs: Iterable[Job],
        live: tuple[str, ...],
        *,
        lease_holders: tuple[str, ...],
        now: Millis,
    ) -> None:
        """Bring works and live entries up to date.

        A leaving entry stops to be live long before it releases its chunks. Looking again only
        when it stops to be live would find them still claimed, and they would wait for the next
        periodic look, up to `LOOK_AGAIN_INTERVAL`; so the end of its lease counts as well.

        Args:
            jobs: The open jobs.
            live: Names of the live entries.
            lease_holders: Names of the entries that may hold claims, leaving ones included.
            now: The clock's instant in milliseconds.
        """
        open_jobs = {job.id: job for job in jobs}
        for job_id, job in open_jobs.items():
            if job_id not in self._works:
                self._works[job_id] = JobWork(job, now)
                self._take_early(job_id)
            self._works[job_id].job = job
        for job_id in [job_id for job_id in self._works if job_id not in open_jobs]:
            del self._works[job_id]
        if live != self._live:
            self._tell_new_coordinators(live)
        elif lease_holders == self._lease_holders and now - self._looked_at < LOOK_AGAIN_INTERVAL:
            return
        self._live = live
        self._lease_holders = lease_holders
        self._looked_at = now
        for work in self._works.values():
            work.look_again()

    def take_done(self, job_id: str, number: int, counts: JobCounts) -> None:
        """Take in that a chunk is done."""
        work = self._works.get(job_id)
        if work is None:
            # A small job can be finished elsewhere before the watch has told of it here.
            self._early.append(ChunkDone(job=job_id, chunk=number, counts=counts))
            return
        work.mark_done(number, counts, self._clock.now())

    def finished_here(self, job_id: str, number: int, counts: JobCounts) -> None:
        """Take in that this process finished a chunk, and tell the job's coordinator."""
        self.take_done(job_id, number, counts)
        work = self._works.get(job_id)
        if work is not None:
            work.mark_finished_here(number, counts)
        coordinator = preferred_node(job_id, self._live)
        if coordinator is not None and coordinator != self._holder.node:
            self._tell_done(coordinator, ChunkDone(job=job_id, chunk=number, counts=counts))

    def _take_early(self, job_id: str) -> None:
        """Take in what was told of a job before the job was known."""
        for done in [done for done in self._early if done.job == job_id]:
            self._early.remove(done)
            self._works[job_id].mark_done(done.chunk, done.counts, self._clock.now())

    def _tell_new_coordinators(self, live: tuple[str, ...]) -> None:
        """Repeat finished chunks to the coordinators that follow those that came or went.

        Entries notice a loss at different times. A chunk finished in between is told to the lost
        coordinator, after the next one has read the chunks, and the job would seem stuck.
        """
        for job_id, work in self._works.items():
            coordinator = preferred_node(job_id, live)
            if coordinator is None or coordinator == self._holder.node:
                continue
            if coordinator == preferred_node(job_id, self._live):
                continue
            for number, counts in work.finished_here.items():
                self._tell_done(coordinator, ChunkDone(job=job_id, chunk=number, counts=counts))
