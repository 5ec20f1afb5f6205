"""Claims and writes of chunk states: the steps on the store, one function for each."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from returns.result import Failure, Result, Success

from carobspool_core import (
    BatchItem,
    ChunkHolder,
    ChunkState,
    ChunkStatus,
    Job,
    ObjectStore,
    Spans,
    StoreFailure,
    StoreFault,
    chunk_from_json,
    chunk_to_json,
    claim_chunk,
    close_cancelled_chunk,
    commit_part,
    declare_intents,
    release_chunk,
    withdraw_intents,
)
from carobspool_node.jobs._job_input import read_items
from carobspool_node.jobs._job_intake import input_key
from carobspool_node.jobs._job_results import ItemResult, chunk_key, pack_results
from carobspool_node.store import create_immutable

INLINE_CHARACTERS = 524_288


class Ending(StrEnum):
    """How a holder parts with a chunk that is not finished."""

    STOP = "stop"
    RELEASE = "release"


@dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """A chunk state as it stands in the store."""

    state: ChunkState
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Claimed:
    """A chunk that this process holds, with its items."""

    standing: Standing
    items: list[BatchItem]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChunkWrite:
    """What a holder wants to write at once.

    Attributes:
        results: Results to commit.
        declare: Non-idempotent items that are about to start.
        withdraw: Declared items that were never started.
        ending: Whether the holder parts with the chunk.
    """

    results: tuple[ItemResult, ...] = ()
    declare: Spans = ()
    withdraw: Spans = ()
    ending: Ending | None = None


def claim(
    store: ObjectStore,
    job: Job,
    number: int,
    holder: ChunkHolder,
    *,
    is_dead: Callable[[ChunkHolder], bool],
) -> Result[Claimed | Standing, StoreFailure]:
    """Claim a chunk.

    Returns:
        The claimed chunk, or the state in which somebody else holds or finished it.
    """
    # Items first: a claim without them would keep others from the chunk for nothing.
    items = _load_items(store, job, number)
    if isinstance(items, Failure):
        return Failure(items.failure())
    taken = take_over(store, job, number, holder, is_dead=is_dead)
    if isinstance(taken, Failure):
        return Failure(taken.failure())
    standing = taken.unwrap()
    if standing.state.holder != holder or standing.state.status is not ChunkStatus.CLAIMED:
        return Success(standing)
    return Success(Claimed(standing=standing, items=items.unwrap()))


def take_over(
    store: ObjectStore,
    job: Job,
    number: int,
    holder: ChunkHolder,
    *,
    is_dead: Callable[[ChunkHolder], bool],
    stop: bool = False,
) -> Result[Standing, StoreFailure]:
    """Claim a chunk, or with ``stop`` end it, if it is free; return how it stands then."""
    key = chunk_key(job.id, number)
    fresh = _claimed_state(None, job, number, holder, dead=False, stop=stop)
    assert fresh is not None
    created = store.create(key, chunk_to_json(fresh))
    if isinstance(created, Success):
        return Success(Standing(state=fresh, version=created.unwrap().version))
    if created.failure().fault is StoreFault.UNAVAILABLE:
        return Failure(created.failure())
    found = read_standing(store, job.id, number)
    if isinstance(found, Failure):
        missing = found.failure().fault is StoreFault.NOT_FOUND
        return Failure(created.failure()) if missing else found
    present = found.unwrap()
    claimed = present.state.status is ChunkStatus.CLAIMED
    dead = claimed and present.state.holder != holder and is_dead(present.state.holder)
    wanted = _claimed_state(present.state, job, number, holder, dead=dead, stop=stop)
    if wanted is None or wanted == present.state:
        return found
    written = store.update(key, chunk_to_json(wanted), version=present.version)
    if isinstance(written, Success):
        return Success(Standing(state=wanted, version=written.unwrap().version))
    if written.failure().fault is StoreFault.UNAVAILABLE:
        return Failure(written.failure())
    return read_standing(store, job.id, number)


def write_chunk(
    store: ObjectStore, job: Job, number: int, standing: Standing, write: ChunkWrite
) -> Result[Standing, StoreFailure]:
    """Carry out a holder's write; return how the chunk stands afterwards.

    After a conflict, or an answer that stays lost, the state is read again: what stands there
    decides, whether the write got in or not.
    """
    wanted = _apply(store, job, number, standing.state, write)
    if isinstance(wanted, Failure):
        return wanted
    key = chunk_key(job.id, number)
    state = wanted.unwrap()
    written = store.update(key, chunk_to_json(state), version=standing.version)
    if isinstance(written, Success):
        return Success(Standing(state=state, version=written.unwrap().version))
    if written.failure().fault is StoreFault.UNAVAILABLE:
        return Failure(written.failure())
    return read_standing(store, job.id, number)


def read_standing(store: ObjectStore, job_id: str, number: int) -> Result[Standing, StoreFailure]:
    """Read a chunk's state."""
    found = store.get(chunk_key(job_id, number))
    if isinstance(found, Failure):
        return found
    stored = found.unwrap()
    return Success(Standing(state=chunk_from_json(stored.value), version=stored.version))


def _load_items(store: ObjectStore, job: Job, number: int) -> Result[list[BatchItem], StoreFailure]:
    key = input_key(job.input_id, number)
    stored = store.get(key)
    if isinstance(stored, Failure):
        return Failure(stored.failure())
    try:
        items = read_items(
            stored.unwrap().value["packed"],
            job=job.id,
            chunk=number,
            endpoint=job.endpoint,
            organisation=job.organisation,
            caller=job.caller,
            metadata=dict(job.metadata),
        )
    except (KeyError, TypeError, ValueError) as error:
        return Failure(StoreFailure(fault=StoreFault.NOT_FOUND, key=key, detail=repr(error)))
    return Success(items)


def _claimed_state(
    state: ChunkState | None, job: Job, number: int, holder: ChunkHolder, *, dead: bool, stop: bool
) -> ChunkState | None:
    items = job.chunk_sizes[number]
    claimed = claim_chunk(state, holder, items=items, holder_is_dead=dead)
    if isinstance(claimed, Failure):
        return None
    if not stop:
        return claimed.unwrap()
    return close_cancelled_chunk(claimed.unwrap(), holder).unwrap()


def _apply(
    store: ObjectStore, job: Job, number: int, state: ChunkState, write: ChunkWrite
) -> Result[ChunkState, StoreFailure]:
    """Return the state that a write asks for; results too large for it go to segments first."""
    holder = state.holder
    inline = sum(len(part.payload) for part in state.parts)
    for part, payload in pack_results(write.results):
        if inline + len(payload) <= INLINE_CHARACTERS:
            inline += len(payload)
            state = commit_part(state, holder, replace(part, payload=payload)).unwrap()
            continue
        segment = f"segments/{job.id}/{number:06d}/{uuid.uuid4().hex}"
        created = create_immutable(store, segment, payload)
        if isinstance(created, Failure):
            return created
        state = commit_part(state, holder, replace(part, segments=(segment,))).unwrap()
    if write.withdraw:
        state = withdraw_intents(state, holder, write.withdraw).unwrap()
    if write.declare:
        state = declare_intents(state, holder, write.declare).unwrap()
    if state.status is ChunkStatus.DONE:
        return Success(state)
    if write.ending is Ending.STOP:
        return Success(close_cancelled_chunk(state, holder).unwrap())
    if write.ending is Ending.RELEASE:
        return Success(release_chunk(state, holder).unwrap())
    return Success(state)
