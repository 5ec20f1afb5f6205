"""Runs the items of batch jobs: claims chunks, starts items, commits results, ends jobs.

One loop owns all state. Store calls run on a small pool and post what they found back to the loop,
as do the outcomes of items. Nothing here decides what is finished; the chunk states do.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from absl import logging
from returns.result import Failure, Result

from carobspool_core import (
    ChunkHolder,
    ChunkStatus,
    Clock,
    ItemOutcome,
    Millis,
    ObjectStore,
    StoreFailure,
)
from carobspool_node.jobs._chunk_claims import ChunkClaims
from carobspool_node.jobs._chunk_store import (
    ChunkWrite,
    Claimed,
    Ending,
    Standing,
    read_standing,
    write_chunk,
)
from carobspool_node.jobs._held_chunks import HeldChunks
from carobspool_node.jobs._job_coordinator import JobCoordinator
from carobspool_node.jobs._job_ending import done_counts
from carobspool_node.jobs._job_table import JobTable, watch_jobs
from carobspool_node.jobs._job_works import JobWorks
from carobspool_node.jobs._owned_chunk import Attempt, OwnedChunk
from carobspool_node.jobs._runner_ports import ChunkDone, ItemRunner, RunnerPorts
from carobspool_node.links import Members
from carobspool_node.store import WATCH_TIMEOUT, StoreCalls

__all__ = ["ChunkDone", "ItemRunner", "JobRunner", "RunnerPorts", "make_job_runner"]

TICK: Millis = 20.0
PAUSE_NOTICED: Millis = 1_000.0
PROBE_AFTER: Millis = 15_000.0
RELEASE_SLACK: Millis = 5_000.0


class JobRunner:
    """The runner of one process. Made by `make_job_runner`."""

    def __init__(
        self,
        store: ObjectStore,
        holder: ChunkHolder,
        clock: Clock,
        members: Members,
        ports: RunnerPorts,
        table: JobTable,
        calls: StoreCalls,
        coordinator: JobCoordinator,
        may_claim: Callable[[], bool],
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._members = members
        self._ports = ports
        self._table = table
        self._calls = calls
        self._coordinator = coordinator
        self._may_claim = may_claim
        self._claims = ChunkClaims(
            store, holder, clock, members, ports.choose, calls, self._take_claim
        )
        self._thread = threading.Thread(target=self._run, name="job-runner", daemon=True)
        self._works = JobWorks(holder, clock, ports.tell_done)
        self._owned = HeldChunks()
        self._held = False
        self._round_began: Millis = clock.now()
        self._releasing_until: Millis | None = None
        self._stopped = threading.Event()

    @property
    def chunks_held(self) -> int:
        """Number of chunks that this process holds."""
        return len(self._owned)

    def start(self) -> None:
        """Start the loop."""
        self._round_began = self._clock.now()
        self._table.start()
        self._thread.start()

    def job_changed(self, job_id: str, *, cancelling: bool = False) -> None:
        """Take a hint that a job changed; with ``cancelling`` its items stop at once."""
        if cancelling:
            self._table.take_cancel_hint(job_id)
        self._calls.submit(lambda: self._table.refresh(job_id), lambda _: None)

    def chunk_done(self, done: ChunkDone) -> None:
        """Take a hint from the node that finished a chunk."""
        self._calls.post(lambda: self._works.take_done(done.job, done.chunk, done.counts))

    def release_all(self, timeout: Millis) -> int:
        """Finish what runs, write it, release all claims and end the loop.

        Args:
            timeout: Time to wait for running items, in milliseconds; then they are cancelled.

        Returns:
            Number of chunks that could not be released.
        """
        until = self._clock.now() + timeout
        self._calls.post(lambda: self._begin_release(until))
        self._stopped.wait((timeout + RELEASE_SLACK) / 1000.0)
        self.stop()
        return len(self._owned)

    def stop(self) -> None:
        """End the loop and leave the claims behind, as a killed process does."""
        self._stopped.set()
        self._table.stop()
        self._calls.stop()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._round()
            except Exception:
                # A damaged value in the store must not end the work on all other jobs. Claims are
                # kept and the next round goes on; the log names the place.
                logging.exception("event=runner_round_failed node=%s", self._holder.node)

    def _round(self) -> None:
        self._calls.take_news(TICK)
        now = self._clock.now()
        if now - self._round_began > PAUSE_NOTICED:
            self._look_after_pause()
            now = self._clock.now()
        self._round_began = now
        self._forget_ended(now)
        credits = 0
        if self._releasing_until is None:
            credits = self._dispatch(now)
            self._claim_ahead(now, credits)
        self._write_due(now, credits)
        held = self._may_claim()
        if held and not self._held:
            self._coordinator.resume(self._works.by_job)
        self._held = held
        if held:
            self._coordinator.coordinate(self._works.by_job, self._works.live, now)
        self._end_release(now)

    def _look_after_pause(self) -> None:
        """Read everything again after a pause of this process.

        A process that was frozen wakes with jobs that were cancelled and claims that were taken
        over meanwhile. Its writes would be refused, but it would start items first. Both are read
        here before anything starts; the time from here to the start is too short to matter.
        """
        logging.warning("event=pause_noticed node=%s", self._holder.node)
        self._coordinator.resume(self._works.by_job)
        for job_id in {job_id for job_id, _, _ in self._owned}:
            self._table.refresh(job_id)
        for job_id, number, chunk in self._owned:
            found = read_standing(self._store, job_id, number)
            if isinstance(found, Failure):
                continue
            if not chunk.adopt(found.unwrap(), self._holder):
                self._drop(job_id, number, found.unwrap())

    def _forget_ended(self, now: Millis) -> None:
        """Bring the known jobs up to date; stop what belongs to ended or cancelled ones."""
        jobs = {job.id: job for job in self._table.open_jobs()}
        self._works.update(
            jobs.values(),
            self._members.available_nodes(),
            lease_holders=self._members.lease_holders(),
            now=now,
        )
        self._owned.stop_ended(jobs)

    def _dispatch(self, now: Millis) -> int:
        """Start items while there is capacity; return what is left of it."""
        credits = self._ports.credits()
        ready = self._owned.ready(now)
        while credits > 0 and ready:
            if self._clock.now() - now > PAUSE_NOTICED:
                return 0  # frozen in this very round; the next one reads again first
            job_id = self._ports.choose([self._works.by_job[job_id].job for job_id in ready])
            # The chunk claimed first is finished first: its results are committed and safe then.
            chunk = ready[job_id][0]
            self._start_item(chunk)
            credits -= 1
            if chunk.has_ready(now):
                continue
            ready[job_id].popleft()
            if not ready[job_id]:
                del ready[job_id]
        return credits

    def _start_item(self, chunk: OwnedChunk) -> None:
        attempt = chunk.start_next()

        def on_done(outcome: ItemOutcome) -> None:
            self._calls.post(lambda: self._take_outcome(chunk, attempt, outcome))

        chunk.started(attempt, self._ports.run(attempt.item, on_done))

    def _take_outcome(self, chunk: OwnedChunk, attempt: Attempt, outcome: ItemOutcome) -> None:
        limit = self._ports.shaping().max_attempts
        chunk.ended(attempt, outcome, max_attempts=limit, now=self._clock.now())

    def _claim_ahead(self, now: Millis, credits: int) -> None:
        missing = self._owned.missing(credits)
        if missing > 0 and self._may_claim():
            self._claims.claim_ahead(self._works.by_job, self._works.live, missing=missing, now=now)

    def _take_claim(self, job_id: str, number: int, claimed: Claimed | Standing) -> None:
        if isinstance(claimed, Claimed):
            chunk = OwnedChunk(claimed.standing, claimed.items, self._clock.now())
            if self._releasing_until is not None:
                chunk.part(Ending.RELEASE, cancel=False)
            self._owned.add(job_id, number, chunk)
            logging.info("event=chunk_claimed job=%s chunk=%d", job_id, number)
            return
        counts = done_counts(claimed)
        if counts is not None:
            self._works.take_done(job_id, number, counts)
            return
        self._take_held(job_id, number, claimed)

    def _take_held(self, job_id: str, number: int, standing: Standing) -> None:
        """Take in that a chunk is not this process's."""
        work = self._works.by_job.get(job_id)
        if work is None:
            return
        work.mark_free(number)
        if standing.state.status is ChunkStatus.CLAIMED and standing.state.holder != self._holder:
            work.mark_held(number, standing.state.holder)

    def _write_due(self, now: Millis, credits: int) -> None:
        for job_id, number, chunk, write in self._owned.due_writes(now, credits):
            self._write(job_id, number, chunk, write)

    def _write(self, job_id: str, number: int, chunk: OwnedChunk, write: ChunkWrite) -> None:
        job = self._works.by_job[job_id].job
        standing = chunk.standing
        self._calls.submit(
            lambda: write_chunk(self._store, job, number, standing, write),
            lambda found: self._take_written(job_id, number, chunk, found),
        )

    def _take_written(
        self, job_id: str, number: int, chunk: OwnedChunk, found: Result[Standing, StoreFailure]
    ) -> None:
        now = self._clock.now()
        if isinstance(found, Failure):
            chunk.write_failed(now)
            return
        if chunk.wrote(found.unwrap(), self._holder, now):
            return
        if self._owned.holds(job_id, number, chunk):
            self._drop(job_id, number, found.unwrap())

    def _drop(self, job_id: str, number: int, standing: Standing) -> None:
        """Part with a chunk that the store says is done, released or another's."""
        chunk = self._owned.pop(job_id, number)
        chunk.cancel_running()
        counts = done_counts(standing)
        if counts is None:
            logging.info("event=chunk_left job=%s chunk=%d", job_id, number)
            self._take_held(job_id, number, standing)
            return
        self._works.finished_here(job_id, number, counts)

    def _begin_release(self, until: Millis) -> None:
        self._releasing_until = until
        self._owned.release_all()

    def _end_release(self, now: Millis) -> None:
        if self._releasing_until is None:
            return
        if not self._owned and not self._claims.under_way:
            self._stopped.set()
            return
        if now < self._releasing_until:
            return
        self._owned.cut_off()


def make_job_runner(
    store: ObjectStore,
    holder: ChunkHolder,
    clock: Clock,
    members: Members,
    ports: RunnerPorts,
    *,
    may_claim: Callable[[], bool],
    watch_timeout: Millis = WATCH_TIMEOUT,
    probe_after: Millis = PROBE_AFTER,
) -> JobRunner:
    """Return a runner; `JobRunner.start` begins.

    Args:
        store: The object store.
        holder: This process.
        clock: The process's clock.
        members: The live entries.
        ports: The rest of the process.
        may_claim: Whether this process holds its node lease. While it does not, it claims nothing
            and goes on with what it has.
        watch_timeout: Longest wait of the watch on jobs, in milliseconds.
        probe_after: Silence about a job after which its coordinator reads its chunks, in
            milliseconds.

    Since 0.1.
    """
    calls = StoreCalls()
    table = watch_jobs(store, calls.wake, watch_timeout=watch_timeout)
    coordinator = JobCoordinator(store, holder, clock, members, table, calls, probe_after)
    return JobRunner(store, holder, clock, members, ports, table, calls, coordinator, may_claim)
