"""Tests of batch jobs: ids, status transitions and progress."""

from __future__ import annotations

from returns.result import Failure

from carobspool_core import (
    AuditRecord,
    Job,
    JobCounts,
    JobRefusal,
    JobStatus,
    cancel_job,
    content_job_id,
    end_job,
    job_from_json,
    job_to_json,
    keyed_job_id,
    should_write_progress,
)

JOB = Job(
    id=keyed_job_id("press", "k"),
    organisation="press",
    caller="editor",
    content="c",
    input_file="file-1",
    input_id="i",
    endpoint="/v1/chat/completions",
    metadata={"a": "b"},
    chunk_sizes=(4, 2),
    created_at=1.0,
    due_at=2.0,
)
RECORD = AuditRecord(
    at=5.0, who="editor", kind="cancel", subject=JOB.id, reason="", before="", after=""
)


def test_ids_are_derived_from_organisation_and_key() -> None:
    """Equal submissions have equal ids; another organisation, key or generation has another id."""
    assert keyed_job_id("press", "k") == JOB.id
    others = {keyed_job_id("tabosa", "k"), keyed_job_id("press", "l")}
    others |= {content_job_id("press", "k", 0), content_job_id("press", "k", 1)}
    assert len(others | {JOB.id}) == 5


def test_job_ends_when_all_chunks_are_done() -> None:
    """A job completes when all results are there, and can't end while a chunk is open."""
    counts = JobCounts(completed=5, failed=1)
    assert end_job(JOB, counts, chunks_done=1, at=9.0) == Failure(JobRefusal.CHUNKS_OPEN)
    ended = end_job(JOB, counts, chunks_done=2, at=9.0).unwrap()
    assert ended.status is JobStatus.COMPLETED
    assert ended.changed_at == {"finalizing": 9.0, "completed": 9.0}
    assert end_job(ended, counts, chunks_done=2, at=9.0) == Failure(JobRefusal.ENDED)
    assert job_from_json(job_to_json(ended)) == ended


def test_cancel_is_recorded_once() -> None:
    """A cancellation is stored with its audit record, can't be repeated, and ends as cancelled."""
    cancelling = cancel_job(JOB, RECORD).unwrap()
    assert cancelling.status is JobStatus.CANCELLING
    assert cancelling.audit == (RECORD,)
    assert job_from_json(job_to_json(cancelling)) == cancelling
    assert cancel_job(cancelling, RECORD) == Failure(JobRefusal.CANCELLING)
    ended = end_job(cancelling, JobCounts(completed=1), chunks_done=2, at=9.0).unwrap()
    assert ended.status is JobStatus.CANCELLED
    assert cancel_job(ended, RECORD) == Failure(JobRefusal.ENDED)


def test_progress_is_written_once_per_quarter() -> None:
    """Counts are written when a quarter of the items has ended since the last write."""
    assert not should_write_progress(JOB, JobCounts(completed=1))
    assert should_write_progress(JOB, JobCounts(completed=1, failed=1))
