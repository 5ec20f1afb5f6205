"""Uploaded files: parts first, the record that makes them a file last."""

from __future__ import annotations

import dataclasses
import hashlib
import uuid
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus

from returns.result import Failure, Result, Success

from carobspool_core import Failure as RequestFailure
from carobspool_core import (
    Json,
    Millis,
    ObjectStore,
    StoreFault,
    invalid_request,
    organisation_digest,
)
from carobspool_node.errors import ContentUnavailableError
from carobspool_node.store import (
    MAX_PACKED_CHARACTERS,
    iterate_objects,
    pack,
    request_failure,
    unpack,
)

PART_BYTES = 2_097_152
MAX_FILE_BYTES = 1_073_741_824


@dataclass(frozen=True, slots=True, kw_only=True)
class FileRecord:
    """An uploaded file.

    Attributes:
        id: Its id.
        organisation: Owner.
        caller: Who uploaded it.
        filename: Name given by the caller.
        purpose: Purpose given by the caller, for example ``batch``.
        bytes: Size.
        digest: SHA-256 (hex) of the content.
        parts: Number of part objects.
        created_at: Wall-clock time in milliseconds.
    """

    id: str
    organisation: str
    caller: str
    filename: str
    purpose: str
    bytes: int
    digest: str
    parts: int
    created_at: Millis


def create_file(
    store: ObjectStore,
    content: Iterable[bytes],
    *,
    organisation: str,
    caller: str,
    filename: str,
    purpose: str,
    now: Millis,
) -> Result[FileRecord, RequestFailure]:
    """Store a file as its content arrives; memory holds one part at a time.

    Args:
        store: The object store.
        content: The content in pieces of any size.
        organisation: Owner.
        caller: Who uploads.
        filename: Its name.
        purpose: Its purpose.
        now: Wall-clock time in milliseconds.
    """
    file_id = f"file-{organisation_digest(organisation)}{uuid.uuid4().hex}"
    digest = hashlib.sha256()
    size = 0
    parts = 0
    for block in _blocks(content):
        digest.update(block)
        size += len(block)
        if size > MAX_FILE_BYTES:
            return Failure(_too_large())
        for text in _packed(block):
            written = store.create(_part_key(file_id, parts), text)
            if isinstance(written, Failure):
                return Failure(request_failure(written.failure()))
            parts += 1
    record = FileRecord(
        id=file_id,
        organisation=organisation,
        caller=caller,
        filename=filename,
        purpose=purpose,
        bytes=size,
        digest=digest.hexdigest(),
        parts=parts,
        created_at=now,
    )
    created = store.create(_file_key(file_id), dataclasses.asdict(record))
    if isinstance(created, Failure):
        return Failure(request_failure(created.failure()))
    return Success(record)


def get_file(
    store: ObjectStore, organisation: str, file_id: str
) -> Result[FileRecord, RequestFailure]:
    """Return the record of a file that the organisation owns."""
    found = store.get(_file_key(file_id))
    if isinstance(found, Failure):
        if found.failure().fault is StoreFault.NOT_FOUND:
            return Failure(file_not_found(file_id))
        return Failure(request_failure(found.failure()))
    record = _record(found.unwrap().value)
    if record.organisation != organisation:
        return Failure(file_not_found(file_id))
    return Success(record)


def list_files(store: ObjectStore, organisation: str) -> Result[list[FileRecord], RequestFailure]:
    """Return the organisation's files, the newest first."""
    records = []
    prefix = _file_key(f"file-{organisation_digest(organisation)}")
    for found in iterate_objects(store, prefix):
        if isinstance(found, Failure):
            return Failure(request_failure(found.failure()))
        record = _record(found.unwrap().value)
        if record.organisation == organisation:
            records.append(record)
    records.sort(key=lambda record: (record.created_at, record.id), reverse=True)
    return Success(records)


def file_content(store: ObjectStore, record: FileRecord) -> Iterator[bytes]:
    """Yield the content in pieces.

    Raises:
        ContentUnavailableError: If a part cannot be read.
    """
    for number in range(record.parts):
        found = store.get(_part_key(record.id, number))
        if isinstance(found, Failure):
            raise ContentUnavailableError(f"part {number} of {record.id} cannot be read")
        yield unpack(found.unwrap().value)


def delete_file(
    store: ObjectStore, organisation: str, file_id: str
) -> Result[None, RequestFailure]:
    """Delete a file: the record first, so that no file ever lacks a part."""
    found = store.get(_file_key(file_id))
    if isinstance(found, Failure):
        if found.failure().fault is StoreFault.NOT_FOUND:
            return Failure(file_not_found(file_id))
        return Failure(request_failure(found.failure()))
    stored = found.unwrap()
    record = _record(stored.value)
    if record.organisation != organisation:
        return Failure(file_not_found(file_id))
    deleted = store.delete(stored.key, version=stored.version)
    if isinstance(deleted, Failure):
        return Failure(request_failure(deleted.failure()))
    for number in range(record.parts):
        part = store.get(_part_key(file_id, number))
        if isinstance(part, Success):
            store.delete(part.unwrap().key, version=part.unwrap().version)
    return Success(None)


def file_not_found(file_id: str) -> RequestFailure:
    """Return the failure for a file that is not there, or belongs to someone else."""
    return invalid_request(
        "file_not_found", f"There is no file {file_id}.", status=HTTPStatus.NOT_FOUND
    )


def _blocks(content: Iterable[bytes]) -> Iterator[bytes]:
    pending = bytearray()
    for piece in content:
        pending += piece
        while len(pending) >= PART_BYTES:
            yield bytes(pending[:PART_BYTES])
            del pending[:PART_BYTES]
    if pending:
        yield bytes(pending)


def _packed(block: bytes) -> Iterator[str]:
    """Pack a block, in halves when it does not compress into one value."""
    text = pack(block)
    if len(text) <= MAX_PACKED_CHARACTERS:
        yield text
        return
    middle = len(block) // 2
    yield from _packed(block[:middle])
    yield from _packed(block[middle:])


def _record(value: Json) -> FileRecord:
    return FileRecord(**value)


def _file_key(file_id: str) -> str:
    return f"files/{file_id}"


def _part_key(file_id: str, number: int) -> str:
    return f"parts/{file_id}/{number:06d}"


def _too_large() -> RequestFailure:
    return invalid_request(
        "file_too_large",
        f"A file holds at most {MAX_FILE_BYTES} bytes.",
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
