"""Files, batches and lists of them as the OpenAI API spells them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from carobspool_core import Job, Json, Millis
from carobspool_node.jobs._files import FileRecord
from carobspool_node.jobs._job_results import error_file_id, output_file_id

DEFAULT_LIMIT = 20
MAX_LIMIT = 10_000
COMPLETION_WINDOW = "24h"


def page(objects: Sequence[Mapping[str, Json]], after: str | None, limit: int) -> Json:
    """Return one page of a list, from the object after ``after`` on."""
    start = 0
    for place, each in enumerate(objects):
        if each["id"] == after:
            start = place + 1
    chosen = objects[start : start + max(1, min(limit, MAX_LIMIT))]
    return {
        "object": "list",
        "data": list(chosen),
        "first_id": chosen[0]["id"] if chosen else None,
        "last_id": chosen[-1]["id"] if chosen else None,
        "has_more": start + len(chosen) < len(objects),
    }


def file_object(record: FileRecord) -> Json:
    """Return an uploaded file as callers see it."""
    return {
        "id": record.id,
        "object": "file",
        "bytes": record.bytes,
        "created_at": _seconds(record.created_at),
        "expires_at": None,
        "filename": record.filename,
        "purpose": record.purpose,
        "status": "processed",
        "status_details": None,
    }


def result_file_object(job: Job, *, failed: bool) -> Json:
    """Return one of the two result files of a job as callers see it."""
    kind = "error" if failed else "output"
    return {
        "id": error_file_id(job.id) if failed else output_file_id(job.id),
        "object": "file",
        "bytes": job.counts.error_bytes if failed else job.counts.output_bytes,
        "created_at": _seconds(job.created_at),
        "expires_at": None,
        "filename": f"{job.id}_{kind}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
        "status_details": None,
    }


def batch_object(job: Job) -> Json:
    """Return a job as callers see it."""
    counts = job.counts
    output = output_file_id(job.id) if job.ended and counts.completed else None
    errors = error_file_id(job.id) if job.ended and counts.failed else None
    return {
        "id": job.id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.input_file,
        "completion_window": COMPLETION_WINDOW,
        "status": job.status.value,
        "output_file_id": output,
        "error_file_id": errors,
        "created_at": _seconds(job.created_at),
        "in_progress_at": _changed_at(job, "in_progress"),
        "expires_at": _seconds(job.due_at),
        "finalizing_at": _changed_at(job, "finalizing"),
        "completed_at": _changed_at(job, "completed"),
        "failed_at": _changed_at(job, "failed"),
        "expired_at": _changed_at(job, "expired"),
        "cancelling_at": _changed_at(job, "cancelling"),
        "cancelled_at": _changed_at(job, "cancelled"),
        "request_counts": {
            "total": job.items,
            "completed": counts.completed,
            "failed": counts.failed,
        },
        "metadata": dict(job.metadata),
    }


def _changed_at(job: Job, status: str) -> int | None:
    found = job.changed_at.get(status)
    return None if found is None else _seconds(found)


def _seconds(at: Millis) -> int:
    return int(at / 1000.0)
