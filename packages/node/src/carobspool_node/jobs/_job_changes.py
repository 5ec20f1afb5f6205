"""Reading a job for its owner, and cancelling it."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from returns.result import Failure, Result, Success

from carobspool_core import (
    AuditKind,
    AuditRecord,
    Job,
    JobRefusal,
    JobStatus,
    Millis,
    ObjectStore,
    StoreFailure,
    StoreFault,
    cancel_job,
    invalid_request,
    job_from_json,
    job_to_json,
    unavailable,
)
from carobspool_core import Failure as RequestFailure
from carobspool_node.store import request_failure

CANCEL_TRIES = 5


def get_job(store: ObjectStore, organisation: str, job_id: str) -> Result[Job, RequestFailure]:
    """Return a job that the organisation owns."""
    found = stored_job(store, job_id)
    if isinstance(found, Failure):
        if found.failure().fault is StoreFault.NOT_FOUND:
            return Failure(job_not_found(job_id))
        return Failure(request_failure(found.failure()))
    job, _ = found.unwrap()
    if job.organisation != organisation:
        return Failure(job_not_found(job_id))
    return Success(job)


def cancel(
    store: ObjectStore,
    job: Job,
    *,
    who: str,
    reason: str,
    now: Millis,
    hint: Callable[[Job], None],
) -> Result[Job, RequestFailure]:
    """Cancel a job; the audit record stands in the same write.

    Args:
        store: The object store.
        job: The job, as read.
        who: Caller or operator.
        reason: Why, for the audit trail.
        now: Wall-clock time in milliseconds.
        hint: Told of the changed job, to pass it on to all entries.
    """
    for _ in range(CANCEL_TRIES):
        found = stored_job(store, job.id)
        if isinstance(found, Failure):
            return Failure(request_failure(found.failure()))
        current, version = found.unwrap()
        record = AuditRecord(
            at=now,
            who=who,
            kind=AuditKind.CANCEL,
            subject=job.id,
            reason=reason,
            before=current.status.value,
            after=JobStatus.CANCELLING.value,
        )
        changed = cancel_job(current, record)
        if isinstance(changed, Failure):
            if changed.failure() is JobRefusal.CANCELLING:
                return Success(current)
            return Failure(_job_ended(current))
        written = store.update(f"jobs/{job.id}", job_to_json(changed.unwrap()), version=version)
        if isinstance(written, Success):
            hint(changed.unwrap())
            return Success(changed.unwrap())
        # A conflict means that progress was written in between; an unsettled write may stand.
        # Reading again answers both: a job found cancelling is a success.
        if written.failure().fault is StoreFault.UNAVAILABLE:
            return Failure(request_failure(written.failure()))
    return Failure(unavailable("store_busy", "The job keeps changing; try again."))


def stored_job(store: ObjectStore, job_id: str) -> Result[tuple[Job, int], StoreFailure]:
    """Read a job and its version."""
    found = store.get(f"jobs/{job_id}")
    if isinstance(found, Failure):
        return found
    return Success((job_from_json(found.unwrap().value), found.unwrap().version))


def job_not_found(job_id: str) -> RequestFailure:
    """Return the failure for a job that is not there, or belongs to someone else."""
    return invalid_request(
        "batch_not_found", f"There is no batch {job_id}.", status=HTTPStatus.NOT_FOUND
    )


def _job_ended(job: Job) -> RequestFailure:
    return invalid_request(
        "batch_ended",
        f"The batch is {job.status.value} and cannot be cancelled.",
        status=HTTPStatus.CONFLICT,
    )
