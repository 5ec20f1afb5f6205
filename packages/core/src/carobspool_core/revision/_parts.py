"""Content-addressed parts: how a desired state is written, shipped and put together again."""

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
    KINDS,
    Entries,
    Section,
    entries_of,
    part_name,
    section_of,
    with_sections,
)
from carobspool_core.schema import entry_to_json

VALUE_LIMIT = 1_000_000
"""Characters of a part's value: the platform holds values up to a megabyte."""

INFLATED_LIMIT = 64 * 1024 * 1024
"""Bytes of a part after decompression, so that a corrupt value cannot exhaust memory."""

DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """One part of a desired state.

    Attributes:
        name: Section, and shard where the section is cut: ``models``, ``callers/07``.
        digest: Digest of the content before compression, in hex.
        value: The content, compressed and in base64.
        entries: The content as data classes.

    Since 0.1.
    """

    name: str
    digest: str
    value: str
    entries: Entries


@dataclass(frozen=True, slots=True, kw_only=True)
class PartError:
    """A part that cannot be written or read.

    Attributes:
        part: Its name.
        detail: What is wrong.

    Since 0.1.
    """

    part: str
    detail: str


Parts = Mapping[str, Part]
"""The parts of a state by name. A part without entries is left out."""


def split(
    state: DesiredState, known: Parts | None = None
) -> Result[dict[str, Part], tuple[PartError, ...]]:
    """Cut a state into parts.

    Args:
        state: The state.
        known: Parts of another state; those with equal entries are taken as they are, which spares
            writing and compressing them again.

    Returns:
        The parts, or the parts that are larger than the platform holds.

    Since 0.1.
    """
    parts: dict[str, Part] = {}
    errors: list[PartError] = []
    for name, entries in _groups(state).items():
        present = known.get(name) if known else None
        if present is not None and present.entries == entries:
            parts[name] = present
            continue
        part = encode_part(name, entries)
        if len(part.value) > VALUE_LIMIT:
            detail = f"{len(part.value)} characters; at most {VALUE_LIMIT} can be stored"
            errors.append(PartError(part=name, detail=detail))
            continue
        parts[name] = part
    return Failure(tuple(errors)) if errors else Success(parts)


def join(parts: Parts, revision: int) -> DesiredState:
    """Return the state that the parts make up.

    Since 0.1.
    """
    sections: dict[Section, dict[str, object]] = {}
    for name, part in parts.items():
        section = section_of(name)
        if section is None:
            continue
        sections.setdefault(section, {}).update(part.entries)
    return with_sections(sections, revision)


def encode_part(name: str, entries: Entries) -> Part:
    """Return the part with the given entries."""
    content = _canonical([entry_to_json(entries[key]) for key in sorted(entries)])
    value = base64.b64encode(zlib.compress(content)).decode("ascii")
    return Part(name=name, digest=_digest(content), value=value, entries=entries)


def decode_part(name: str, digest: str, value: str) -> Result[Part, PartError]:
    """Read a part, and check that it is the one that the digest names.

    Since 0.1.
    """
    content = _inflate(value)
    if content is None:
        return Failure(PartError(part=name, detail="not a compressed value"))
    if _digest(content) != digest:
        return Failure(PartError(part=name, detail=f"its content is not {digest}"))
    section = section_of(name)
    if section is None:
        return Failure(PartError(part=name, detail="unknown section"))
    return _read_entries(section, json.loads(content)).map(
        lambda entries: Part(name=name, digest=digest, value=value, entries=entries)
    )


def _groups(state: DesiredState) -> dict[str, dict[str, object]]:
    groups: dict[str, dict[str, object]] = {}
    for section in Section:
        for key, entry in entries_of(state, section).items():
            groups.setdefault(part_name(section, key), {})[key] = entry
    return groups


def _read_entries(section: Section, items: Json) -> Result[Entries, PartError]:
    kind = KINDS[section]
    entries: dict[str, object] = {}
    for item in items:
        model = validate(kind.model, item)
        if not is_successful(model):
            detail = "; ".join(str(problem) for problem in model.failure())
            return Failure(PartError(part=section.value, detail=detail))
        entry = kind.convert(model.unwrap())
        entries[kind.name(entry)] = entry
    return Success(entries)


def _canonical(value: Json) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode("utf-8")


def _digest(content: bytes) -> str:
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _inflate(value: str) -> bytes | None:
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(base64.b64decode(value, validate=True), INFLATED_LIMIT)
    except (binascii.Error, ValueError, zlib.error):
        return None
    return content if inflater.eof else None
