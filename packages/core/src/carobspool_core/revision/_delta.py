"""Deltas: a revision sent as its changes to the previous one, to processes with that revision.

Sending whole parts costs bandwidth for unchanged entries: with 30,000 organisations, a change of
one caller would carry 1,900 other entries. A delta carries only the changed entries. The receiver
applies the changes to its own parts and compares the digests with the revision's, so a wrong or
misapplied change is detected before the new state takes effect.
"""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core._ports import Json
from carobspool_core.border import BorderModel, validate
from carobspool_core.revision._parts import DIGEST_BYTES, Part, PartError, Parts, encode_part
from carobspool_core.revision._record import RecordedChange
from carobspool_core.revision._sections import SECTION_SPECS, Section, part_name, section_of
from carobspool_core.schema import entry_to_json

MAX_DELTA_CHANGES = 500
"""Most changes in a delta; a larger update is sent as whole parts."""

MAX_DELTA_CONTENT_BYTES = 4 * 1024 * 1024
"""Largest decompressed delta, so that a corrupt value cannot exhaust memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """The changes from one revision to another.

    Attributes:
        base: Number of the revision to which the changes apply.
        root: Digest over the parts of the resulting revision.
        changes: The changed entries with their new values.

    Since 0.1.
    """

    base: int
    root: str
    changes: tuple[RecordedChange, ...]


class _DeltaModel(BorderModel):
    base: int
    root: str
    changes: list[list[Any]]


def root_digest(digests: Mapping[str, str]) -> str:
    """Return one digest over the digests of all parts, which are given by part name."""
    content = json.dumps(digests, sort_keys=True, separators=(",", ":")).encode("utf-8")
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def delta_between(base: int, before: Parts, after: Parts) -> Delta | None:
    """Return the changes from one revision's parts to another's.

    Args:
        base: Number of the revision that has the parts ``before``.
        before: The parts to which the changes apply.
        after: The parts that result.

    Returns:
        The delta, or ``None`` for more than `MAX_DELTA_CHANGES` changes, which are sent as parts.

    Since 0.1.
    """
    changes: list[RecordedChange] = []
    for name in before.keys() | after.keys():
        old, new = before.get(name), after.get(name)
        if old is not None and new is not None and old.digest == new.digest:
            continue
        changes.extend(_part_changes(name, old, new))
        if len(changes) > MAX_DELTA_CHANGES:
            return None
    digests = {name: part.digest for name, part in after.items()}
    return Delta(base=base, root=root_digest(digests), changes=tuple(changes))


def apply_changes(
    parts: Parts, changes: Sequence[RecordedChange]
) -> Result[dict[str, Part], PartError]:
    """Apply changes to parts, and return the resulting parts; ``parts`` itself is not modified.

    Since 0.1.
    """
    entries_by_part: dict[str, dict[str, Any]] = {}
    for change in changes:
        entry = _validated_entry(change)
        if not is_successful(entry):
            return Failure(entry.failure())
        name = part_name(Section(change.section), change.name)
        existing = parts.get(name)
        entries = entries_by_part.setdefault(name, dict(existing.entries) if existing else {})
        if change.after is None:
            entries.pop(change.name, None)
            continue
        entries[change.name] = entry.unwrap()
    patched = dict(parts)
    for name, entries in entries_by_part.items():
        if not entries:
            patched.pop(name, None)
            continue
        patched[name] = encode_part(name, entries)
    return Success(patched)


def pack_delta(delta: Delta) -> str:
    """Encode a delta as text for sending."""
    rows = [[each.section, each.name, each.after] for each in delta.changes]
    value = {"base": delta.base, "root": delta.root, "changes": rows}
    content = json.dumps(value, separators=(",", ":")).encode("utf-8")
    return base64.b64encode(zlib.compress(content)).decode("ascii")


def unpack_delta(text: str) -> Result[Delta, PartError]:
    """Decode and validate the text of a received delta."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(
            base64.b64decode(text, validate=True), MAX_DELTA_CONTENT_BYTES
        )
        value = json.loads(content)
    except (binascii.Error, ValueError, zlib.error):
        return Failure(_delta_error("not zlib-compressed JSON in base64"))
    model = validate(_DeltaModel, value)
    if not is_successful(model):
        return Failure(_delta_error(str(model.failure()[0])))
    found = model.unwrap()
    changes = tuple(_change_from_row(row) for row in found.changes)
    return Success(Delta(base=found.base, root=found.root, changes=changes))


def _part_changes(name: str, old: Part | None, new: Part | None) -> list[RecordedChange]:
    section = section_of(name)
    if section is None:
        return []
    before = old.entries if old else {}
    after = new.entries if new else {}
    changes = []
    for key in before.keys() | after.keys():
        if before.get(key) == after.get(key):
            continue
        value = None if key not in after else entry_to_json(after[key])
        changes.append(RecordedChange(section=section.value, name=key, before=None, after=value))
    return changes


def _validated_entry(change: RecordedChange) -> Result[Any, PartError]:
    section = section_of(change.section)
    if section is None:
        return Failure(_delta_error(f"unknown section {change.section!r}"))
    if change.after is None:
        return Success(None)
    spec = SECTION_SPECS[section]
    model = validate(spec.model, change.after)
    if not is_successful(model):
        return Failure(_delta_error(f"{change.section}/{change.name}: {model.failure()[0]}"))
    return Success(spec.convert(model.unwrap()))


def _change_from_row(row: Sequence[Json]) -> RecordedChange:
    section, name, after = [*row, None, None, None][:3]
    return RecordedChange(section=str(section), name=str(name), before=None, after=after)


def _delta_error(detail: str) -> PartError:
    return PartError(part="delta", detail=detail)
