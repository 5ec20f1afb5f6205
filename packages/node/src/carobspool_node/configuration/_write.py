"""Writes a revision: its parts, the revision object, the head."""

from __future__ import annotations

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import ObjectStore, StoreFailure, StoreFault
from carobspool_core.revision import Part, Parts, Revision, revision_from_json, revision_to_json
from carobspool_node.configuration._objects import HEAD_KEY, part_key, part_value, revision_key
from carobspool_node.configuration._outcomes import ApplyError, OutcomeUnknown, StoreDown

UNKNOWN_RETRIES = 3
"""Times that a write with a lost answer is repeated; the repetition tells what became of it."""


def write_revision(
    store: ObjectStore, revision: Revision, parts: Parts, head_parts: Parts
) -> Result[bool, ApplyError]:
    """Write the parts that the head lacks, then the revision.

    Returns:
        Whether it was accepted; not when another took the number first.
    """
    present = {part.digest for part in head_parts.values()}
    for part in parts.values():
        if part.digest in present:
            continue
        failure = _ensure_part(store, part)
        if failure is not None:
            return Failure(StoreDown(detail=f"{failure.key}: {failure.fault} {failure.detail}"))
    return _create_revision(store, revision)


def _ensure_part(store: ObjectStore, part: Part) -> StoreFailure | None:
    """Write a part, or write it again where it stands already.

    It may be left from an older revision, and about to be pruned as unused. Writing it again gives
    it a version that is newer than the head, and pruning leaves such a part alone.
    """
    key = part_key(part.digest)
    failure = _create(store, key, part_value(part))
    if failure is None or failure.fault is not StoreFault.CONFLICT:
        return failure
    found = store.get(key)
    if not is_successful(found):
        return found.failure()
    touched = store.update(key, part_value(part), version=found.unwrap().version)
    if is_successful(touched) or touched.failure().fault is StoreFault.CONFLICT:
        return None  # A conflict: another applier has just written the same content.
    return touched.failure()


def _create_revision(store: ObjectStore, revision: Revision) -> Result[bool, ApplyError]:
    key = revision_key(revision.number)
    failure = _create(store, key, revision_to_json(revision))
    if failure is None:
        return Success(True)
    if failure.fault is StoreFault.CONFLICT:
        return _own_write(store, revision)
    if failure.fault is StoreFault.UNKNOWN:
        return Failure(OutcomeUnknown(revision=revision.number, detail=failure.detail))
    return Failure(StoreDown(detail=f"{key}: {failure.fault} {failure.detail}"))


def _own_write(store: ObjectStore, revision: Revision) -> Result[bool, ApplyError]:
    """Return whether the revision that stands under this number is the one written here.

    A repeated write conflicts with the first one when that took effect and only its answer was
    lost. Taken for another's it would be rebased on itself and told as if it were not accepted.
    """
    found = store.get(revision_key(revision.number))
    if not is_successful(found):
        return Failure(OutcomeUnknown(revision=revision.number, detail=found.failure().detail))
    standing = revision_from_json(found.unwrap().value)
    return Success(is_successful(standing) and standing.unwrap().write_id == revision.write_id)


def _create(store: ObjectStore, key: str, value: object) -> StoreFailure | None:
    """Create an object; an unknown outcome is settled by creating it again.

    The repetition succeeds, or conflicts with what stands there. Reading back alone would not do:
    a write that is still on its way can take effect after the reading.
    """
    lost: StoreFailure | None = None
    for _ in range(UNKNOWN_RETRIES):
        result = store.create(key, value)
        if is_successful(result):
            return None
        failure = result.failure()
        if failure.fault is StoreFault.CONFLICT:
            return failure
        if failure.fault is not StoreFault.UNKNOWN:
            return lost or failure
        lost = failure
    return lost


def move_head(store: ObjectStore, number: int) -> None:
    """Point the head at a revision unless it is there or beyond.

    A failure is harmless: the revision is accepted, and readers look beyond the head.
    """
    value = {"revision": number}
    found = store.get(HEAD_KEY)
    if is_successful(found):
        stored = found.unwrap()
        if stored.value["revision"] < number:
            store.update(HEAD_KEY, value, version=stored.version)
        return
    if found.failure().fault is StoreFault.NOT_FOUND:
        store.create(HEAD_KEY, value)
