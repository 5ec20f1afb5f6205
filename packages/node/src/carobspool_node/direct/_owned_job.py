"""A batch job that this entry owns: its items, its commits to the store, and its readers."""

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
"""Time between two commits of one job. A job's items finish over some seconds, and each commit is a
billed call to the store. A result can be uncommitted for this long when its owner is killed."""
CHECKPOINT_INTERVAL: Millis = 2_500.0
"""Longest time between two commits while items receive events. After the loss of the owner, items
resume from the last commit. An item runs for five seconds or more and the first result of a job
arrives after about four, so that without checkpoints the loss of an owner discarded all running
items. A checkpoint costs one call to the store."""
COMMIT_RETRY_DELAY: Millis = 400.0
"""Delay after a failed commit; it doubles with each further failure."""
MAX_COMMIT_RETRY_DELAY: Millis = 800.0
"""Upper bound of the delay, so that results become readable soon after an outage of the store."""


class OwnedJob:
    """State of one owned job. All methods are thread-safe.

    Args:
        job: The job as submitted.
        stored: Its progress in the store.
        records: Access to the job records in the store.
        owner: Name and incarnation of this entry.
        clock: The process's clock.
        requested_at: When the write that made this entry the owner was sent to the store.
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
        self._next_commit_at: Millis = 0.0
        self._retry_at: Millis = 0.0
        self._retry_delay: Millis = COMMIT_RETRY_DELAY
        self._next_checkpoint_at: Millis = clock.now() + CHECKPOINT_INTERVAL
        self._events_committed = self._work.events_received
        self._lost = False
        self._lost_at: int | None = None
        self._releasing = False
        self._proof = OwnershipProof(clock, requested_at=requested_at)

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self._work.job.job_id

    @property
    def input(self) -> JobInput:
        """The job as submitted."""
        return self._work.job

    @property
    def lock(self) -> threading.RLock:
        """Guards ``work``."""
        return self._lock

    @property
    def work(self) -> JobWork:
        """The items and their results; access requires ``lock``."""
        return self._work

    @property
    def lost(self) -> bool:
        """Whether this entry no longer owns the job."""
        return self._lost

    @property
    def lost_at_version(self) -> int | None:
        """Version of the record that showed another owner, ``None`` if there is none."""
        return self._lost_at

    @property
    def releasing(self) -> bool:
        """Whether this entry is about to release the job to another entry."""
        return self._releasing

    @property
    def proof(self) -> OwnershipProof:
        """The last confirmation of the ownership by the store."""
        return self._proof

    @property
    def finished(self) -> bool:
        """Whether no item is left to run and every result is committed."""
        with self._lock:
            return self._work.finished

    def add_run(self, run: BatchRun) -> None:
        """Register a run, so that it is cancelled when the job ends."""
        with self._lock:
            self._runs.add(run)

    def remove_run(self, run: BatchRun) -> None:
        """Remove a run that has ended."""
        with self._lock:
            self._runs.discard(run)

    def cancel_runs(self, reason: str) -> None:
        """Cancel all running items of the job.

        Args:
            reason: The reason that is logged.
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
        """Handle a peer's report that the job was ended in the store.

        Running items are cancelled, and none starts until the store has been read. The report alone
        does not end the job here: another entry may have taken it over before its end. An owner
        that considered such a job finished would serve readers from outdated results.

        Returns:
            Whether the report is new.
        """
        with self._lock:
            if self._work.ended or self._lost or self._proof.is_end_unverified:
                return False
            self._proof.report_ended()
        self.cancel_runs("a peer reported the end of the job")
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
        """Stop working on the job and serving it, because this entry no longer owns it."""
        with self._lock:
            self._lost = True
            self._changed.notify_all()
        self.cancel_runs("another entry owns the job")

    def _mark_taken(self, version: int) -> None:
        """Stop working on the job, whose record shows another owner at this version."""
        self._lost_at = version
        self.mark_lost()

    def start_release(self) -> None:
        """Stop starting items and cancel running ones, because this entry shuts down.

        This precedes the last commit: events that are received after it would be lost.
        """
        self._releasing = True
        self.cancel_runs("this entry is leaving")

    def is_commit_due(self, now: Millis) -> bool:
        """Whether there is progress to commit and the commit interval has passed."""
        with self._lock:
            if self._lost or now < self._retry_at:
                return False
            if not self._work.has_uncommitted:
                return now >= self._next_checkpoint_at and self._has_uncommitted_events()
            return now >= self._next_commit_at or self._work.all_items_finished

    def needs_final_commit(self) -> bool:
        """Whether the job has uncommitted progress that its next owner can use."""
        with self._lock:
            return not self._lost and (self._work.has_uncommitted or self._has_uncommitted_events())

    def commit(self) -> bool:
        """Write the progress to the store; return whether the write succeeded."""
        with self._commit_lock:
            if self._lost:
                return False
            with self._lock:
                progress = self._work.progress_to_commit(self._owner)
                self._events_committed = self._work.events_received
                self._next_commit_at = self._clock.now() + COMMIT_INTERVAL
                self._next_checkpoint_at = self._clock.now() + CHECKPOINT_INTERVAL
            requested_at = self._clock.now()
            written = self._records.write_progress(
                self.job_id, progress, version=self._version, segments=self._segments
            )
            if is_successful(written):
                self._apply_stored(written.unwrap(), requested_at)
                return True
            return self._handle_failed_commit(written.failure(), requested_at)

    def verify(self) -> bool:
        """Read the progress from the store; return whether it confirms this entry as the owner.

        When the progress shows that the job was ended through another entry, the job ends here too
        and starts no further items.
        """
        requested_at = self._clock.now()
        read = self._records.read_progress(self.job_id)
        if is_successful(read):
            progress = read.unwrap().progress
            if progress.owner != self._owner:
                self._mark_taken(read.unwrap().version)
                return False
            # The owner's name does not show an end: ended jobs keep their owner, since no entry has
            # to take them over.
            if progress.ended:
                self._apply_stored_end("proof")
            self._proof.renew(requested_at)
            return True
        return self._handle_failed_read(read.failure(), requested_at)

    def results_after(self, after: int, wait_until: Millis) -> list[ItemResult] | None:
        """Return the committed results after a position, or ``None`` if the ownership is lost.

        Args:
            after: Number of results to skip.
            wait_until: How long to wait for the first result, as an instant of the clock.
        """
        with self._lock:
            while not self._lost and len(self._work.committed) <= after:
                if self._work.finished or self._clock.now() >= wait_until:
                    break
                self._changed.wait((wait_until - self._clock.now()) / 1000.0)
            if self._lost:
                return None
            return list(self._work.committed[after:])

    def _has_uncommitted_events(self) -> bool:
        if self._work.ended or self._work.all_items_finished:
            return False
        return self._work.events_received != self._events_committed

    def _apply_stored(self, stored: StoredProgress, requested_at: Millis) -> None:
        with self._lock:
            if stored.progress.ended:
                self._apply_stored_end("commit")
            self._retry_delay = COMMIT_RETRY_DELAY
            self._version = stored.version
            self._segments = stored.segments
            self._work.apply_stored_progress(stored.progress)
            self._proof.renew(requested_at)
            self._changed.notify_all()

    def _handle_failed_read(self, failure: StoreFailure, requested_at: Millis) -> bool:
        if failure.fault is not StoreFault.NOT_FOUND:
            self._proof.record_store_failure()
            return False
        if self._version == 0:
            self._proof.renew(requested_at)
            return True
        # Only records of finished or ended jobs are ever removed.
        self.mark_lost()
        return False

    def _handle_failed_commit(self, failure: StoreFailure, requested_at: Millis) -> bool:
        with self._lock:
            self._work.mark_uncommitted()
            self._retry_at = self._clock.now() + self._retry_delay
            self._retry_delay = min(MAX_COMMIT_RETRY_DELAY, self._retry_delay * 2.0)
        if failure.fault is StoreFault.NOT_FOUND:
            return self._handle_failed_read(failure, requested_at)
        if failure.fault is not StoreFault.CONFLICT or failure.current is None:
            self._proof.record_store_failure()
            return False
        current = self._records.decode_progress(failure.current)
        if not is_successful(current):
            return False
        if current.unwrap().progress.owner != self._owner:
            self._mark_taken(current.unwrap().version)
            return False
        # The stored progress is an earlier write of this entry whose answer was lost.
        self._apply_stored(current.unwrap(), requested_at)
        return False
