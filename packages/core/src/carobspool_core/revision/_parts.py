"""Content-addressed parts, in which a desired state is stored and sent."""

from __future__ import annotations

import base64
import binascii
import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core._config import DesiredState
from carobspool_core._ports import Json
from carobspool_core.border import validate
from carobspool_core.revision._sections import (
    SECTION_SPECS,
    Entries,
    Section,
    entries_of,
    part_name,
    section_of,
    state_from_sections,
)
from carobspool_core.schema import entry_to_json

MAX_PART_VALUE_CHARS = 1_000_000
"""Longest value of a part, since the platform stores values of up to a megabyte."""

MAX_PART_CONTENT_BYTES = 64 * 1024 * 1024
"""Largest decompressed part, so that a corrupt value cannot exhaust memory."""

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """One part of a desired state.

    Attributes:
        name: The section, with the shard if the section is sharded: ``models``, ``callers/07``.
        digest: Digest of the content before compression, in hex.
        value: The content, compressed and encoded in base64.
        entries: The decoded content, as data classes by entry name.

    Since 0.1.
    """

    name: str
    digest: str
    value: str
    entries: Entries


@dataclass(frozen=True, slots=True, kw_only=True)
class PartError:
    """A part or delta that cannot be stored or read.

    Attributes:
        part: Name of the part or of its section, or ``delta``.
        detail: Description of the error.

    Since 0.1.
    """

    part: str
    detail: str


Parts = Mapping[str, Part]
"""The parts of a state by name; parts without entries are omitted."""


def split_state(
    state: DesiredState, previous: Parts | None = None
) -> Result[dict[str, Part], tuple[PartError, ...]]:
    """Split a state into parts.

    Args:
        state: The state.
        previous: Parts of another state; parts with equal entries are reused, which avoids encoding
            and compressing these parts again.

    Returns:
        The parts by name, or an error for each part that is too large for the platform.

    Since 0.1.
    """
    parts: dict[str, Part] = {}
    errors: list[PartError] = []
    for name, entries in _entries_by_part(state).items():
        existing = previous.get(name) if previous else None
        if existing is not None and existing.entries == entries:
            parts[name] = existing
            continue
        part = encode_part(name, entries)
        if len(part.value) > MAX_PART_VALUE_CHARS:
            detail = f"{len(part.value)} characters; at most {MAX_PART_VALUE_CHARS} can be stored"
            errors.append(PartError(part=name, detail=detail))
            continue
        parts[name] = part
    return Failure(tuple(errors)) if errors else Success(parts)


def join_parts(parts: Parts, revision: int) -> DesiredState:
    """Assemble a state from its parts.

    Since 0.1.
    """
    sections: dict[Section, dict[str, object]] = {}
    for name, part in parts.items():
        section = section_of(name)
        if section is None:
            continue
        sections.setdefault(section, {}).update(part.entries)
    return state_from_sections(sections, revision)


def encode_part(name: str, entries: Entries) -> Part:
    """Encode entries as a part."""
    content = _canonical([entry_to_json(entries[key]) for key in sorted(entries)])
    value = base64.b64encode(zlib.compress(content)).decode("ascii")
    return Part(name=name, digest=_digest(content), value=value, entries=entries)


def decode_part(name: str, digest: str, value: str) -> Result[Part, PartError]:
    """Decode a part, and check its content against the digest.

    Since 0.1.
    """
    content = _decompress(value)
    if content is None:
        return Failure(PartError(part=name, detail="not a zlib-compressed value in base64"))
    if _digest(content) != digest:
        return Failure(PartError(part=name, detail=f"the digest of its content is not {digest}"))
    section = section_of(name)
    if section is None:
        return Failure(PartError(part=name, detail="unknown section"))
    return _read_entries(section, json.loads(content)).map(
        lambda entries: Part(name=name, digest=digest, value=value, entries=entries)
    )


def _entries_by_part(state: DesiredState) -> dict[str, dict[str, object]]:
    parts: dict[str, dict[str, object]] = {}
    for section in Section:
        for key, entry in entries_of(state, section).items():
            parts.setdefault(part_name(section, key), {})[key] = entry
    return parts


def _read_entries(section: Section, items: Json) -> Result[Entries, PartError]:
    spec = SECTION_SPECS[section]
    entries: dict[str, object] = {}
    for item in items:
        model = validate(spec.model, item)
        if not is_successful(model):
            detail = "; ".join(str(problem) for problem in model.failure())
            return Failure(PartError(part=section.value, detail=detail))
        entry = spec.convert(model.unwrap())
        entries[spec.name(entry)] = entry
    return Success(entries)


def _canonical(value: Json) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode("utf-8")


def _digest(content: bytes) -> str:
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _decompress(value: str) -> bytes | None:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(
            base64.b64decode(value, validate=True), MAX_PART_CONTENT_BYTES
        )
    except (binascii.Error, ValueError, zlib.error):
        return None
    return content if decompressor.eof else None
