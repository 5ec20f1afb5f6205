"""Batch jobs: their data, their statuses and the changes that are allowed between them."""

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
IDEMPOTENT_METADATA = "carobspool-idempotent"
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


ENDED = frozenset({JobStatus.COMPLETED, JobStatus.CANCELLED, JobStatus.FAILED, JobStatus.EXPIRED})


class JobRefusal(StrEnum):
    """Why a change of a job is not allowed."""

    ENDED = "ended"
    CANCELLING = "cancelling"
    CHUNKS_OPEN = "chunks_open"


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchItem:
    """One line of a job's input.

    Attributes:
        job: Id of the job.
        chunk: Number of its chunk.
        index: Its place within the chunk.
        custom_id: The caller's name for it, unique in the job.
        method: HTTP method.
        path: Path at the upstream, for example ``/v1/chat/completions``.
        body: Request body, JSON in UTF-8.
        model: Model that the body names.
        organisation: Organisation of the job.
        caller: Caller who submitted it.
        idempotent: Whether running it twice is harmless.
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
        organisation: Owner.
        caller: Who submitted it.
        content: Digest of everything that makes the job; equal for equal submissions.
        input_file: Id of the uploaded file.
        input_id: Names the chunk inputs, ``inputs/<input_id>/<n>``.
        endpoint: Path that all items call.
        metadata: The caller's own pairs.
        chunk_sizes: Items in each chunk.
        created_at: Wall-clock time, as all times here.
        due_at: When results are due.
        status: Where the job stands.
        counts: Known results; exact once the job has ended.
        changed_at: When each status was entered.
        audit: Records of changes that an operator may ask about.
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
        """Whether the job has reached a status that it never leaves."""
        return self.status in ENDED


def organisation_digest(organisation: str) -> str:
    """Return the part of an id that names the organisation, so that listings stay its own."""
    return hashlib.sha256(organisation.encode()).hexdigest()[:ORGANISATION_DIGEST_LENGTH]


def keyed_job_id(organisation: str, key: str) -> str:
    """Return the id of the job submitted under an idempotency key.

    A client that resends its submission, to any entry and at the same time, arrives at the same id
    and so at the same job; creation on the condition that the id is free lets one of them win.
    """
    return _job_id(organisation, "key", key)


def content_job_id(organisation: str, content: str, generation: int) -> str:
    """Return the id of a job submitted without a key.

    Args:
        organisation: Owner.
        content: Digest of the submission.
        generation: How many ended jobs of equal content came before.
    """
    return _job_id(organisation, "content", f"{content}/{generation}")


def cancel_job(job: Job, record: AuditRecord) -> Result[Job, JobRefusal]:
    """Ask for the end of a job; ``record`` goes into the same write."""
    if job.ended:
        return Failure(JobRefusal.ENDED)
    if job.status is JobStatus.CANCELLING:
        return Failure(JobRefusal.CANCELLING)
    changed = _enter(job, JobStatus.CANCELLING, record.at)
    return Success(replace(changed, audit=(*job.audit, record)))


def end_job(
    job: Job, counts: JobCounts, *, chunks_done: int, at: Millis
) -> Result[Job, JobRefusal]:
    """End a job all of whose chunks are done.

    Args:
        job: The stored job.
        counts: Sums over all chunks.
        chunks_done: Number of chunks known to be done.
        at: Wall-clock time.
    """
    if job.ended:
        return Failure(JobRefusal.ENDED)
    if chunks_done < len(job.chunk_sizes):
        return Failure(JobRefusal.CHUNKS_OPEN)
    if counts.completed + counts.failed < job.items:
        return Success(replace(_enter(job, JobStatus.CANCELLED, at), counts=counts))
    # A cancel that came after the last result has nothing left to stop.
    if job.status is JobStatus.CANCELLING:
        return Success(replace(_enter(job, JobStatus.CANCELLED, at), counts=counts))
    finalizing = _enter(job, JobStatus.FINALIZING, at)
    return Success(replace(_enter(finalizing, JobStatus.COMPLETED, at), counts=counts))


def report_progress(job: Job, counts: JobCounts) -> Result[Job, JobRefusal]:
    """Record new counts of a job that goes on."""
    if job.ended:
        return Failure(JobRefusal.ENDED)
    return Success(replace(job, counts=counts))


def progress_is_due(job: Job, counts: JobCounts) -> bool:
    """Tell whether the counts grew enough to be worth a write.

    Each write of a job goes to every entry that watches jobs, so progress is told in quarters.
    """
    grown = counts.completed + counts.failed - job.counts.completed - job.counts.failed
    return grown * PROGRESS_STEPS >= job.items


def add_counts(first: JobCounts, second: JobCounts) -> JobCounts:
    """Return the sums."""
    return JobCounts(
        completed=first.completed + second.completed,
        failed=first.failed + second.failed,
        output_bytes=first.output_bytes + second.output_bytes,
        error_bytes=first.error_bytes + second.error_bytes,
    )


def _enter(job: Job, status: JobStatus, at: Millis) -> Job:
    return replace(job, status=status, changed_at={**job.changed_at, status.value: at})


def _job_id(organisation: str, kind: str, name: str) -> str:
    text = "\0".join((organisation, kind, name))
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]
    return f"batch_{organisation_digest(organisation)}{digest}"
