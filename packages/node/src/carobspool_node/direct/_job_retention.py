"""Removes the records of jobs whose results no longer have to be readable.

Without the removal the store would grow with every accepted job. One entry sweeps on behalf of all.
A job is removed once it has been seen finished for the whole retention, measured by the clock of
this process and not from the submission time: the wall clock of a host may jump, and jobs that
still have readers would be removed. An entry that has just started therefore removes nothing during
its first retention period.
"""

from __future__ import annotations

from collections.abc import Callable

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, StoredObject, StoreFault
from carobspool_node.direct._job_records import INPUTS, PROGRESS, JobRecords, Listing


class JobRetention:
    """Periodically removes the records of finished jobs.

    A sweep lists all jobs with their inputs, and runs once per retention. A finished job is thus
    kept for at most twice the retention, and two listings in two minutes cost almost nothing.

    Args:
        clock: The process's clock.
        records: The records in the store.
        retention: How long results stay readable after a job was seen finished, in milliseconds.
        has_duty: Returns whether this entry is the one that sweeps on behalf of all.
    """

    def __init__(
        self,
        clock: Clock,
        records: JobRecords,
        retention: Millis,
        has_duty: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._records = records
        self._retention = retention
        self._has_duty = has_duty
        self._finished_since: dict[str, Millis] = {}
        self._next_sweep: Millis = clock.now() + retention

    def sweep_if_due(self) -> int:
        """Remove jobs whose retention is over, if a sweep is due.

        Returns:
            The number of jobs removed.
        """
        now = self._clock.now()
        if now < self._next_sweep:
            return 0
        self._next_sweep = now + self._retention
        if not self._has_duty():
            self._finished_since.clear()
            return 0
        return self._sweep(now)

    def _sweep(self, now: Millis) -> int:
        # Progress is listed first. Each input is written before its progress, so that an input
        # that is missing from the later listing has been removed.
        progress = self._records.list_all(PROGRESS)
        inputs = self._records.list_all(INPUTS)
        if not is_successful(progress) or not is_successful(inputs):
            logging.warning("event=retention_postponed reason='the store cannot be read'")
            return 0
        finished = {
            job_id: stored
            for job_id, stored in progress.unwrap().objects.items()
            if self._is_input_missing(job_id, inputs.unwrap()) or self._is_finished(stored)
        }
        self._finished_since = {
            job_id: self._finished_since.get(job_id, now) for job_id in finished
        }
        removed = 0
        for job_id, stored in finished.items():
            if now - self._finished_since[job_id] < self._retention:
                continue
            if self._remove(inputs.unwrap().objects.get(job_id), stored):
                del self._finished_since[job_id]
                removed += 1
        logging.info(
            "event=retention_sweep jobs=%d finished=%d removed=%d",
            len(inputs.unwrap().objects),
            len(finished),
            removed,
        )
        return removed

    def _is_input_missing(self, job_id: str, inputs: Listing) -> bool:
        """Whether the input of a job is missing.

        An incomplete listing does not show that an input is missing: the input may be among the
        objects with unreadable names.
        """
        return inputs.complete and job_id not in inputs.objects

    def _is_finished(self, stored: StoredObject) -> bool:
        read = self._records.decode_progress(stored)
        if not is_successful(read):
            return False
        progress = read.unwrap().progress
        return progress.ended or len(progress.results) == progress.total

    def _remove(self, job: StoredObject | None, progress: StoredObject) -> bool:
        """Remove a job's records, the input first; return whether they are gone.

        If the second removal fails, a later sweep finds the progress without an input and removes
        it. An input without progress would look like a job that has not been started, and all its
        items would run again.
        """
        for stored in (job, progress):
            if stored is None:
                continue
            failure = self._records.remove(stored)
            if failure is not None and failure.fault is not StoreFault.NOT_FOUND:
                logging.info("event=job_not_removed key=%s fault=%s", stored.key, failure.fault)
                return False
        logging.info("event=job_removed job=%s", progress.key.removeprefix(PROGRESS))
        return True
