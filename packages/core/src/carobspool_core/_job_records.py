"""JSON values of jobs and chunk states, as they stand in the object store."""

from __future__ import annotations

import dataclasses

from carobspool_core._audit import AuditRecord
from carobspool_core._chunks import ChunkState, ChunkStatus, Holder, ResultPart
from carobspool_core._jobs import Job, JobCounts, JobStatus
from carobspool_core._ports import Json
from carobspool_core._spans import Spans


def job_value(job: Job) -> Json:
    """Return the JSON value of a job."""
    return dataclasses.asdict(job)


def read_job(value: Json) -> Job:
    """Return the job that a JSON value holds.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a field has the wrong shape.
        ValueError: If a status is unknown.
    """
    return Job(
        **{
            **value,
            "chunk_sizes": tuple(value["chunk_sizes"]),
            "status": JobStatus(value["status"]),
            "counts": JobCounts(**value["counts"]),
            "audit": tuple(AuditRecord(**record) for record in value["audit"]),
        }
    )


def chunk_value(state: ChunkState) -> Json:
    """Return the JSON value of a chunk state."""
    return dataclasses.asdict(state)


def read_chunk(value: Json) -> ChunkState:
    """Return the chunk state that a JSON value holds.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a field has the wrong shape.
        ValueError: If a status is unknown.
    """
    return ChunkState(
        holder=Holder(**value["holder"]),
        status=ChunkStatus(value["status"]),
        items=value["items"],
        intents=_spans(value["intents"]),
        abandoned=_spans(value["abandoned"]),
        parts=tuple(_part(part) for part in value["parts"]),
    )


def _part(value: Json) -> ResultPart:
    return ResultPart(
        **{**value, "spans": _spans(value["spans"]), "segments": tuple(value["segments"])}
    )


def _spans(value: Json) -> Spans:
    return tuple((start, stop) for start, stop in value)
