"""The immutable stored object of one revision: its changes, author, time and reason."""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from pydantic import Field
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core._audit import AuditKind, AuditRecord
from carobspool_core._ports import Json
from carobspool_core.border import BorderModel, validate
from carobspool_core.revision._diff import Change
from carobspool_core.schema import entry_to_json

MAX_CHANGES_CHARS = 500_000
"""Longest encoded list of changes in a revision; of a longer list only the summary is stored.

The changes can then still be computed from the parts of the revision and of the one before it.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedChange:
    """A change as the audit trail stores it, with the entries of that time as JSON."""

    section: str
    name: str
    before: Json
    after: Json


@dataclass(frozen=True, slots=True, kw_only=True)
class Revision:
    """One accepted revision of the desired state.

    Attributes:
        number: Number of the revision; one more than that of its predecessor.
        base: Revision that the author edited; older than ``number - 1`` after a rebase.
        author: Caller id of the operator.
        reason: Reason for the change, as the author gave it.
        at: Time of writing, in milliseconds since the Unix epoch.
        write_id: Unique id of the write, by which a process recognises a revision that it wrote.
        summary: One line for each change; of many changes, only the first are listed.
        change_count: Number of changes.
        parts: Digest of each part by part name.
        changes: The changes, or ``None`` when they were too long to store.

    Since 0.1.
    """

    number: int
    base: int
    author: str
    reason: str
    at: int
    write_id: str
    summary: tuple[str, ...]
    change_count: int
    parts: Mapping[str, str]
    changes: tuple[RecordedChange, ...] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionError:
    """A stored revision that cannot be read."""

    detail: str


class _RevisionModel(BorderModel):
    number: int = Field(gt=0)
    base: int = Field(ge=0)
    author: str
    reason: str
    at: int
    write: str
    summary: list[str]
    count: int = Field(ge=0)
    parts: dict[str, str]
    changes: str | None = None


def to_recorded_changes(changes: Sequence[Change]) -> tuple[RecordedChange, ...] | None:
    """Return the changes as they are stored, or ``None`` when they are too long for one object."""
    recorded = tuple(_to_recorded_change(change) for change in changes)
    return recorded if len(_encode_changes(recorded)) <= MAX_CHANGES_CHARS else None


def revision_to_json(revision: Revision) -> Json:
    """Return the stored form of a revision."""
    changes = revision.changes
    return {
        "number": revision.number,
        "base": revision.base,
        "author": revision.author,
        "reason": revision.reason,
        "at": revision.at,
        "write": revision.write_id,
        "summary": list(revision.summary),
        "count": revision.change_count,
        "parts": dict(revision.parts),
        "changes": None if changes is None else _encode_changes(changes),
    }


def revision_from_json(value: Json) -> Result[Revision, RevisionError]:
    """Parse and validate the stored form of a revision."""
    model = validate(_RevisionModel, value)
    if not is_successful(model):
        detail = "; ".join(str(problem) for problem in model.failure())
        return Failure(RevisionError(detail=detail))
    found = model.unwrap()
    changes = None if found.changes is None else _decode_changes(found.changes)
    return Success(
        Revision(
            number=found.number,
            base=found.base,
            author=found.author,
            reason=found.reason,
            at=found.at,
            write_id=found.write,
            summary=tuple(found.summary),
            change_count=found.count,
            parts=found.parts,
            changes=changes,
        )
    )


def revision_to_audit_record(revision: Revision) -> AuditRecord:
    """Return a revision as an audit record, with the entries by section and name."""
    changes = revision.changes
    before: Json = {"changes": revision.change_count}
    after: Json = {"changes": revision.change_count}
    if changes is not None:
        before = {_subject(each): each.before for each in changes}
        after = {_subject(each): each.after for each in changes}
    return AuditRecord(
        at=revision.at,
        who=revision.author,
        kind=AuditKind.CONFIGURATION,
        subject=str(revision.number),
        reason=revision.reason,
        before=before,
        after=after,
    )


def _to_recorded_change(change: Change) -> RecordedChange:
    return RecordedChange(
        section=str(change.section),
        name=change.name,
        before=None if change.before is None else entry_to_json(change.before),
        after=None if change.after is None else entry_to_json(change.after),
    )


def _subject(change: RecordedChange) -> str:
    return f"{change.section}/{change.name}" if change.name else change.section


def _encode_changes(changes: Sequence[RecordedChange]) -> str:
    rows = [[each.section, each.name, each.before, each.after] for each in changes]
    content = json.dumps(rows, separators=(",", ":")).encode("utf-8")
    return base64.b64encode(zlib.compress(content)).decode("ascii")


def _decode_changes(value: str) -> tuple[RecordedChange, ...] | None:
    try:
        rows = json.loads(zlib.decompress(base64.b64decode(value)))
    except (binascii.Error, zlib.error, ValueError):
        return None
    return tuple(
        RecordedChange(section=section, name=name, before=before, after=after)
        for section, name, before, after in rows
    )
