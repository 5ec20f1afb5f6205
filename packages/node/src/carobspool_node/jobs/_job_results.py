"""Results of batch items: their lines, their packing, and the files that callers read.

A job's output and error files are not stored as such. They follow from the chunk states, so any
entry can read them, and they are the same byte for byte wherever they are read.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from returns.result import Failure, Result, Success

from carobspool_core import (
    BatchItem,
    ChunkState,
    ItemOutcome,
    Job,
    JobCounts,
    Json,
    ObjectStore,
    Outcome,
    ResultPart,
    StoreFailure,
    StoreFault,
    add_counts,
    broken_upstream,
    chunk_from_json,
    spans_from_indexes,
)
from carobspool_node.errors import ContentUnavailableError
from carobspool_node.store import MAX_PACKED_CHARACTERS, pack, unpack

OUTPUT_PREFIX = "file-output-"
ERROR_PREFIX = "file-error-"
_JOB_PREFIX = "batch_"


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemResult:
    """The result of one item: its line in the output file, or in the error file if it failed."""

    index: int
    failed: bool
    line: str


def item_result(item: BatchItem, outcome: ItemOutcome) -> ItemResult:
    """Return the result that an outcome stands for, in the form of the OpenAI batch API."""
    failed = outcome.failure is not None or outcome.status >= HTTPStatus.BAD_REQUEST
    response: Json = None
    error: Json = None
    if outcome.failure is not None:
        error = {
            "code": outcome.failure.code,
            "message": outcome.failure.message,
            "outcome": outcome.failure.outcome.value,
        }
    else:
        response = {
            "status_code": outcome.status,
            "request_id": outcome.request_id,
            "body": _body(outcome.body),
        }
    line = {
        "id": _result_id(item),
        "custom_id": item.custom_id,
        "response": response,
        "error": error,
    }
    return ItemResult(index=item.index, failed=failed, line=_json_line(line))


def abandoned_result(item: BatchItem) -> ItemResult:
    """Return the result of a non-idempotent item whose holder died after it may have started."""
    failure = broken_upstream(
        "outcome_unknown",
        "The process that ran this item was lost; whether it ran is unknown, so it was not rerun.",
        outcome=Outcome.UNKNOWN,
    )
    return item_result(item, ItemOutcome(failure=failure))


def pack_results(results: Iterable[ItemResult]) -> list[tuple[ResultPart, str]]:
    """Pack results into parts, each small enough for one value.

    Returns:
        Pairs of a part without its payload and the packed payload.
    """
    ordered = sorted(results, key=lambda result: result.index)
    if not ordered:
        return []
    lines = [json.dumps([each.index, each.failed, each.line]) for each in ordered]
    packed = pack("\n".join(lines).encode())
    if len(packed) > MAX_PACKED_CHARACTERS:
        if len(ordered) == 1:
            return pack_results([_too_large(ordered[0])])
        middle = len(ordered) // 2
        return pack_results(ordered[:middle]) + pack_results(ordered[middle:])
    good = [each for each in ordered if not each.failed]
    bad = [each for each in ordered if each.failed]
    part = ResultPart(
        spans=spans_from_indexes(each.index for each in ordered),
        completed=len(good),
        failed=len(bad),
        output_bytes=_size(good),
        error_bytes=_size(bad),
    )
    return [(part, packed)]


def chunk_counts(state: ChunkState) -> JobCounts:
    """Return the counts of a chunk."""
    counts = JobCounts()
    for part in state.parts:
        counts = add_counts(
            counts,
            JobCounts(
                completed=part.completed,
                failed=part.failed,
                output_bytes=part.output_bytes,
                error_bytes=part.error_bytes,
            ),
        )
    return counts


def chunk_results(store: ObjectStore, state: ChunkState) -> Result[list[ItemResult], StoreFailure]:
    """Read all results of a chunk, in the order of its items."""
    results: list[ItemResult] = []
    for part in state.parts:
        payloads = [part.payload] if part.payload else []
        for key in part.segments:
            found = store.get(key)
            if isinstance(found, Failure):
                return found
            payloads.append(found.unwrap().value)
        for payload in payloads:
            results.extend(_unpack_results(payload))
    results.sort(key=lambda result: result.index)
    return Success(results)


def result_content(store: ObjectStore, job: Job, *, failed: bool) -> Iterator[bytes]:
    """Yield the lines of a job's output or error file, a chunk at a time, in input order.

    Raises:
        ContentUnavailableError: If a chunk cannot be read.
    """
    for number in range(len(job.chunk_sizes)):
        found = store.get(chunk_key(job.id, number))
        if isinstance(found, Failure):
            if found.failure().fault is StoreFault.NOT_FOUND:
                continue
            raise ContentUnavailableError(f"chunk {number} of {job.id} cannot be read")
        results = chunk_results(store, chunk_from_json(found.unwrap().value))
        if isinstance(results, Failure):
            raise ContentUnavailableError(f"results of chunk {number} of {job.id} cannot be read")
        lines = [each.line + "\n" for each in results.unwrap() if each.failed is failed]
        if lines:
            yield "".join(lines).encode()


def output_file_id(job_id: str) -> str:
    """Return the id of a job's output file."""
    return OUTPUT_PREFIX + job_id.removeprefix(_JOB_PREFIX)


def error_file_id(job_id: str) -> str:
    """Return the id of a job's error file."""
    return ERROR_PREFIX + job_id.removeprefix(_JOB_PREFIX)


def result_file_job(file_id: str) -> tuple[str, bool] | None:
    """Return the job of a result file and whether it is the error file; ``None`` for others."""
    if file_id.startswith(OUTPUT_PREFIX):
        return _JOB_PREFIX + file_id.removeprefix(OUTPUT_PREFIX), False
    if file_id.startswith(ERROR_PREFIX):
        return _JOB_PREFIX + file_id.removeprefix(ERROR_PREFIX), True
    return None


def chunk_key(job_id: str, number: int) -> str:
    """Return the key of a chunk's state."""
    return f"chunks/{job_id}/{number:06d}"


def _unpack_results(payload: str) -> Iterator[ItemResult]:
    for text in unpack(payload).decode().split("\n"):
        index, failed, line = json.loads(text)
        yield ItemResult(index=index, failed=failed, line=line)


def _body(body: bytes) -> Json:
    try:
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return body.decode("utf-8", "replace")


def _refuse_constant(name: str) -> Json:
    raise ValueError(f"{name} is not JSON")


def _json_line(line: Json) -> str:
    """Return a value as one line that can be encoded.

    An answer cut within an emoji may hold half a surrogate pair, which UTF-8 cannot. Left so, the
    chunk's results could never be written and its job would never end; escaped, it can be.
    """
    text = json.dumps(line, ensure_ascii=False, separators=(",", ":"))
    try:
        text.encode()
    except UnicodeEncodeError:
        return json.dumps(line, separators=(",", ":"))
    return text


def _result_id(item: BatchItem) -> str:
    text = f"{item.job}/{item.chunk}/{item.index}"
    return "batch_req_" + hashlib.sha256(text.encode()).hexdigest()[:24]


def _size(results: list[ItemResult]) -> int:
    return sum(len(each.line.encode()) + 1 for each in results)


def _too_large(result: ItemResult) -> ItemResult:
    line = json.loads(result.line)
    line["response"] = None
    line["error"] = {
        "code": "result_too_large",
        "message": "The item ran; its result is too large to be kept.",
        "outcome": Outcome.RAN.value,
    }
    return ItemResult(index=result.index, failed=True, line=_json_line(line))
