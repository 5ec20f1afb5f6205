"""Batch jobs: their data, their statuses and the transitions between them."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from returns.result import Failure, Result, Success

from carobspool_core._audit import AuditRecord
from carobspool_core._clock import Millis

DIGEST_LENGTH = 32
ORGANISATION_DIGEST_LENGTH = 8
IDEMPOTENT_METADATA_KEY = "carobspool-idempotent"
PROGRESS_STEPS = 4


class JobStatus(StrEnum):
    """Status of a job, spelt as in the OpenAI batch API."""

    VALIDATING = "validating"
    IN_PROGRESS = "in_progress"
    FINALIZING = "finalizing"
    COMPLETED = "completed"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"
    FAILED = "failed"
    EXPIRED = "expired"


FINAL_STATUSES = frozenset(
    {JobStatus.COMPLETED, JobStatus.CANCELLED, JobStatus.FAILED, JobStatus.EXPIRED}
)


class JobRefusal(StrEnum):
    """Why a transition of a job is refused."""

    ENDED = "ended"
    CANCELLING = "cancelling"
    CHUNKS_OPEN = "chunks_open"


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchItem:
    """One line of a job's input.

    Attributes:
        job: Id of the job.
        chunk: Number of its chunk.
        index: Position of the item within the chunk.
        custom_id: Name that the caller gave the item, unique in the job.
        method: HTTP method.
        path: Path at the upstream, for example ``/v1/chat/completions``.
        body: Request body, JSON in UTF-8.
        model: Model named in the body.
        organisation: Organisation of the job.
        caller: Caller who submitted the job.
        idempotent: Whether the item can be run twice without harm.
    """

    job: str
    chunk: int
    index: int
    custom_id: str
    method: str
    path: str
    body: bytes
    model: str
    organisation: str
    caller: str
    idempotent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class JobCounts:
    """Finished items of a job and the size of its result files in bytes."""

    completed: int = 0
    failed: int = 0
    output_bytes: int = 0
    error_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A batch job as stored.

    Attributes:
        id: Derived from the organisation and the idempotency key, or from the content.
        organisation: Organisation that owns the job.
        caller: Caller who submitted the job.
        content: Digest of everything that defines the job; equal for equal submissions.
        input_file: Id of the uploaded file.
        input_id: Part of the keys of the chunk inputs, ``inputs/<input_id>/<n>``.
        endpoint: Path that all items call.
        metadata: Key-value pairs supplied by the caller.
        chunk_sizes: Number of items in each chunk.
        created_at: When the job was created. All times of a job are wall-clock times.
        due_at: When results are due.
        status: Current status.
        counts: Results counted so far; exact once the job has ended.
        changed_at: When each status was entered.
        audit: Audit records of changes to the job.
    """

    id: str
    organisation: str
    caller: str
    content: str
    input_file: str
    input_id: str
    endpoint: str
    metadata: Mapping[str, str]
    chunk_sizes: tuple[int, ...]
    created_at: Millis
    due_at: Millis
    status: JobStatus = JobStatus.IN_PROGRESS
    counts: JobCounts = JobCounts()
    changed_at: Mapping[str, Millis] = field(default_factory=dict)
    audit: tuple[AuditRecord, ...] = ()

    @property
    def items(self) -> int:
        """Number of items in the job."""
        return sum(self.chunk_sizes)

    @property
    def ended(self) -> bool:
        """Whether the job has reached a final status."""
        return self.status in FINAL_STATUSES


def organisation_digest(organisation: str) -> str:
    """Return the digest that identifies the organisation in ids; ids are listed by this prefix."""
    return hashlib.sha256(organisation.encode()).hexdigest()[:ORGANISATION_DIGEST_LENGTH]


def keyed_job_id(organisation: str, key: str) -> str:
    """Return the id of the job submitted under an idempotency key.

    A client that resends its submission, to any entry and even concurrently, gets the same id and
    so the same job: a job is created on the condition that its id is free, so only one of the
    submissions creates it.
    """
    return _job_id(organisation, "key", key)


def content_job_id(organisation: str, content: str, generation: int) -> str:
    """Return the id of a job submitted without an idempotency key.

    Args:
        organisation: Organisation that owns the job.
        content: Digest of the submission.
        generation: Number of earlier jobs with the same content, all of which have ended.
    """
    return _job_id(organisation, "content", f"{content}/{generation}")


def cancel_job(job: Job, record: AuditRecord) -> Result[Job, JobRefusal]:
    """Start the cancellation of a job; ``record`` is stored in the same write."""
    if job.ended:
        return Failure(JobRefusal.ENDED)
    if job.status is JobStatus.CANCELLING:
        return Failure(JobRefusal.CANCELLING)
    changed = _with_status(job, JobStatus.CANCELLING, record.at)
    return Success(replace(changed, audit=(*job.audit, record)))


def end_job(
    job: Job, counts: JobCounts, *, chunks_done: int, at: Millis
) -> Result[Job, JobRefusal]:
    """End a job; refused while one of its chunks is not done.

    The job ends as cancelled if it was being cancelled or if an item has no result, otherwise as
    completed.

    Args:
        job: The stored job.
        counts: Results summed over all chunks.
        chunks_done: Number of chunks known to be done.
        at: Wall-clock time.
    """
    if job.ended:
        return Failure(JobRefusal.ENDED)
    if chunks_done < len(job.chunk_sizes):
        return Failure(JobRefusal.CHUNKS_OPEN)
    if counts.completed + counts.failed < job.items:
        return Success(replace(_with_status(job, JobStatus.CANCELLED, at), counts=counts))
    # The cancellation arrived after the last result: no item is left to stop.
    if job.status is JobStatus.CANCELLING:
        return Success(replace(_with_status(job, JobStatus.CANCELLED, at), counts=counts))
    finalizing = _with_status(job, JobStatus.FINALIZING, at)
    return Success(replace(_with_status(finalizing, JobStatus.COMPLETED, at), counts=counts))


def with_counts(job: Job, counts: JobCounts) -> Result[Job, JobRefusal]:
    """Record the current counts of a job that has not ended."""
    if job.ended:
        return Failure(JobRefusal.ENDED)
    return Success(replace(job, counts=counts))


def should_write_progress(job: Job, counts: JobCounts) -> bool:
    """Return whether the counts have grown enough since the last write to be written again.

    Each write of a job is sent to every entry that watches jobs, so progress is written only once
    for each quarter of the items.
    """
    newly_finished = counts.completed + counts.failed - job.counts.completed - job.counts.failed
    return newly_finished * PROGRESS_STEPS >= job.items


def add_counts(first: JobCounts, second: JobCounts) -> JobCounts:
    """Return the field-wise sum of two counts."""
    return JobCounts(
        completed=first.completed + second.completed,
        failed=first.failed + second.failed,
        output_bytes=first.output_bytes + second.output_bytes,
        error_bytes=first.error_bytes + second.error_bytes,
    )


def _with_status(job: Job, status: JobStatus, at: Millis) -> Job:
    return replace(job, status=status, changed_at={**job.changed_at, status.value: at})


def _job_id(organisation: str, kind: str, name: str) -> str:
    text = "\0".join((organisation, kind, name))
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]
    return f"batch_{organisation_digest(organisation)}{digest}"
