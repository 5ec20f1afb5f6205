"""Input of a batch job: reading JSON Lines, checking them, cutting them into chunks."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from carobspool_core import (
    IDEMPOTENT_METADATA_KEY,
    BatchItem,
    BatchShaping,
    Json,
    invalid_request,
    max_bytes_per_chunk,
    max_items_per_chunk,
)
from carobspool_core import Failure as RequestFailure
from carobspool_node.store import pack, unpack

ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
MAX_LINE_BYTES = 524_288
MAX_CUSTOM_ID = 512
_PACKED_PER_BYTE = 4 / 3


@dataclass(frozen=True, slots=True, kw_only=True)
class InputLine:
    """One line of a job's input, checked."""

    custom_id: str
    method: str
    model: str
    body: bytes
    idempotent: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class InputChunk:
    """Lines that travel together, packed."""

    items: int
    packed: str


def check_input(
    lines: Iterable[bytes],
    *,
    endpoint: str,
    max_items: int,
    known_model: Callable[[str], bool],
) -> Result[int, RequestFailure]:
    """Check all lines; return their number, or the first fault with its line number."""
    count = 0
    seen: set[bytes] = set()
    for number, line in enumerate(lines, start=1):
        parsed = parse_line(line, endpoint)
        if isinstance(parsed, Failure):
            return Failure(_at_line(number, "invalid_line", parsed.failure()))
        item = parsed.unwrap()
        # Digests instead of the ids: half a million long ids would take hundreds of megabytes.
        digest = hashlib.blake2b(item.custom_id.encode(), digest_size=12).digest()
        if digest in seen:
            text = f"custom_id {item.custom_id!r} was used before"
            return Failure(_at_line(number, "duplicate_custom_id", text))
        seen.add(digest)
        if not known_model(item.model):
            text = f"there is no model {item.model!r}"
            return Failure(_at_line(number, "model_not_found", text))
        count += 1
        if count > max_items:
            text = f"A job holds at most {max_items} items."
            return Failure(invalid_request("too_many_items", text))
    if count == 0:
        return Failure(invalid_request("empty_file", "The input file holds no items."))
    return Success(count)


def parse_line(line: bytes, endpoint: str) -> Result[InputLine, str]:
    """Read one line; the failure says what is wrong with it."""
    if len(line) > MAX_LINE_BYTES:
        return Failure(f"longer than {MAX_LINE_BYTES} bytes")
    try:
        value = json.loads(line, parse_constant=_refuse_constant)
    except (ValueError, RecursionError):
        return Failure("not valid JSON")
    if not isinstance(value, dict):
        return Failure("not a JSON object")
    custom_id = value.get("custom_id")
    if not isinstance(custom_id, str) or not 0 < len(custom_id) <= MAX_CUSTOM_ID:
        return Failure(f"custom_id must be a string of 1 to {MAX_CUSTOM_ID} characters")
    if value.get("method", "POST") != "POST":
        return Failure("method must be POST")
    if value.get("url", endpoint) != endpoint:
        return Failure(f"url must be the job's endpoint {endpoint}")
    return _parse_body(value, custom_id)


def input_lines(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Join pieces of a file and split them into lines; blank lines are left out."""
    pending = b""
    for piece in pieces:
        lines = (pending + piece).split(b"\n")
        pending = lines.pop()
        yield from (line for line in lines if line.strip())
    if pending.strip():
        yield pending


def cut_chunks(lines: Iterable[bytes], items: int, shaping: BatchShaping) -> Iterator[InputChunk]:
    """Cut the lines of a job of ``items`` items into chunks, in order."""
    most = max_items_per_chunk(shaping, items)
    limit = int(max_bytes_per_chunk(shaping, items) * _PACKED_PER_BYTE)
    group: list[bytes] = []
    for line in lines:
        group.append(line)
        if len(group) == most:
            yield from _pack_group(group, limit)
            group = []
    if group:
        yield from _pack_group(group, limit)


def read_items(
    packed: str,
    *,
    job: str,
    chunk: int,
    endpoint: str,
    organisation: str,
    caller: str,
    metadata: dict[str, str],
) -> list[BatchItem]:
    """Return the items of a packed chunk.

    Raises:
        ValueError: If the chunk is damaged.
    """
    job_idempotent = metadata.get(IDEMPOTENT_METADATA_KEY, "true").lower() != "false"
    items = []
    for index, line in enumerate(unpack(packed).split(b"\n")):
        parsed = parse_line(line, endpoint)
        if isinstance(parsed, Failure):
            raise ValueError(f"item {index} of chunk {chunk} of {job}: {parsed.failure()}")
        read = parsed.unwrap()
        items.append(
            BatchItem(
                job=job,
                chunk=chunk,
                index=index,
                custom_id=read.custom_id,
                method=read.method,
                path=endpoint,
                body=read.body,
                model=read.model,
                organisation=organisation,
                caller=caller,
                idempotent=read.idempotent and job_idempotent,
            )
        )
    return items


def _parse_body(value: dict[str, Json], custom_id: str) -> Result[InputLine, str]:
    body = value.get("body")
    if not isinstance(body, dict):
        return Failure("body must be a JSON object")
    model = body.get("model")
    if not isinstance(model, str):
        return Failure("body.model must be a string")
    if body.get("stream"):
        return Failure("body.stream is not allowed in a batch")
    idempotent = value.get("idempotent", True)
    if not isinstance(idempotent, bool):
        return Failure("idempotent must be true or false")
    try:
        custom_id.encode()
        encoded = json.dumps(body, ensure_ascii=False, separators=(",", ":")).encode()
    except UnicodeEncodeError:
        return Failure("a string holds half a surrogate pair")
    return Success(
        InputLine(
            custom_id=custom_id,
            method="POST",
            model=model,
            body=encoded,
            idempotent=idempotent,
        )
    )


def _refuse_constant(name: str) -> Json:
    raise ValueError(f"{name} is not JSON")


def _pack_group(group: list[bytes], limit: int) -> Iterator[InputChunk]:
    packed = pack(b"\n".join(group))
    if len(packed) <= limit or len(group) == 1:
        yield InputChunk(items=len(group), packed=packed)
        return
    middle = len(group) // 2
    yield from _pack_group(group[:middle], limit)
    yield from _pack_group(group[middle:], limit)


def _at_line(number: int, code: str, text: str) -> RequestFailure:
    return invalid_request(code, f"Line {number}: {text}.")
