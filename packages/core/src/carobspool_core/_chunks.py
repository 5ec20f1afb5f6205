"""States of a chunk of batch items and the transitions between them.

A transition is a function that maps the stored state to the new state, or to a refusal. The caller
writes the new state on the condition that the stored state has not changed, so only one of two
competing holders succeeds. These conditional writes alone decide which items are finished.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from returns.result import Failure, Result, Success

from carobspool_core._config import BatchShaping
from carobspool_core._spans import (
    Spans,
    count_indexes,
    spans_overlap,
    subtract_spans,
    union_spans,
)

MAX_CHUNK_ITEMS = 2_048
MAX_CHUNK_BYTES = 524_288
CHUNKS_BEFORE_GROWTH = 64


class ChunkStatus(StrEnum):
    """Status of a chunk. A chunk that was never claimed has no stored state."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class ChunkRefusal(StrEnum):
    """Why a transition of a chunk's state is refused."""

    HELD = "held"
    NOT_HOLDER = "not_holder"
    DONE = "done"
    ALREADY_FINISHED = "already_finished"
    NOT_DECLARED = "not_declared"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChunkHolder:
    """A process that can hold chunks: the name of its node and its incarnation."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultPart:
    """Results of some items of a chunk, written by one commit.

    Attributes:
        spans: Indexes of the items within the chunk.
        completed: Number of items that succeeded.
        failed: Number of items that ended as errors.
        output_bytes: Size of the results in the job's output file.
        error_bytes: Size of the results in the job's error file.
        payload: The packed results, or ``""`` when they are stored in segments.
        segments: Keys of the objects that hold the packed results.
    """

    spans: Spans
    completed: int
    failed: int
    output_bytes: int
    error_bytes: int
    payload: str = ""
    segments: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class ChunkState:
    """The stored state of a chunk.

    Attributes:
        holder: Process that claimed the chunk last.
        status: Status of the chunk.
        items: Number of items in the chunk.
        intents: Non-idempotent items that the holder may have started.
        abandoned: Non-idempotent items that an earlier holder may have started, without results.
        parts: Results, one part for each commit; the spans of the parts are disjoint.
    """

    holder: ChunkHolder
    status: ChunkStatus
    items: int
    intents: Spans = ()
    abandoned: Spans = ()
    parts: tuple[ResultPart, ...] = ()


ChunkTransition = Callable[[ChunkState], Result[ChunkState, ChunkRefusal]]


def max_items_per_chunk(shaping: BatchShaping, items: int) -> int:
    """Return the largest number of items in a chunk of a job of ``items`` items.

    A chunk costs three to four writes, regardless of its size, and the store handles a few hundred
    writes a second for the whole fleet. Above 64 chunks, the chunk size grows with the square root
    of the job size, which limits both the number of chunks and their size: a job of 560,000 items
    has 375 chunks of 1,497 items, where a fixed size of 256 would make 2,188 chunks.
    """
    base_size = max(1, shaping.chunk_items)
    scaled_size = math.ceil(base_size * math.sqrt(items / (base_size * CHUNKS_BEFORE_GROWTH)))
    return min(max(base_size, scaled_size), MAX_CHUNK_ITEMS)


def max_bytes_per_chunk(shaping: BatchShaping, items: int) -> int:
    """Return the compressed size limit, in bytes, of a chunk of a job of ``items`` items."""
    factor = max_items_per_chunk(shaping, items) / max(1, shaping.chunk_items)
    return int(min(shaping.chunk_bytes * max(1.0, factor), MAX_CHUNK_BYTES))


def finished_items(state: ChunkState) -> Spans:
    """Return the items that have a result."""
    spans: Spans = ()
    for part in state.parts:
        spans = union_spans(spans, part.spans)
    return spans


def unfinished_items(state: ChunkState) -> Spans:
    """Return the items that have no result."""
    return subtract_spans(((0, state.items),), finished_items(state))


def claim_chunk(
    state: ChunkState | None, holder: ChunkHolder, *, items: int, holder_is_dead: bool
) -> Result[ChunkState, ChunkRefusal]:
    """Claim a chunk that is unclaimed, released, or held by a dead process.

    The previous holder may have started any non-idempotent item that it had declared. Declared
    items without a result become ``abandoned``: their outcome is unknown and they are never run
    again. A claim by the current holder changes nothing.

    Args:
        state: The stored state; ``None`` if the chunk was never claimed.
        holder: The claiming process.
        items: Number of items in the chunk.
        holder_is_dead: Whether the lease of the holder named in ``state`` has expired.
    """
    if state is None:
        return Success(ChunkState(holder=holder, status=ChunkStatus.CLAIMED, items=items))
    if state.status is ChunkStatus.DONE:
        return Failure(ChunkRefusal.DONE)
    if state.status is ChunkStatus.CLAIMED and state.holder == holder:
        return Success(state)
    if state.status is ChunkStatus.CLAIMED and not holder_is_dead:
        return Failure(ChunkRefusal.HELD)
    declared = union_spans(state.intents, state.abandoned)
    return Success(
        replace(
            state,
            holder=holder,
            status=ChunkStatus.CLAIMED,
            intents=(),
            abandoned=subtract_spans(declared, finished_items(state)),
        )
    )


def declare_intents(
    state: ChunkState, holder: ChunkHolder, spans: Spans
) -> Result[ChunkState, ChunkRefusal]:
    """Record that the holder is about to start non-idempotent items.

    Refused as ``ALREADY_FINISHED`` if an item has a result, is abandoned or was declared before.
    """
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    unavailable = union_spans(finished_items(state), union_spans(state.intents, state.abandoned))
    if spans_overlap(spans, unavailable):
        return Failure(ChunkRefusal.ALREADY_FINISHED)
    return Success(replace(state, intents=union_spans(state.intents, spans)))


def withdraw_intents(
    state: ChunkState, holder: ChunkHolder, spans: Spans
) -> Result[ChunkState, ChunkRefusal]:
    """Remove the intents of items that the holder has certainly not started."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    return Success(replace(state, intents=subtract_spans(state.intents, spans)))


def commit_part(
    state: ChunkState, holder: ChunkHolder, part: ResultPart
) -> Result[ChunkState, ChunkRefusal]:
    """Add results; the chunk is done when every item has a result."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    if spans_overlap(part.spans, finished_items(state)):
        return Failure(ChunkRefusal.ALREADY_FINISHED)
    after = replace(
        state,
        parts=(*state.parts, part),
        intents=subtract_spans(state.intents, part.spans),
        abandoned=subtract_spans(state.abandoned, part.spans),
    )
    if count_indexes(finished_items(after)) == after.items:
        after = replace(after, status=ChunkStatus.DONE)
    return Success(after)


def close_cancelled_chunk(
    state: ChunkState, holder: ChunkHolder
) -> Result[ChunkState, ChunkRefusal]:
    """Mark a chunk of a cancelled job as done; its unfinished items stay without a result."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    return Success(replace(state, status=ChunkStatus.DONE))


def release_chunk(state: ChunkState, holder: ChunkHolder) -> Result[ChunkState, ChunkRefusal]:
    """Release a claim, so that another process can claim the chunk before the lease expires."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    return Success(replace(state, status=ChunkStatus.RELEASED))


def _refusal(state: ChunkState, holder: ChunkHolder) -> ChunkRefusal | None:
    """Return why ``holder`` may not change the chunk; ``None`` if it may."""
    if state.status is ChunkStatus.DONE:
        return ChunkRefusal.DONE
    if state.status is not ChunkStatus.CLAIMED or state.holder != holder:
        return ChunkRefusal.NOT_HOLDER
    return None
