"""Jobs as the object store holds them, with what is remembered of them here.

The input of a job never changes, nor does its progress once every item has a result; both are kept
in memory within bounds, so that a reader costs no call to the store.
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
"""What an item takes beside its body: ids, headers and the objects that hold them."""
PROGRESS_OVERHEAD_BYTES = 1_000


class JobCatalog:
    """Reads jobs through caches.

    Args:
        records: The records in the store.
    """

    def __init__(self, records: JobRecords) -> None:
        self._records = records
        self._inputs: BoundedCache[JobInput] = BoundedCache(INPUT_CACHE_BYTES)
        self._finished: BoundedCache[JobProgress] = BoundedCache(FINISHED_CACHE_BYTES)

    @property
    def records(self) -> JobRecords:
        """The records in the store."""
        return self._records

    def has_cached_input(self, job_id: str) -> bool:
        """Whether the input of a job is in memory."""
        return self._inputs.get(job_id) is not None

    def cache_input(self, job: JobInput) -> None:
        """Remember the input of a job."""
        size = sum(len(item.body) + ITEM_OVERHEAD_BYTES for item in job.items)
        self._inputs.put(job.job_id, job, size)

    def read_input(self, job_id: str) -> Result[JobInput, StoreFailure]:
        """Return a job as submitted; ``NOT_FOUND`` only when the store says so."""
        job = self._inputs.get(job_id)
        if job is not None:
            return Success(job)
        read = self._records.read_input(job_id)
        if is_successful(read):
            self.cache_input(read.unwrap())
        return read

    def cached_finished(self, job_id: str) -> JobProgress | None:
        """Return the progress of a job all of whose items have results, if it is in memory."""
        return self._finished.get(job_id)

    def current_progress(self, job: JobInput) -> Result[StoredProgress, StoreFailure]:
        """Return the progress of a job, also when nothing of it is committed yet."""
        read = self._records.read_progress(job.job_id)
        if is_successful(read):
            return read
        if read.failure().fault is StoreFault.NOT_FOUND:
            return Success(initial_progress(job))
        return Failure(read.failure())

    def cache_if_finished(self, job_id: str, progress: JobProgress) -> bool:
        """Remember a progress that changes no more; return whether nothing is left to do."""
        if len(progress.results) < progress.total:
            return progress.ended
        size = sum(len(each.text) for each in progress.results) + PROGRESS_OVERHEAD_BYTES
        self._finished.put(job_id, progress, size)
        return True


def initial_progress(job: JobInput) -> StoredProgress:
    """Return the progress of a job of which nothing is committed yet."""
    progress = JobProgress(owner=job.owner, total=len(job.items))
    return StoredProgress(progress=progress, segments=(), version=0)
