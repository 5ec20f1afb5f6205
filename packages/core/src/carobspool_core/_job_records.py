"""Conversion of jobs and chunk states to and from the JSON values in the object store."""

from __future__ import annotations

import dataclasses

from carobspool_core._audit import AuditRecord
from carobspool_core._chunks import ChunkHolder, ChunkState, ChunkStatus, ResultPart
from carobspool_core._jobs import Job, JobCounts, JobStatus
from carobspool_core._ports import Json
from carobspool_core._spans import Spans


def job_to_json(job: Job) -> Json:
    """Return the JSON value in which a job is stored."""
    return dataclasses.asdict(job)


def job_from_json(value: Json) -> Job:
    """Return the job that is stored in a JSON value.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a field has the wrong type.
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


def chunk_to_json(state: ChunkState) -> Json:
    """Return the JSON value in which a chunk state is stored."""
    return dataclasses.asdict(state)


def chunk_from_json(value: Json) -> ChunkState:
    """Return the chunk state that is stored in a JSON value.

    Raises:
        KeyError: If a field is missing.
        TypeError: If a field has the wrong type.
        ValueError: If a status is unknown.
    """
    return ChunkState(
        holder=ChunkHolder(**value["holder"]),
        status=ChunkStatus(value["status"]),
        items=value["items"],
        intents=_read_spans(value["intents"]),
        abandoned=_read_spans(value["abandoned"]),
        parts=tuple(_read_part(part) for part in value["parts"]),
    )


def _read_part(value: Json) -> ResultPart:
    return ResultPart(
        **{**value, "spans": _read_spans(value["spans"]), "segments": tuple(value["segments"])}
    )


def _read_spans(value: Json) -> Spans:
    return tuple((start, stop) for start, stop in value)
