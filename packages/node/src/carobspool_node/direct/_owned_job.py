"""A batch job that this entry owns: its work, its commits, its readers."""

from __future__ import annotations

import threading

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, StoreFailure, StoreFault
from carobspool_core.direct import ItemResult, JobInput, JobWork
from carobspool_node.direct._in_flight import BatchRun
from carobspool_node.direct._job_records import JobRecords, StoredProgress
from carobspool_node.direct._ownership_proof import OwnershipProof

COMMIT_INTERVAL: Millis = 900.0
"""Time between two commits of one job. A job's items end over some seconds; each commit is a priced
call to the store, and a result may lie uncommitted for this long when its owner is killed."""
CHECKPOINT_INTERVAL: Millis = 2_500.0
"""Longest time without a commit while items receive events. When the owner is lost, its items go on
after what is committed. An item runs for five seconds or more and the first result of a job comes
after some four, so without checkpoints a loss threw away all that was running; one costs a call."""
COMMIT_RETRY_DELAY: Millis = 400.0
"""Pause after a commit that the store did not take; it doubles with each of them."""
MAX_COMMIT_RETRY_DELAY: Millis = 800.0
"""A committed result is to be read soon after the store is back."""


class OwnedJob:
    """State of one owned job; all methods are safe for threads.

    Args:
        job: As submitted.
        stored: Its progress in the store.
        records: The records in the store.
        owner: This entry, name and incarnation.
        clock: The process's clock.
        asked: When the store was asked for the write that made this entry the owner.
    """

    def __init__(
        self,
        job: JobInput,
        stored: StoredProgress,
        records: JobRecords,
        owner: str,
        clock: Clock,
        *,
        requested_at: Millis,
    ) -> None:
        self._work = JobWork(job, stored.progress)
        self._records = records
        self._version = stored.version
        self._segments = stored.segments
        self._owner = owner
        self._clock = clock
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self._commit_lock = threading.Lock()
        self._runs: set[BatchRun] = set()
        self._next_commit: Millis = 0.0
        self._retry_at: Millis = 0.0
        self._retry_pause: Millis = COMMIT_RETRY_DELAY
        self._next_checkpoint: Millis = clock.now() + CHECKPOINT_INTERVAL
        self._events_committed = self._work.events_received
        self._lost = False
        self._releasing = False
        self._proof = OwnershipProof(clock, requested_at=requested_at)

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self._work.input.job_id

    @property
    def input(self) -> JobInput:
        """The job as submitted."""
        return self._work.input

    @property
    def lock(self) -> threading.RLock:
        """Guards ``work``."""
        return self._lock

    @property
    def work(self) -> JobWork:
        """The items; hold ``lock``."""
        return self._work

    @property
    def lost(self) -> bool:
        """Whether another entry owns the job now."""
        return self._lost

    @property
    def releasing(self) -> bool:
        """Whether this entry is about to give the job up."""
        return self._releasing

    @property
    def proof(self) -> OwnershipProof:
        """What the owner knows for certain."""
        return self._proof

    @property
    def finished(self) -> bool:
        """Whether everything is committed and nothing is left to do."""
        with self._lock:
            return self._work.finished

    def add_run(self, run: BatchRun) -> None:
        """Count a run, so that the end of the job cancels it."""
        with self._lock:
            self._runs.add(run)

    def remove_run(self, run: BatchRun) -> None:
        """Forget a run."""
        with self._lock:
            self._runs.discard(run)

    def cancel_runs(self, reason: str) -> None:
        """Cancel everything that runs for the job.

        Args:
            reason: Why, for the log.
        """
        with self._lock:
            runs = list(self._runs)
        for run in runs:
            run.cancellation.cancel(reason)

    def end(self) -> None:
        """End the job on behalf of its caller."""
        with self._lock:
            self._work.end()
        self.cancel_runs("the job was ended")

    def report_ended(self) -> bool:
        """Take a peer's word that the job was ended in the store; return whether that is news.

        What runs is cancelled, and nothing starts before the store has shown how things are. The
        word alone does not end the job here: another entry may have taken it over before, and an
        owner that believed the job finished would answer for it from what it held then.
        """
        with self._lock:
            if self._work.ended or self._lost or self._proof.is_end_unverified:
                return False
            self._proof.report_ended()
        self.cancel_runs("a peer says that the job was ended")
        return True

    def _apply_stored_end(self, source: str) -> None:
        with self._lock:
            if self._work.ended:
                return
            logging.info(
                "event=job_end_learned job=%s from=%s proof_age_ms=%.0f",
                self.job_id,
                source,
                self._proof.age,
            )
            self.end()

    def mark_lost(self) -> None:
        """Stop working on a job that another entry has taken over."""
        with self._lock:
            self._lost = True
            self._changed.notify_all()
        self.cancel_runs("another entry owns the job")

    def start_release(self) -> None:
        """Start nothing more and cancel what runs, before the last commit: it would be lost."""
        self._releasing = True
        self.cancel_runs("this entry is leaving")

    def is_commit_due(self, now: Millis) -> bool:
        """Whether there is something to commit and it is time."""
        with self._lock:
            if self._lost or now < self._retry_at:
                return False
            if not self._work.has_uncommitted:
                return now >= self._next_checkpoint and self._has_uncommitted_events()
            return now >= self._next_commit or self._work.all_run

    def needs_final_commit(self) -> bool:
        """Whether a leaving owner has something that the next one can use."""
        with self._lock:
            return not self._lost and (self._work.has_uncommitted or self._has_uncommitted_events())

    def commit(self) -> bool:
        """Write the progress; return whether the store has it."""
        with self._commit_lock:
            if self._lost:
                return False
            with self._lock:
                progress = self._work.proposal(self._owner)
                self._events_committed = self._work.events_received
                self._next_commit = self._clock.now() + COMMIT_INTERVAL
                self._next_checkpoint = self._clock.now() + CHECKPOINT_INTERVAL
            started = self._clock.now()
            written = self._records.write_progress(
                self.job_id, progress, version=self._version, segments=self._segments
            )
            if is_successful(written):
                self._apply_stored(written.unwrap(), started)
                return True
            return self._handle_failed_commit(written.failure(), started)

    def verify(self) -> bool:
        """Read the progress back; return whether the store was read and the job is still ours.

        It also shows whether the job has been ended elsewhere; nothing of it starts then.
        """
        started = self._clock.now()
        read = self._records.read_progress(self.job_id)
        if is_successful(read):
            progress = read.unwrap().progress
            if progress.owner != self._owner:
                self.mark_lost()
                return False
            # Ended jobs keep their owner, since nobody has to take them over.
            if progress.ended:
                self._apply_stored_end("proof")
            self._proof.renew(started)
            return True
        return self._handle_failed_read(read.failure(), started)

    def results_after(self, after: int, wait_until: Millis) -> list[ItemResult] | None:
        """Return committed results from a position on, waiting for one; ``None`` when lost."""
        with self._lock:
            while not self._lost and len(self._work.committed) <= after:
                if self._work.finished or self._clock.now() >= wait_until:
                    break
                self._changed.wait((wait_until - self._clock.now()) / 1000.0)
            if self._lost:
                return None
            return list(self._work.committed[after:])

    def _has_uncommitted_events(self) -> bool:
        if self._work.ended or self._work.all_run:
            return False
        return self._work.events_received != self._events_committed

    def _apply_stored(self, stored: StoredProgress, started: Millis) -> None:
        with self._lock:
            if stored.progress.ended:
                self._apply_stored_end("commit")
            self._retry_pause = COMMIT_RETRY_DELAY
            self._version = stored.version
            self._segments = stored.segments
            self._work.adopt(stored.progress)
            self._proof.renew(started)
            self._changed.notify_all()

    def _handle_failed_read(self, failure: StoreFailure, requested_at: Millis) -> bool:
        if failure.fault is not StoreFault.NOT_FOUND:
            self._proof.record_store_failure()
            return False
        if self._version == 0:
            self._proof.renew(requested_at)
            return True
        # Only the records of jobs that are over are ever removed.
        self.mark_lost()
        return False

    def _handle_failed_commit(self, failure: StoreFailure, started: Millis) -> bool:
        with self._lock:
            self._work.not_committed()
            self._retry_at = self._clock.now() + self._retry_pause
            self._retry_pause = min(MAX_COMMIT_RETRY_DELAY, self._retry_pause * 2.0)
        if failure.fault is StoreFault.NOT_FOUND:
            return self._handle_failed_read(failure, started)
        if failure.fault is not StoreFault.CONFLICT or failure.current is None:
            self._proof.record_store_failure()
            return False
        current = self._records.decode_progress(failure.current)
        if not is_successful(current):
            return False
        if current.unwrap().progress.owner != self._owner:
            self.mark_lost()
            return False
        # An earlier write of ours whose answer was lost took effect after all.
        self._apply_stored(current.unwrap(), started)
        return False
