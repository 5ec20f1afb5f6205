"""The objects under ``config/``: their keys, and reading them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import Json, ObjectStore, StoredObject, StoreFailure, StoreFault
from carobspool_core.revision import (
    Part,
    Parts,
    Revision,
    decode_part,
    revision_from_json,
)

HEAD_KEY = "config/head"
REVISIONS_PREFIX = "config/revisions/"
PARTS_PREFIX = "config/parts/"
REVISION_DIGITS = 10


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigReadError:
    """The configuration could not be read.

    Attributes:
        detail: What failed, for logs.
        missing: Whether an object that should be there is not; else the store could not be read.

    Since 0.1.
    """

    detail: str
    missing: bool = False


def revision_key(number: int) -> str:
    """Return the key of a revision; keys sort as numbers do."""
    return f"{REVISIONS_PREFIX}{number:0{REVISION_DIGITS}d}"


def part_key(digest: str) -> str:
    """Return the key of a part."""
    return f"{PARTS_PREFIX}{digest}"


def part_value(part: Part) -> Json:
    """Return a part as it is stored."""
    return {"data": part.value}


def stored_part_text(value: Json) -> str:
    """Return a stored part's text; empty when the object is not a part."""
    text = value.get("data") if isinstance(value, dict) else None
    return text if isinstance(text, str) else ""


def read_head(store: ObjectStore) -> Result[int, ConfigReadError]:
    """Return the head's revision; 0 when nothing was applied yet."""
    found = store.get(HEAD_KEY)
    if is_successful(found):
        return _number_in(found.unwrap())
    failure = found.failure()
    if failure.fault is StoreFault.NOT_FOUND:
        return Success(0)
    return Failure(read_error(failure))


def read_revision(store: ObjectStore, number: int) -> Result[Revision | None, ConfigReadError]:
    """Return a revision, or ``None`` when there is none of that number."""
    found = store.get(revision_key(number))
    if not is_successful(found):
        failure = found.failure()
        if failure.fault is StoreFault.NOT_FOUND:
            return Success(None)
        return Failure(read_error(failure))
    return parse_revision(found.unwrap())


def parse_revision(stored: StoredObject) -> Result[Revision | None, ConfigReadError]:
    """Return the revision that an object holds."""
    result = revision_from_json(stored.value)
    if is_successful(result):
        return Success(result.unwrap())
    return Failure(ConfigReadError(detail=f"{stored.key}: {result.failure().detail}"))


def collect_parts(
    store: ObjectStore, digests: Mapping[str, str], known: Parts, values: Mapping[str, str]
) -> Result[dict[str, Part], ConfigReadError]:
    """Return the parts with the given digests, read from the store only where they are not at hand.

    Args:
        store: The object store.
        digests: Digest of each wanted part by name.
        known: Parts already decoded, by name.
        values: Values at hand by digest.
    """
    parts: dict[str, Part] = {}
    for name, digest in digests.items():
        present = known.get(name)
        if present is not None and present.digest == digest:
            parts[name] = present
            continue
        value = values.get(digest)
        if value is None:
            found = store.get(part_key(digest))
            if not is_successful(found):
                return Failure(read_error(found.failure()))
            value = stored_part_text(found.unwrap().value)
        decoded = decode_part(name, digest, value)
        if not is_successful(decoded):
            error = decoded.failure()
            return Failure(ConfigReadError(detail=f"{error.part}: {error.detail}"))
        parts[name] = decoded.unwrap()
    return Success(parts)


def read_error(failure: StoreFailure) -> ConfigReadError:
    """Turn a failure of the store into an error of the configuration."""
    missing = failure.fault is StoreFault.NOT_FOUND
    detail = f"{failure.key}: {failure.fault} {failure.detail}".rstrip()
    return ConfigReadError(detail=detail, missing=missing)


def _number_in(stored: StoredObject) -> Result[int, ConfigReadError]:
    number = stored.value.get("revision") if isinstance(stored.value, dict) else None
    if isinstance(number, int) and number >= 0:
        return Success(number)
    return Failure(ConfigReadError(detail=f"{HEAD_KEY} holds no revision number"))
