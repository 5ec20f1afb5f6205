"""States of a chunk of batch items and the changes that are allowed between them.

A change is a function from the stored state to the new one, or to a refusal. The caller writes the
new state on the condition that the stored one has not changed, so of two holders only one gets
through; which items are finished is decided by nothing but these writes.
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
    span_count,
    spans_overlap,
    subtract_spans,
    unite_spans,
)

MAX_CHUNK_ITEMS = 2_048
MAX_CHUNK_BYTES = 524_288
CHUNKS_BEFORE_GROWTH = 64


class ChunkStatus(StrEnum):
    """Where a chunk stands. A chunk nobody has claimed yet has no stored state."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class ChunkRefusal(StrEnum):
    """Why a change of a chunk's state is not allowed."""

    HELD = "held"
    NOT_HOLDER = "not_holder"
    DONE = "done"
    ALREADY_FINISHED = "already_finished"
    NOT_DECLARED = "not_declared"


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """A process that may hold chunks: a node's name and the incarnation of its process."""

    node: str
    incarnation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultPart:
    """Results of some items of a chunk, written by one commit.

    Attributes:
        spans: Indexes of the items within the chunk.
        completed: How many of them succeeded.
        failed: How many of them ended as errors.
        output_bytes: Their size in the job's output file.
        error_bytes: Their size in the job's error file.
        payload: The packed results, or ``""`` when they stand in segments.
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
        holder: Who claimed it last.
        status: Where it stands.
        items: Number of items in the chunk.
        intents: Non-idempotent items that the holder may have started.
        abandoned: Non-idempotent items that an earlier holder may have started, without results.
        parts: Results, one part for each commit; their spans are disjoint.
    """

    holder: Holder
    status: ChunkStatus
    items: int
    intents: Spans = ()
    abandoned: Spans = ()
    parts: tuple[ResultPart, ...] = ()


ChunkChange = Callable[[ChunkState], Result[ChunkState, ChunkRefusal]]


def chunk_items(shaping: BatchShaping, items: int) -> int:
    """Return how many items a chunk of a job of ``items`` items holds at most.

    A chunk costs three to four writes however many items it holds, and the store takes a few
    hundred writes a second for the whole fleet. Above 64 chunks, growth with the square root of
    the job keeps both the number of chunks and their size moderate: a job of 560,000 items has 375
    chunks of 1,497, where the fixed 256 would make 2,188.
    """
    least = max(1, shaping.chunk_items)
    grown = math.ceil(least * math.sqrt(items / (least * CHUNKS_BEFORE_GROWTH)))
    return min(max(least, grown), MAX_CHUNK_ITEMS)


def chunk_bytes(shaping: BatchShaping, items: int) -> int:
    """Return how many compressed bytes a chunk of a job of ``items`` items holds at most."""
    factor = chunk_items(shaping, items) / max(1, shaping.chunk_items)
    return int(min(shaping.chunk_bytes * max(1.0, factor), MAX_CHUNK_BYTES))


def finished(state: ChunkState) -> Spans:
    """Return the items that have a result."""
    spans: Spans = ()
    for part in state.parts:
        spans = unite_spans(spans, part.spans)
    return spans


def unfinished(state: ChunkState) -> Spans:
    """Return the items that have no result."""
    return subtract_spans(((0, state.items),), finished(state))


def claim_chunk(
    state: ChunkState | None, holder: Holder, *, items: int, holder_is_dead: bool
) -> Result[ChunkState, ChunkRefusal]:
    """Claim a chunk that is free, released, or held by a dead process.

    The previous holder may have sent off any non-idempotent item that it had declared. Those
    without a result become ``abandoned``: they end as unknown and are never run again.

    Args:
        state: The stored state, ``None`` if there is none.
        holder: Who claims.
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
    declared = unite_spans(state.intents, state.abandoned)
    return Success(
        replace(
            state,
            holder=holder,
            status=ChunkStatus.CLAIMED,
            intents=(),
            abandoned=subtract_spans(declared, finished(state)),
        )
    )


def declare_intents(
    state: ChunkState, holder: Holder, spans: Spans
) -> Result[ChunkState, ChunkRefusal]:
    """Record that the holder is about to start non-idempotent items."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    taken = unite_spans(finished(state), unite_spans(state.intents, state.abandoned))
    if spans_overlap(spans, taken):
        return Failure(ChunkRefusal.ALREADY_FINISHED)
    return Success(replace(state, intents=unite_spans(state.intents, spans)))


def withdraw_intents(
    state: ChunkState, holder: Holder, spans: Spans
) -> Result[ChunkState, ChunkRefusal]:
    """Take back the intents of items that the holder knows it never started."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    return Success(replace(state, intents=subtract_spans(state.intents, spans)))


def commit_part(
    state: ChunkState, holder: Holder, part: ResultPart
) -> Result[ChunkState, ChunkRefusal]:
    """Add results; the chunk is done when every item has one."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    if spans_overlap(part.spans, finished(state)):
        return Failure(ChunkRefusal.ALREADY_FINISHED)
    after = replace(
        state,
        parts=(*state.parts, part),
        intents=subtract_spans(state.intents, part.spans),
        abandoned=subtract_spans(state.abandoned, part.spans),
    )
    if span_count(finished(after)) == after.items:
        after = replace(after, status=ChunkStatus.DONE)
    return Success(after)


def stop_chunk(state: ChunkState, holder: Holder) -> Result[ChunkState, ChunkRefusal]:
    """End a chunk of a cancelled job; items without a result never get one."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    return Success(replace(state, status=ChunkStatus.DONE))


def release_chunk(state: ChunkState, holder: Holder) -> Result[ChunkState, ChunkRefusal]:
    """Give a claim back, so that another process need not wait for the lease to expire."""
    if refusal := _refusal(state, holder):
        return Failure(refusal)
    return Success(replace(state, status=ChunkStatus.RELEASED))


def _refusal(state: ChunkState, holder: Holder) -> ChunkRefusal | None:
    if state.status is ChunkStatus.DONE:
        return ChunkRefusal.DONE
    if state.status is not ChunkStatus.CLAIMED or state.holder != holder:
        return ChunkRefusal.NOT_HOLDER
    return None
