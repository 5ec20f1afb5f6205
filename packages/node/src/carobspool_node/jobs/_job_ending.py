"""Steps on the store by which a job's coordinator counts, ends and cleans up a job."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from returns.result import Failure, Result, Success

from carobspool_core import (
    ChunkHolder,
    ChunkStatus,
    Job,
    JobCounts,
    JobRefusal,
    Millis,
    ObjectStore,
    StoreFailure,
    end_job,
    job_from_json,
    job_to_json,
    with_counts,
)
from carobspool_node.jobs._chunk_store import Standing, read_standing, take_over
from carobspool_node.jobs._job_intake import open_key
from carobspool_node.jobs._job_results import chunk_counts

StoredJob = tuple[Job, int]


def finish_job(
    store: ObjectStore, job_id: str, counts: JobCounts, *, chunks_done: int, now: Millis
) -> Result[StoredJob, StoreFailure]:
    """End a job all of whose chunks are done; return it as it stands afterwards."""
    changed = _change_job(
        store, job_id, lambda job: end_job(job, counts, chunks_done=chunks_done, at=now)
    )
    if isinstance(changed, Success) and changed.unwrap()[0].ended:
        marker = store.get(open_key(job_id))
        if isinstance(marker, Success):
            store.delete(open_key(job_id), version=marker.unwrap().version)
    return changed


def write_progress(
    store: ObjectStore, job_id: str, counts: JobCounts
) -> Result[StoredJob, StoreFailure]:
    """Write the counts of a job that goes on."""
    return _change_job(store, job_id, lambda job: with_counts(job, counts))


def probe_chunks(
    store: ObjectStore, job: Job, numbers: Iterable[int]
) -> list[tuple[int, JobCounts]]:
    """Read chunks whose end may have been missed; return those that are done."""
    done = []
    for number in numbers:
        found = read_standing(store, job.id, number)
        if isinstance(found, Failure):
            continue
        counts = done_counts(found.unwrap())
        if counts is not None:
            done.append((number, counts))
    return done


def seal_chunks(
    store: ObjectStore,
    job: Job,
    numbers: Iterable[int],
    holder: ChunkHolder,
    *,
    is_dead: Callable[[ChunkHolder], bool],
) -> list[tuple[int, JobCounts]]:
    """End the chunks of a cancelled job that no live process holds; return those that are done.

    Also a chunk that nobody has claimed gets its final state: an entry that was paused before its
    claim and wakes after the job's end would otherwise claim it and run items of a cancelled job.
    """
    done = []
    for number in numbers:
        standing = take_over(store, job, number, holder, is_dead=is_dead, stop=True)
        if isinstance(standing, Failure):
            continue
        counts = done_counts(standing.unwrap())
        if counts is not None:
            done.append((number, counts))
    return done


def done_counts(standing: Standing) -> JobCounts | None:
    """Return the counts of a chunk that is done, ``None`` for any other."""
    if standing.state.status is not ChunkStatus.DONE:
        return None
    return chunk_counts(standing.state)


def _change_job(
    store: ObjectStore, job_id: str, change: Callable[[Job], Result[Job, JobRefusal]]
) -> Result[StoredJob, StoreFailure]:
    """Change a job once; a conflict is left to the caller's next round."""
    found = store.get(f"jobs/{job_id}")
    if isinstance(found, Failure):
        return Failure(found.failure())
    stored = found.unwrap()
    job = job_from_json(stored.value)
    changed = change(job)
    if isinstance(changed, Failure):
        return Success((job, stored.version))
    written = store.update(stored.key, job_to_json(changed.unwrap()), version=stored.version)
    if isinstance(written, Failure):
        return Failure(written.failure())
    return Success((changed.unwrap(), written.unwrap().version))
