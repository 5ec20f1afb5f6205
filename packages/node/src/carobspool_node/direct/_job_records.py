"""Job records in the object store, which may be longer than one object.

A long record is split into pieces. They are written first and the object that names them last, so
that a record exists completely or not at all. A process that dies in between leaves pieces that no
object names; such pieces are never read.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Sequence
from typing import Annotated, Any

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import Json, ObjectStore, StoredObject, StoreFailure, StoreFault
from carobspool_core.direct import (
    ItemResult,
    JobInput,
    JobProgress,
    job_from_json,
    job_to_json,
    progress_from_json,
    progress_to_json,
    results_from_json,
)
from carobspool_core.problems import Problem, UnusableRecordError, printable_text
from carobspool_core.records import Record, ValidatedBy, field, read_record
from carobspool_node.direct._bad_records import BadRecords

INPUTS = "jobs/"
PROGRESS = "progress/"
PIECES = "pieces/"
MAX_RECORD_SHARE = 0.4
"""Share of the store's value limit that a record or a piece may occupy. Its text is escaped again
inside the object, which doubles it in the worst case, and the object has further fields."""

MAX_PIECES = 10_000
"""Pieces that one record may name: 4 GB of text at the users' limit for the size of a value."""
MAX_PIECE_NAME_CHARS = 200


class Segment(Struct, frozen=True, kw_only=True):
    """Results that were moved out of a job's progress into pieces; they never change.

    Attributes:
        name: Name that the pieces share.
        pieces: Number of pieces.
        results: Number of results in the segment.
    """

    name: str
    pieces: int
    results: int


class Listing(Struct, frozen=True, kw_only=True):
    """All objects under a prefix.

    Attributes:
        objects: The objects by name, without the prefix.
        complete: Whether the names of all objects were readable.
    """

    objects: dict[str, StoredObject]
    complete: bool


class StoredProgress(Struct, frozen=True, kw_only=True):
    """A job's progress with the data needed to replace it in the store.

    Attributes:
        progress: The progress with all results.
        segments: The segments that hold its first results.
        version: Version of the stored object; 0 if there is none yet.
    """

    progress: JobProgress
    segments: tuple[Segment, ...]
    version: int


class JobRecords:
    """Reads and writes the records of jobs.

    Args:
        store: The object store.
        value_limit: Size limit of an object in the store, in bytes.
        bad_records: Logs and counts unusable records; they are only logged without it.
    """

    def __init__(
        self, store: ObjectStore, value_limit: int, bad_records: BadRecords | None = None
    ) -> None:
        self._store = store
        self._bad_records = bad_records
        self._limit = int(value_limit * MAX_RECORD_SHARE)

    def create_input(self, job: JobInput) -> Result[StoredObject, StoreFailure]:
        """Write a job as submitted; the job is accepted once this create succeeds."""
        value = job_to_json(job)
        text = json.dumps(value)
        if len(text) > self._limit:
            written = self._write_pieces(text)
            if not is_successful(written):
                return Failure(written.failure())
            name, count = written.unwrap()
            value = {"pieces": [name, count], "owner": job.owner}
        return self._store.create(INPUTS + job.job_id, value)

    def read_input(self, job_id: str) -> Result[JobInput, StoreFailure]:
        """Read a job as submitted."""
        stored = self._store.get(INPUTS + job_id)
        if not is_successful(stored):
            return Failure(stored.failure())
        return self.decode_input(stored.unwrap())

    def decode_input(self, stored: StoredObject) -> Result[JobInput, StoreFailure]:
        """Return the job that an object contains or whose pieces it names.

        The failure is ``UNREADABLE`` if the record is not a valid job.
        """
        try:
            value = stored.value
            if isinstance(value, dict) and "pieces" in value:
                named = read_record(_LongInput, value).pieces
                text = self._read_pieces(named.name, named.count)
                if not is_successful(text):
                    return Failure(text.failure())
                value = _parse_json(text.unwrap())
            job = job_from_json(stored.key.removeprefix(INPUTS), value)
        except UnusableRecordError as error:
            return self._report_unreadable(stored.key, error)
        self._report_readable(stored.key)
        return Success(job)

    def read_progress(self, job_id: str) -> Result[StoredProgress, StoreFailure]:
        """Read a job's progress; the failure is ``NOT_FOUND`` if none is committed yet."""
        stored = self._store.get(PROGRESS + job_id)
        if not is_successful(stored):
            return Failure(stored.failure())
        return self.decode_progress(stored.unwrap())

    def decode_progress(self, stored: StoredObject) -> Result[StoredProgress, StoreFailure]:
        """Return the progress that an object contains, with the results in its segments.

        The failure is ``UNREADABLE`` if the record is not a valid progress.
        """
        try:
            tail = progress_from_json(stored.value)
            segments = _segments(stored.value)
            results: list[ItemResult] = []
            for segment in segments:
                text = self._read_pieces(segment.name, segment.pieces)
                if not is_successful(text):
                    return Failure(text.failure())
                results.extend(results_from_json(_parse_json(text.unwrap())))
        except UnusableRecordError as error:
            return self._report_unreadable(stored.key, error)
        self._report_readable(stored.key)
        progress = replace(tail, results=(*results, *tail.results))
        found = StoredProgress(progress=progress, segments=segments, version=stored.version)
        return Success(found)

    def write_progress(
        self,
        job_id: str,
        progress: JobProgress,
        *,
        version: int,
        segments: Sequence[Segment] = (),
    ) -> Result[StoredProgress, StoreFailure]:
        """Replace a job's progress.

        Args:
            job_id: The job.
            progress: The whole progress.
            version: Version of the stored progress to replace; 0 if there is none yet.
            segments: Segments that already hold the first results.
        """
        stored_segments = tuple(segments)
        value = _stored_value(progress, stored_segments)
        results = json.dumps(value["results"])
        if len(results) > self._limit:
            moved = self._write_pieces(results)
            if not is_successful(moved):
                return Failure(moved.failure())
            name, count = moved.unwrap()
            stored_segments = (
                *stored_segments,
                Segment(name=name, pieces=count, results=len(value["results"])),
            )
            value = _stored_value(progress, stored_segments)
        if progress.parts and len(json.dumps(value)) > self._limit:
            # Parts of unfinished items only save work after the loss of the owner. They are
            # dropped if necessary; the results have to fit.
            logging.info("event=parts_left_out job=%s parts=%d", job_id, len(progress.parts))
            value["parts"] = value["part_versions"] = {}
        key = PROGRESS + job_id
        if version == 0:
            written = self._store.create(key, value)
        else:
            written = self._store.update(key, value, version=version)
        if not is_successful(written):
            return Failure(written.failure())
        stored = StoredProgress(
            progress=progress, segments=stored_segments, version=written.unwrap().version
        )
        return Success(stored)

    def remove(self, stored: StoredObject) -> StoreFailure | None:
        """Remove a record and its pieces if the record is unchanged.

        Returns:
            The failure that prevented the removal of the record, ``None`` if it was removed.
        """
        removed = self._store.delete(stored.key, version=stored.version)
        if not is_successful(removed):
            return removed.failure()
        for name, count in referenced_pieces(stored.value):
            for number in range(count):
                self._remove_piece(f"{PIECES}{name}.{number}")
        return None

    def _remove_piece(self, key: str) -> None:
        piece = self._store.get(key)
        if not is_successful(piece):
            logging.info("event=piece_not_removed key=%s fault=%s", key, piece.failure().fault)
            return
        removed = self._store.delete(key, version=piece.unwrap().version)
        if not is_successful(removed):
            logging.info("event=piece_not_removed key=%s fault=%s", key, removed.failure().fault)

    def list_all(self, prefix: str) -> Result[Listing, StoreFailure]:
        """Return all objects under a prefix, by name."""
        found: dict[str, StoredObject] = {}
        unreadable = 0
        after = ""
        while True:
            page = self._store.list(prefix, after=after)
            if not is_successful(page):
                return Failure(page.failure())
            unreadable += page.unwrap().unreadable
            for each in page.unwrap().objects:
                found[each.key.removeprefix(prefix)] = each
                after = each.key
            if not page.unwrap().more:
                return Success(Listing(objects=found, complete=unreadable == 0))

    def _write_pieces(self, text: str) -> Result[tuple[str, int], StoreFailure]:
        name = uuid.uuid4().hex
        pieces = [text[at : at + self._limit] for at in range(0, len(text), self._limit)]
        for number, piece in enumerate(pieces):
            written = self._store.create(f"{PIECES}{name}.{number}", {"text": piece})
            if not is_successful(written):
                return Failure(written.failure())
        return Success((name, len(pieces)))

    def _report_unreadable(self, key: str, error: UnusableRecordError) -> Failure[StoreFailure]:
        if self._bad_records is not None:
            self._bad_records.report_if_changed(key, error)
        else:
            logging.warning(
                "event=bad_job_record key=%s reason=%r", printable_text(key, 80), str(error)
            )
        return Failure(StoreFailure(fault=StoreFault.UNREADABLE, key=key, detail=str(error)))

    def _report_readable(self, key: str) -> None:
        if self._bad_records is not None:
            self._bad_records.report_valid(key)

    def _read_pieces(self, name: str, count: int) -> Result[str, StoreFailure]:
        """Return the text of a long record, joined from its pieces.

        Raises:
            UnusableRecordError: A piece is missing or malformed.
        """
        texts: list[str] = []
        for number in range(count):
            key = f"{PIECES}{name}.{number}"
            read = self._store.get(key)
            if not is_successful(read):
                failure = read.failure()
                if failure.fault is StoreFault.NOT_FOUND:
                    # Pieces are written before the object that names them and removed after it, so
                    # that a missing piece means a damaged record.
                    raise _record_error(key, "no such object", "a piece of a record")
                return Failure(failure)
            texts.append(_piece_text(key, read.unwrap()))
        return Success("".join(texts))


def stored_owner(stored: StoredObject) -> str | None:
    """Return the owner that an input or a progress names, without the pieces of the record.

    ``None`` if it names none, as long inputs of the previous version.
    """
    owner = stored.value.get("owner") if isinstance(stored.value, dict) else None
    return owner if isinstance(owner, str) else None


def is_progress_open(stored: StoredObject) -> bool:
    """Whether items of a job are left to run, by its progress without the pieces of the record.

    An unusable progress counts as open.
    """
    try:
        segments = _segments(stored.value) if isinstance(stored.value, dict) else ()
    except UnusableRecordError:
        return True
    match stored.value:
        case {"ended": True}:
            return False
        case {"total": int() as total, "results": list() as results}:
            return sum(each.results for each in segments) + len(results) < total
    return True


def _stored_value(progress: JobProgress, segments: Sequence[Segment]) -> dict[str, Json]:
    value: dict[str, Json] = progress_to_json(progress)
    value["results"] = value["results"][sum(each.results for each in segments) :]
    value["segments"] = [[each.name, each.pieces, each.results] for each in segments]
    return value


class _Pieces(Record):
    name: str = field(min_length=1, max_length=MAX_PIECE_NAME_CHARS)
    count: int = field(ge=0, le=MAX_PIECES)


def _pieces_from_list(value: Any) -> Any:
    match value:
        case [name, count]:
            return {"name": name, "count": count}
    raise ValueError("a list of a name and a number")


class _LongInput(Record):
    pieces: Annotated[_Pieces, ValidatedBy(_pieces_from_list, "before")]


def _segments(value: Json) -> tuple[Segment, ...]:
    listed = value.get("segments", [])
    if not isinstance(listed, list):
        raise _record_error("segments", type(listed).__name__, "a list")
    found = []
    for number, each in enumerate(listed):
        match each:
            case [str() as name, int() as pieces, int() as results] if (
                0 <= pieces <= MAX_PIECES and results >= 0
            ):
                found.append(Segment(name=name, pieces=pieces, results=results))
            case _:
                raise _record_error(
                    f"segments[{number}]", type(each).__name__, "a list of name, pieces, results"
                )
    return tuple(found)


def referenced_pieces(value: Json) -> list[tuple[str, int]]:
    """Return the names that the pieces of a record share, each with the number of its pieces.

    The list is empty for an unusable record, whose pieces then stay in the store.
    """
    try:
        if isinstance(value, dict) and "pieces" in value:
            named = read_record(_LongInput, value).pieces
            return [(named.name, named.count)]
        if isinstance(value, dict):
            return [(each.name, each.pieces) for each in _segments(value)]
    except UnusableRecordError as error:
        logging.warning("event=pieces_not_removed reason=%r", printable_text(str(error), 300))
    return []


def _piece_text(key: str, piece: StoredObject) -> str:
    text = piece.value.get("text") if isinstance(piece.value, dict) else None
    if not isinstance(text, str):
        raise _record_error(key, type(text).__name__, "a piece of a record")
    return text


def _parse_json(text: str) -> Json:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _record_error("(pieces)", repr(error)[:80], "JSON") from error


def _record_error(path: str, found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path=path, found=found, allowed=allowed)])
