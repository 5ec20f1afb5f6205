"""Jobs in the object store: records that may be longer than one object.

A long record is cut into pieces, which are written first; the object that names them is written
last, so that a record is there whole or not at all. Pieces that no object names are left behind
when a process dies in between; they are never read.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import Json, ObjectStore, StoredObject, StoreFailure, StoreFault
from carobspool_core.direct import (
    ItemEnd,
    ItemResult,
    JobInput,
    JobProgress,
    job_from_json,
    job_to_json,
    progress_from_json,
    progress_to_json,
)

INPUTS = "jobs/"
PROGRESS = "progress/"
PIECES = "pieces/"
RECORD_SHARE = 0.4
"""Share of the store's value limit that a record or a piece may take: its text is escaped once more
inside the object, which at worst doubles it, and the object has some fields of its own."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Segment:
    """Results that were moved out of a job's progress; they never change."""

    name: str
    pieces: int
    results: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredProgress:
    """A job's progress with what is needed to replace it."""

    progress: JobProgress
    segments: tuple[Segment, ...]
    version: int


class JobRecords:
    """Reads and writes the records of jobs.

    Args:
        store: The object store.
        value_limit: Longest object of the store, in bytes.
    """

    def __init__(self, store: ObjectStore, value_limit: int) -> None:
        self._store = store
        self._limit = int(value_limit * RECORD_SHARE)

    def create_input(self, job: JobInput) -> Result[StoredObject, StoreFailure]:
        """Write a job as submitted; its creation is the acceptance."""
        value = job_to_json(job)
        text = json.dumps(value)
        if len(text) > self._limit:
            written = self._write_pieces(text)
            if not is_successful(written):
                return Failure(written.failure())
            name, count = written.unwrap()
            value = {"pieces": [name, count]}
        return self._store.create(INPUTS + job.job_id, value)

    def read_input(self, job_id: str) -> Result[JobInput, StoreFailure]:
        """Read a job as submitted."""
        stored = self._store.get(INPUTS + job_id)
        if not is_successful(stored):
            return Failure(stored.failure())
        return self.input_of(stored.unwrap())

    def input_of(self, stored: StoredObject) -> Result[JobInput, StoreFailure]:
        """Return the job that an object holds or names."""
        value = stored.value
        if "pieces" in value:
            name, count = value["pieces"]
            text = self._read_pieces(name, count)
            if not is_successful(text):
                return Failure(text.failure())
            value = json.loads(text.unwrap())
        return Success(job_from_json(stored.key.removeprefix(INPUTS), value))

    def read_progress(self, job_id: str) -> Result[StoredProgress, StoreFailure]:
        """Read a job's progress; ``NOT_FOUND`` when nothing is committed yet."""
        stored = self._store.get(PROGRESS + job_id)
        if not is_successful(stored):
            return Failure(stored.failure())
        return self.progress_of(stored.unwrap())

    def progress_of(self, stored: StoredObject) -> Result[StoredProgress, StoreFailure]:
        """Return the progress that an object holds, with the results it names."""
        segments = tuple(
            Segment(name=name, pieces=pieces, results=results)
            for name, pieces, results in stored.value.get("segments", ())
        )
        results: list[ItemResult] = []
        for segment in segments:
            text = self._read_pieces(segment.name, segment.pieces)
            if not is_successful(text):
                return Failure(text.failure())
            results.extend(_results(json.loads(text.unwrap())))
        tail = progress_from_json(stored.value)
        progress = JobProgress(
            owner=tail.owner,
            total=tail.total,
            ended=tail.ended,
            results=(*results, *tail.results),
            failures=tail.failures,
            parts=tail.parts,
        )
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
            progress: All of it.
            version: What it replaces; 0 when there is none yet.
            segments: Where its first results lie already.
        """
        kept = tuple(segments)
        value = _stored_value(progress, kept)
        results = json.dumps(value["results"])
        if len(results) > self._limit:
            moved = self._write_pieces(results)
            if not is_successful(moved):
                return Failure(moved.failure())
            name, count = moved.unwrap()
            kept = (*kept, Segment(name=name, pieces=count, results=len(value["results"])))
            value = _stored_value(progress, kept)
        if progress.parts and len(json.dumps(value)) > self._limit:
            # Parts only save work after a loss; results have to fit.
            logging.info("event=parts_left_out job=%s parts=%d", job_id, len(progress.parts))
            value["parts"] = {}
        key = PROGRESS + job_id
        if version == 0:
            written = self._store.create(key, value)
        else:
            written = self._store.update(key, value, version=version)
        if not is_successful(written):
            return Failure(written.failure())
        stored = StoredProgress(progress=progress, segments=kept, version=written.unwrap().version)
        return Success(stored)

    def remove(self, stored: StoredObject) -> StoreFailure | None:
        """Remove a record that is unchanged, with its pieces; return what prevented it."""
        removed = self._store.delete(stored.key, version=stored.version)
        if not is_successful(removed):
            return removed.failure()
        named = [stored.value["pieces"]] if "pieces" in stored.value else []
        named += [(name, count) for name, count, _ in stored.value.get("segments", ())]
        for name, count in named:
            for number in range(count):
                self._remove_piece(f"{PIECES}{name}.{number}")
        return None

    def _remove_piece(self, key: str) -> None:
        piece = self._store.get(key)
        if not is_successful(piece):
            logging.info("event=piece_left key=%s fault=%s", key, piece.failure().fault)
            return
        removed = self._store.delete(key, version=piece.unwrap().version)
        if not is_successful(removed):
            logging.info("event=piece_left key=%s fault=%s", key, removed.failure().fault)

    def list_all(self, prefix: str) -> Result[dict[str, StoredObject], StoreFailure]:
        """Return every object under a prefix, by its name."""
        found: dict[str, StoredObject] = {}
        after = ""
        while True:
            page = self._store.list(prefix, after=after)
            if not is_successful(page):
                return Failure(page.failure())
            for each in page.unwrap().objects:
                found[each.key.removeprefix(prefix)] = each
                after = each.key
            if not page.unwrap().more:
                return Success(found)

    def _write_pieces(self, text: str) -> Result[tuple[str, int], StoreFailure]:
        name = uuid.uuid4().hex
        pieces = [text[at : at + self._limit] for at in range(0, len(text), self._limit)]
        for number, piece in enumerate(pieces):
            written = self._store.create(f"{PIECES}{name}.{number}", {"text": piece})
            if not is_successful(written):
                return Failure(written.failure())
        return Success((name, len(pieces)))

    def _read_pieces(self, name: str, count: int) -> Result[str, StoreFailure]:
        texts: list[str] = []
        for number in range(count):
            read = self._store.get(f"{PIECES}{name}.{number}")
            if not is_successful(read):
                failure = read.failure()
                # The object that names it is there, so this is the store's trouble, not an answer.
                return Failure(
                    StoreFailure(
                        fault=StoreFault.UNAVAILABLE, key=failure.key, detail=failure.detail
                    )
                )
            texts.append(read.unwrap().value["text"])
        return Success("".join(texts))


def _stored_value(progress: JobProgress, segments: Sequence[Segment]) -> dict[str, Json]:
    value: dict[str, Json] = progress_to_json(progress)
    value["results"] = value["results"][sum(each.results for each in segments) :]
    value["segments"] = [[each.name, each.pieces, each.results] for each in segments]
    return value


def _results(values: Json) -> list[ItemResult]:
    return [
        ItemResult(item_id=item_id, end=ItemEnd(end), text=text) for item_id, end, text in values
    ]
