"""Acceptance of batch jobs.

A job is accepted by one write, that of the job object, and it comes last: chunk inputs and the
marker of open jobs stand by then. Whoever sees the job can run and finish it, so a host that is
lost right after its answer takes nothing with it.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from returns.result import Failure, Result, Success

from carobspool_core import (
    BatchShaping,
    Job,
    Millis,
    ObjectStore,
    Outcome,
    StoreFailure,
    StoreFault,
    content_job_id,
    invalid_request,
    job_to_json,
    keyed_job_id,
    unavailable,
)
from carobspool_core import Failure as RequestFailure
from carobspool_node.errors import ContentUnavailableError
from carobspool_node.jobs._files import FileRecord, file_content, get_file
from carobspool_node.jobs._job_changes import stored_job
from carobspool_node.jobs._job_input import ENDPOINTS, check_input, cut_chunks, input_lines
from carobspool_node.store import create_immutable, request_failure

MAX_KEY = 512
MAX_METADATA_PAIRS = 16
MAX_METADATA_NAME = 64
MAX_METADATA_VALUE = 512


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """What a caller submits.

    Attributes:
        organisation: Owner of the job.
        caller: Who submits.
        key: The caller's idempotency key, if any.
        input_file: Id of an uploaded file.
        endpoint: Path that all items call.
        metadata: The caller's own pairs.
    """

    organisation: str
    caller: str
    key: str | None
    input_file: str
    endpoint: str
    metadata: Mapping[str, str]


def submit(
    store: ObjectStore,
    submission: Submission,
    *,
    shaping: BatchShaping,
    known_model: Callable[[str], bool],
    now: Millis,
) -> Result[Job, RequestFailure]:
    """Accept a job, or return the one that an equal submission made before.

    Args:
        store: The object store.
        submission: What was submitted.
        shaping: How jobs are cut.
        known_model: Whether the organisation may call a model of this name.
        now: Wall-clock time in milliseconds.
    """
    if fault := _fault_of(submission):
        return Failure(fault)
    file = get_file(store, submission.organisation, submission.input_file)
    if isinstance(file, Failure):
        return file
    content = _content_digest(submission, file.unwrap())
    place = _find_place(store, submission, content)
    if isinstance(place, Failure):
        return place
    job_id, existing = place.unwrap()
    if existing is not None:
        return Success(existing)
    try:
        return _accept(store, submission, file.unwrap(), job_id, content, shaping, known_model, now)
    except ContentUnavailableError:
        return Failure(unavailable("store_unavailable", "The input file cannot be read now."))


def input_key(input_id: str, number: int) -> str:
    """Return the key of a chunk's items."""
    return f"inputs/{input_id}/{number:06d}"


def open_key(job_id: str) -> str:
    """Return the key of the marker that lists a job among the open ones."""
    return f"open/{job_id}"


def _find_place(
    store: ObjectStore, submission: Submission, content: str
) -> Result[tuple[str, Job | None], RequestFailure]:
    """Return the id for a submission, and the job if an equal one stands there."""
    generation = 0
    while True:
        if submission.key is not None:
            job_id = keyed_job_id(submission.organisation, submission.key)
        else:
            job_id = content_job_id(submission.organisation, content, generation)
        found = stored_job(store, job_id)
        if isinstance(found, Failure):
            if found.failure().fault is StoreFault.NOT_FOUND:
                return Success((job_id, None))
            return Failure(request_failure(found.failure()))
        job, _ = found.unwrap()
        if submission.key is not None and job.content != content:
            return Failure(_key_reused())
        if submission.key is not None or not job.ended:
            return Success((job_id, job))
        generation += 1


def _accept(
    store: ObjectStore,
    submission: Submission,
    file: FileRecord,
    job_id: str,
    content: str,
    shaping: BatchShaping,
    known_model: Callable[[str], bool],
    now: Millis,
) -> Result[Job, RequestFailure]:
    checked = check_input(
        input_lines(file_content(store, file)),
        endpoint=submission.endpoint,
        max_items=shaping.max_items,
        known_model=known_model,
    )
    if isinstance(checked, Failure):
        return checked
    input_id = _input_id(job_id, content, shaping)
    sizes = _write_inputs(store, file, input_id, checked.unwrap(), shaping)
    if isinstance(sizes, Failure):
        return Failure(request_failure(sizes.failure()))
    job = Job(
        id=job_id,
        organisation=submission.organisation,
        caller=submission.caller,
        content=content,
        input_file=file.id,
        input_id=input_id,
        endpoint=submission.endpoint,
        metadata=dict(submission.metadata),
        chunk_sizes=sizes.unwrap(),
        created_at=now,
        due_at=now + shaping.due,
        changed_at={"in_progress": now},
    )
    return _create_job(store, job, keyed=submission.key is not None)


def _write_inputs(
    store: ObjectStore, file: FileRecord, input_id: str, items: int, shaping: BatchShaping
) -> Result[tuple[int, ...], StoreFailure]:
    sizes: list[int] = []
    for chunk in cut_chunks(input_lines(file_content(store, file)), items, shaping):
        key = input_key(input_id, len(sizes))
        written = create_immutable(store, key, {"items": chunk.items, "packed": chunk.packed})
        if isinstance(written, Failure):
            return written
        sizes.append(chunk.items)
    return Success(tuple(sizes))


def _create_job(store: ObjectStore, job: Job, *, keyed: bool) -> Result[Job, RequestFailure]:
    marked = create_immutable(store, open_key(job.id), {})
    if isinstance(marked, Failure):
        return Failure(request_failure(marked.failure()))
    created = store.create(f"jobs/{job.id}", job_to_json(job))
    if isinstance(created, Success):
        return Success(job)
    if created.failure().fault is StoreFault.UNAVAILABLE:
        return Failure(request_failure(created.failure()))
    # Somebody else's job stands there, or our own whose answer was lost; equal content is as good.
    found = stored_job(store, job.id)
    if isinstance(found, Failure):
        return Failure(_acceptance_unknown())
    present, _ = found.unwrap()
    if present.content == job.content:
        return Success(present)
    if keyed:
        return Failure(_key_reused())
    return Failure(_acceptance_unknown())


def _content_digest(submission: Submission, file: FileRecord) -> str:
    parts = [
        submission.organisation,
        submission.endpoint,
        sorted(submission.metadata.items()),
        file.digest,
    ]
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()


def _input_id(job_id: str, content: str, shaping: BatchShaping) -> str:
    """Name the chunk inputs by all that shapes them.

    Two submissions with one key and other content may each get as far as writing inputs; by job id
    alone the accepted job could be left with the other's items.
    """
    text = f"{job_id}/{content}/{shaping.chunk_items}/{shaping.chunk_bytes}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _fault_of(submission: Submission) -> RequestFailure | None:
    if submission.endpoint not in ENDPOINTS:
        return invalid_request("unknown_endpoint", f"endpoint must be one of {list(ENDPOINTS)}.")
    if submission.key is not None and not 0 < len(submission.key) <= MAX_KEY:
        return invalid_request("invalid_key", f"An idempotency key has 1 to {MAX_KEY} characters.")
    if len(submission.metadata) > MAX_METADATA_PAIRS:
        return invalid_request("invalid_metadata", f"At most {MAX_METADATA_PAIRS} pairs.")
    for name, value in submission.metadata.items():
        if not isinstance(name, str) or not isinstance(value, str):
            return invalid_request("invalid_metadata", "Names and values are strings.")
        if len(name) > MAX_METADATA_NAME or len(value) > MAX_METADATA_VALUE:
            return invalid_request("invalid_metadata", "A name or a value is too long.")
    return None


def _key_reused() -> RequestFailure:
    return invalid_request(
        "idempotency_key_reused",
        "This idempotency key belongs to a job of other content.",
        status=HTTPStatus.CONFLICT,
    )


def _acceptance_unknown() -> RequestFailure:
    return unavailable(
        "acceptance_unknown",
        "Whether the job was accepted is unknown; send it again to find it.",
        outcome=Outcome.UNKNOWN,
    )
