"""A revision told as its changes against the one before, for processes that have that one.

Shipping whole parts costs what a part holds: at 30,000 organisations a change of one caller would
carry 1,900 others. The changes alone carry what was changed. The receiver makes the parts from them
and compares their digests with the revision's, so a wrong or a misapplied change is found before
anything is in force.
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
from carobspool_core.revision._sections import KINDS, Section, part_name, section_of
from carobspool_core.schema import entry_to_json

CHANGES_LIMIT = 500
"""Changes of which a delta consists at most; a larger change is shipped by its parts."""

INFLATED_LIMIT = 4 * 1024 * 1024
"""Bytes of a delta after decompression, so that a corrupt value cannot exhaust memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """What was changed against another revision.

    Attributes:
        base: The revision to which the changes apply.
        root: Digest over the parts of the revision that results.
        changes: Entries with what they are now.

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
    """Return one digest over the digests of all parts by name."""
    content = json.dumps(digests, sort_keys=True, separators=(",", ":")).encode("utf-8")
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def delta_between(base: int, before: Parts, after: Parts) -> Delta | None:
    """Return the changes from one revision's parts to another's.

    Returns:
        ``None`` when there are so many that parts are the better way.

    Since 0.1.
    """
    changes: list[RecordedChange] = []
    for name in before.keys() | after.keys():
        old, new = before.get(name), after.get(name)
        if old is not None and new is not None and old.digest == new.digest:
            continue
        changes.extend(_part_changes(name, old, new))
        if len(changes) > CHANGES_LIMIT:
            return None
    digests = {name: part.digest for name, part in after.items()}
    return Delta(base=base, root=root_digest(digests), changes=tuple(changes))


def patch(parts: Parts, changes: Sequence[RecordedChange]) -> Result[dict[str, Part], PartError]:
    """Return the parts that result from changes.

    Since 0.1.
    """
    touched: dict[str, dict[str, Any]] = {}
    for change in changes:
        entry = _entry(change)
        if not is_successful(entry):
            return Failure(entry.failure())
        name = part_name(Section(change.section), change.name)
        present = parts.get(name)
        entries = touched.setdefault(name, dict(present.entries) if present else {})
        if change.after is None:
            entries.pop(change.name, None)
            continue
        entries[change.name] = entry.unwrap()
    patched = dict(parts)
    for name, entries in touched.items():
        if not entries:
            patched.pop(name, None)
            continue
        patched[name] = encode_part(name, entries)
    return Success(patched)


def pack_delta(delta: Delta) -> str:
    """Return a delta as text, to be shipped."""
    rows = [[each.section, each.name, each.after] for each in delta.changes]
    value = {"base": delta.base, "root": delta.root, "changes": rows}
    content = json.dumps(value, separators=(",", ":")).encode("utf-8")
    return base64.b64encode(zlib.compress(content)).decode("ascii")


def unpack_delta(text: str) -> Result[Delta, PartError]:
    """Read a delta that was shipped."""
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(base64.b64decode(text, validate=True), INFLATED_LIMIT)
        value = json.loads(content)
    except (binascii.Error, ValueError, zlib.error):
        return Failure(_error("not a compressed value"))
    model = validate(_DeltaModel, value)
    if not is_successful(model):
        return Failure(_error(str(model.failure()[0])))
    found = model.unwrap()
    changes = tuple(_row_change(row) for row in found.changes)
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
        now = None if key not in after else entry_to_json(after[key])
        changes.append(RecordedChange(section=section.value, name=key, before=None, after=now))
    return changes


def _entry(change: RecordedChange) -> Result[Any, PartError]:
    section = section_of(change.section)
    if section is None:
        return Failure(_error(f"unknown section {change.section!r}"))
    if change.after is None:
        return Success(None)
    kind = KINDS[section]
    model = validate(kind.model, change.after)
    if not is_successful(model):
        return Failure(_error(f"{change.section}/{change.name}: {model.failure()[0]}"))
    return Success(kind.convert(model.unwrap()))


def _row_change(row: Sequence[Json]) -> RecordedChange:
    section, name, after = [*row, None, None, None][:3]
    return RecordedChange(section=str(section), name=str(name), before=None, after=after)


def _error(detail: str) -> PartError:
    return PartError(part="delta", detail=detail)
