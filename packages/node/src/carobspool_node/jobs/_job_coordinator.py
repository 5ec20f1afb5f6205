"""Coordination of jobs: counting their chunks, sealing cancelled ones, ending them.

The coordinator of a job is the live entry that rendezvous hashing names. Two entries that both
believe to be it do no harm: every step is a conditional write of facts.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from returns.result import Failure, Result

from carobspool_core import (
    ChunkHolder,
    Clock,
    JobCounts,
    JobStatus,
    Millis,
    ObjectStore,
    StoreFailure,
    preferred_node,
    should_write_progress,
    wall_millis,
)
from carobspool_node.jobs._job_ending import (
    StoredJob,
    finish_job,
    probe_chunks,
    seal_chunks,
    write_progress,
)
from carobspool_node.jobs._job_table import JobTable
from carobspool_node.jobs._job_work import JobWork
from carobspool_node.links import Members
from carobspool_node.store import StoreCalls

COORDINATE_INTERVAL: Millis = 200.0
PROBED_AT_ONCE = 16


class JobCoordinator:
    """Coordinates the jobs that fall to this process. Belongs to the runner's loop."""

    def __init__(
        self,
        store: ObjectStore,
        holder: ChunkHolder,
        clock: Clock,
        members: Members,
        table: JobTable,
        calls: StoreCalls,
        probe_after: Millis,
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._members = members
        self._table = table
        self._calls = calls
        self._probe_after = probe_after
        self._coordinated_at = clock.now()

    def coordinate(self, works: Mapping[str, JobWork], live: Sequence[str], now: Millis) -> None:
        """Take the next step of each job that falls to this process.

        Args:
            works: The open jobs.
            live: Names of the live entries.
            now: The clock's instant in milliseconds.
        """
        if now - self._coordinated_at < COORDINATE_INTERVAL:
            return
        self._coordinated_at = now
        for job_id, work in works.items():
            if preferred_node(job_id, live) != self._holder.node:
                work.coordinated = False
                continue
            if not work.coordinated:
                # The one before was told of the chunks that ended; this one has to read them.
                work.coordinated = True
                work.begin_sweep()
            if not work.busy:
                self._coordinate_job(work, now)

    def resume(self, works: Mapping[str, JobWork]) -> None:
        """Read the chunks of all jobs again: others may have coordinated them in the meantime."""
        for work in works.values():
            work.coordinated = False

    def _coordinate_job(self, work: JobWork, now: Millis) -> None:
        job = work.job
        counts = work.counts()
        if work.all_done:
            done = work.done
            self._job_step(
                work,
                lambda: finish_job(
                    self._store, job.id, counts, chunks_done=done, now=wall_millis()
                ),
            )
            return
        if job.status is JobStatus.CANCELLING:
            if not work.sweeping:
                work.begin_sweep()
            self._chunk_step(
                work,
                lambda numbers: seal_chunks(
                    self._store, job, numbers, self._holder, is_dead=self._members.confirm_dead
                ),
            )
            return
        if should_write_progress(job, counts):
            self._job_step(work, lambda: write_progress(self._store, job.id, counts))
            return
        if now - work.last_news > self._probe_after:
            work.last_news = now
            work.begin_sweep()
        if work.sweeping:
            self._chunk_step(work, lambda numbers: probe_chunks(self._store, job, numbers))

    def _job_step(self, work: JobWork, step: Callable[[], Result[StoredJob, StoreFailure]]) -> None:
        work.busy = True

        def take(found: Result[StoredJob, StoreFailure]) -> None:
            work.busy = False
            if isinstance(found, Failure):
                return
            job, version = found.unwrap()
            self._table.take(job, version)

        self._calls.submit(step, take)

    def _chunk_step(
        self, work: JobWork, step: Callable[[list[int]], list[tuple[int, JobCounts]]]
    ) -> None:
        numbers = work.next_of_sweep(PROBED_AT_ONCE)
        if not numbers:
            return
        work.busy = True

        def take(done: list[tuple[int, JobCounts]]) -> None:
            work.busy = False
            for number, counts in done:
                work.mark_done(number, counts, self._clock.now())

        self._calls.submit(lambda: step(numbers), take)
