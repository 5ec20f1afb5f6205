"""Reads jobs from the object store through bounded caches.

The input of a job never changes, nor does its progress once every item has a result. Both are
cached, so that serving a reader usually needs no call to the store.
"""

from __future__ import annotations

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import StoreFailure, StoreFault
from carobspool_core.direct import JobInput, JobProgress
from carobspool_node.direct._bounded_cache import BoundedCache
from carobspool_node.direct._job_records import JobRecords, StoredProgress

INPUT_CACHE_BYTES = 32 * 1024 * 1024
FINISHED_CACHE_BYTES = 16 * 1024 * 1024
ITEM_OVERHEAD_BYTES = 500
"""Memory of an item besides its body: ids, headers and the objects that hold them."""
PROGRESS_OVERHEAD_BYTES = 1_000


class JobCatalog:
    """Reads jobs through caches.

    Args:
        records: Access to the job records in the store.
    """

    def __init__(self, records: JobRecords) -> None:
        self._records = records
        self._inputs: BoundedCache[JobInput] = BoundedCache(INPUT_CACHE_BYTES)
        self._finished: BoundedCache[JobProgress] = BoundedCache(FINISHED_CACHE_BYTES)

    @property
    def records(self) -> JobRecords:
        """Access to the job records in the store, without caches."""
        return self._records

    def has_cached_input(self, job_id: str) -> bool:
        """Whether the input of a job is cached."""
        return self._inputs.get(job_id) is not None

    def cache_input(self, job: JobInput) -> None:
        """Add the input of a job to the cache."""
        size = sum(len(item.body) + ITEM_OVERHEAD_BYTES for item in job.items)
        self._inputs.put(job.job_id, job, size)

    def read_input(self, job_id: str) -> Result[JobInput, StoreFailure]:
        """Return a job as submitted, from the cache or the store.

        The failure is ``NOT_FOUND`` only if the store reports that the job does not exist.
        """
        job = self._inputs.get(job_id)
        if job is not None:
            return Success(job)
        read = self._records.read_input(job_id)
        if is_successful(read):
            self.cache_input(read.unwrap())
        return read

    def cached_finished(self, job_id: str) -> JobProgress | None:
        """Return the cached progress of a job whose items all have results, else ``None``."""
        return self._finished.get(job_id)

    def read_job(self, job_id: str) -> Result[tuple[JobInput, StoredProgress], StoreFailure]:
        """Return a job and its stored progress, or its initial progress if none is committed yet.

        The failure is ``NOT_FOUND`` only if the store reports that the job does not exist.
        """
        is_cached = self.has_cached_input(job_id)
        job = self.read_input(job_id)
        if not is_successful(job):
            return Failure(job.failure())
        progress = self._records.read_progress(job_id)
        if is_successful(progress):
            return Success((job.unwrap(), progress.unwrap()))
        if progress.failure().fault is not StoreFault.NOT_FOUND:
            return Failure(progress.failure())
        if is_cached:
            # Without progress in the store, a cached input does not show that the job still exists.
            job = self._records.read_input(job_id)
            if not is_successful(job):
                return Failure(job.failure())
        return Success((job.unwrap(), initial_progress(job.unwrap())))

    def cache_if_finished(self, job_id: str, progress: JobProgress) -> bool:
        """Cache the progress if every item has a result; return whether the job needs no owner.

        An ended job without results for all items needs no owner either, but is not cached.
        """
        if len(progress.results) < progress.total:
            return progress.ended
        size = sum(len(each.text) for each in progress.results) + PROGRESS_OVERHEAD_BYTES
        self._finished.put(job_id, progress, size)
        return True


def initial_progress(job: JobInput) -> StoredProgress:
    """Return the progress of a job before its first commit."""
    progress = JobProgress(owner=job.owner, total=len(job.items))
    return StoredProgress(progress=progress, segments=(), version=0)
