"""Applies a desired state as a unit: all of it is accepted as one revision, or nothing is.

The parts are written first, then the revision object under the next number, created only if absent.
That creation is the moment of acceptance: no two appliers can both create one number, and whoever
reads the revision finds its parts. The head that follows only spares readers a search.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import DesiredState, ObjectStore, wall_millis
from carobspool_core.revision import (
    Change,
    ChangeConflict,
    Parts,
    Revision,
    diff,
    join_parts,
    part_name,
    rebase,
    split_state,
    summarise,
    to_recorded_changes,
)
from carobspool_core.schema import find_state_errors
from carobspool_node.configuration._follower import ConfigurationFollower
from carobspool_node.configuration._history import history
from carobspool_node.configuration._objects import (
    ConfigReadError,
    collect_parts,
    read_revision,
)
from carobspool_node.configuration._outcomes import (
    Applied,
    ApplyError,
    Conflict,
    ConflictItem,
    InvalidTogether,
    StoreDown,
    TooLarge,
    UnknownBase,
)
from carobspool_node.configuration._prune import prune_after
from carobspool_node.configuration._write import move_head, write_revision

MAX_ROUNDS = 16
"""Times that an apply moves onto a newer head before it gives up; each loss means another's win."""

LOOK_BACK = 500
"""Revisions searched for the author of a conflicting change."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Request:
    """One operator's apply; ``write`` tells its revision from another's of the same number."""

    base: int
    state: DesiredState
    author: str
    reason: str
    at: int
    write: str


@dataclass(frozen=True, slots=True, kw_only=True)
class _Merged:
    state: DesiredState
    over: tuple[int, ...]


def apply_state(
    store: ObjectStore,
    follower: ConfigurationFollower,
    base: int,
    new_state: DesiredState,
    author: str,
    reason: str,
    *,
    now: Callable[[], int] = wall_millis,
) -> Result[Applied, ApplyError]:
    """Make a desired state the newest revision.

    When others applied since ``base``, changes of different entries merge; changes of one entry are
    a conflict.

    Args:
        store: The object store.
        follower: The configuration in force here; takes the new revision at once.
        base: Revision from which the state was made.
        new_state: The whole state, validated.
        author: Caller id of the operator.
        reason: Why.
        now: Wall clock in milliseconds since the Unix epoch, for the audit trail.

    Since 0.1.
    """
    request = _Request(
        base=base, state=new_state, author=author, reason=reason, at=now(), write=uuid.uuid4().hex
    )
    for _ in range(MAX_ROUNDS):
        fresh = follower.refresh()
        if not is_successful(fresh):
            return Failure(StoreDown(detail=fresh.failure().detail))
        applied = _apply_once(store, follower, request)
        if not is_successful(applied):
            return Failure(applied.failure())
        accepted = applied.unwrap()
        if accepted is not None:
            return Success(accepted)
    return Failure(StoreDown(detail=f"others applied first {MAX_ROUNDS} times"))


def preview_state(
    store: ObjectStore, follower: ConfigurationFollower, base: int, new_state: DesiredState
) -> Result[Applied, ApplyError]:
    """Return what `apply_state` would do now, and write nothing.

    Since 0.1.
    """
    fresh = follower.refresh()
    if not is_successful(fresh):
        return Failure(StoreDown(detail=fresh.failure().detail))
    head = follower.state
    merged = _merge(store, base, new_state, head, follower.parts)
    if not is_successful(merged):
        return Failure(merged.failure())
    wanted = merged.unwrap()
    changes = diff(head, wanted.state)
    return Success(
        Applied(revision=head.revision, changes=changes, over=wanted.over, written=False)
    )


def _apply_once(
    store: ObjectStore, follower: ConfigurationFollower, request: _Request
) -> Result[Applied | None, ApplyError]:
    """Apply on the head as it is known here; ``None`` when another applied first."""
    head = follower.state
    head_parts = follower.parts
    merged = _merge(store, request.base, request.state, head, head_parts)
    if not is_successful(merged):
        return Failure(merged.failure())
    wanted = merged.unwrap()
    changes = diff(head, wanted.state)
    if not changes:
        unchanged = Applied(revision=head.revision, changes=(), over=wanted.over, written=False)
        return Success(unchanged)
    parts = split_state(wanted.state, head_parts)
    if not is_successful(parts):
        return Failure(TooLarge(errors=parts.failure()))
    revision = _revision(request, head.revision + 1, changes, parts.unwrap())
    accepted = write_revision(store, revision, parts.unwrap(), head_parts)
    if not is_successful(accepted):
        return Failure(accepted.failure())
    if not accepted.unwrap():
        return Success(None)
    move_head(store, revision.number)
    follower.take(revision.number, parts.unwrap())
    prune_after(store, revision.number)
    return Success(Applied(revision=revision.number, changes=changes, over=wanted.over))


def _revision(
    request: _Request, number: int, changes: tuple[Change, ...], parts: Parts
) -> Revision:
    return Revision(
        number=number,
        base=request.base,
        author=request.author,
        reason=request.reason,
        at=request.at,
        write_id=request.write,
        summary=summarise(changes),
        change_count=len(changes),
        parts={name: part.digest for name, part in parts.items()},
        changes=to_recorded_changes(changes),
    )


def _merge(
    store: ObjectStore, base: int, mine: DesiredState, head: DesiredState, head_parts: Parts
) -> Result[_Merged, ApplyError]:
    if base == head.revision:
        return Success(_Merged(state=mine, over=()))
    if base > head.revision:
        return Failure(UnknownBase(base=base, head=head.revision))
    base_state = _state_at(store, base, head_parts)
    if not is_successful(base_state):
        return Failure(_base_error(base_state.failure(), base, head.revision))
    result = rebase(base_state.unwrap(), mine, head)
    if not is_successful(result):
        others = _others(store, base, head.revision)
        items = tuple(_conflict_item(conflict, others) for conflict in result.failure())
        return Failure(Conflict(head=head.revision, items=items))
    errors = find_state_errors(result.unwrap())
    if errors:
        others = _others(store, base, head.revision)
        return Failure(InvalidTogether(head=head.revision, errors=errors, over=others))
    over = tuple(range(base + 1, head.revision + 1))
    return Success(_Merged(state=result.unwrap(), over=over))


def _state_at(
    store: ObjectStore, number: int, known: Parts
) -> Result[DesiredState, ConfigReadError]:
    if number == 0:
        return Success(DesiredState())
    revision = read_revision(store, number)
    if not is_successful(revision):
        return Failure(revision.failure())
    found = revision.unwrap()
    if found is None:
        return Failure(ConfigReadError(detail=f"revision {number}", missing=True))
    parts = collect_parts(store, found.parts, known, {})
    return parts.map(lambda read: join_parts(read, number))


def _base_error(error: ConfigReadError, base: int, head: int) -> ApplyError:
    if error.missing:
        return UnknownBase(base=base, head=head)
    return StoreDown(detail=error.detail)


def _others(store: ObjectStore, base: int, head: int) -> tuple[Revision, ...]:
    """Return the revisions after ``base``, as far back as an operator is told of them."""
    return history(store, max(base, head - LOOK_BACK), LOOK_BACK).value_or(())


def _conflict_item(conflict: ChangeConflict, others: Sequence[Revision]) -> ConflictItem:
    author = None
    for revision in reversed(others):
        if _touches(revision, conflict.theirs):
            author = revision
            break
    return ConflictItem(mine=conflict.mine, theirs=conflict.theirs, by=author)


def _touches(revision: Revision, change: Change) -> bool:
    if revision.changes is None:
        return part_name(change.section, change.name) in revision.parts
    return any(
        (each.section, each.name) == (change.section, change.name) for each in revision.changes
    )
