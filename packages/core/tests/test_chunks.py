"""Tests of chunk states under interleavings of holders that hypothesis generates."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Failure, Result, Success

from carobspool_core import (
    BatchShaping,
    ChunkHolder,
    ChunkRefusal,
    ChunkState,
    ChunkStatus,
    ResultPart,
    chunk_from_json,
    claim_chunk,
    close_cancelled_chunk,
    commit_part,
    declare_intents,
    finished_items,
    iterate_indexes,
    max_items_per_chunk,
    release_chunk,
    spans_from_indexes,
)
from carobspool_core import chunk_to_json as to_value

ITEMS = 6
HOLDERS = [ChunkHolder(node=name, incarnation=f"{name}-1") for name in ("a", "b", "c")]
INDEXES = st.sets(st.integers(min_value=0, max_value=ITEMS - 1), min_size=1, max_size=3)


def _part(indexes: set[int]) -> ResultPart:
    return ResultPart(
        spans=spans_from_indexes(indexes),
        completed=len(indexes),
        failed=0,
        output_bytes=1,
        error_bytes=0,
    )


class RacingHolders(RuleBasedStateMachine):
    """Three holders change one stored chunk; each may act on a stale read of it.

    Each item must end only once, and a non-idempotent item must be started at most once. A holder
    reads the state, may be paused for any number of steps, and then writes on the condition that
    the version is still the one that it read. Starting an item requires a stored intent. Only this
    condition and the refusals protect the items.
    """

    def __init__(self) -> None:
        super().__init__()
        self.state: ChunkState | None = None
        self.version = 0
        self.reads: dict[str, tuple[int, ChunkState | None]] = {}
        self.started: list[int] = []
        self.results: list[int] = []

    @initialize()
    def read_by_all(self) -> None:
        for holder in HOLDERS:
            self.reads[holder.node] = (0, None)

    @rule(holder=st.sampled_from(HOLDERS))
    def read(self, holder: ChunkHolder) -> None:
        self.reads[holder.node] = (self.version, self.state)

    @rule(holder=st.sampled_from(HOLDERS), dead=st.booleans())
    def claim(self, holder: ChunkHolder, dead: bool) -> None:
        state = self.reads[holder.node][1]
        self._write(holder, claim_chunk(state, holder, items=ITEMS, holder_is_dead=dead))

    @rule(holder=st.sampled_from(HOLDERS), indexes=INDEXES)
    def declare_and_start(self, holder: ChunkHolder, indexes: set[int]) -> None:
        state = self.reads[holder.node][1]
        if state is None:
            return
        if self._write(holder, declare_intents(state, holder, spans_from_indexes(indexes))):
            self.started.extend(indexes)

    @rule(holder=st.sampled_from(HOLDERS), indexes=INDEXES)
    def commit(self, holder: ChunkHolder, indexes: set[int]) -> None:
        state = self.reads[holder.node][1]
        if state is None:
            return
        if self._write(holder, commit_part(state, holder, _part(indexes))):
            self.results.extend(indexes)

    @rule(holder=st.sampled_from(HOLDERS), stop=st.booleans())
    def release_or_stop(self, holder: ChunkHolder, stop: bool) -> None:
        state = self.reads[holder.node][1]
        if state is None:
            return
        self._write(holder, (close_cancelled_chunk if stop else release_chunk)(state, holder))

    @invariant()
    def each_item_ends_and_starts_at_most_once(self) -> None:
        assert len(self.results) == len(set(self.results))
        assert len(self.started) == len(set(self.started))

    @invariant()
    def results_never_disappear(self) -> None:
        if self.state is None:
            return
        assert sorted(self.results) == list(iterate_indexes(finished_items(self.state)))
        assert chunk_from_json(to_value(self.state)) == self.state

    def _write(self, holder: ChunkHolder, change: Result[ChunkState, ChunkRefusal]) -> bool:
        version, _ = self.reads[holder.node]
        if version != self.version or not isinstance(change, Success):
            return False
        self.state = change.unwrap()
        self.version += 1
        self.reads[holder.node] = (self.version, self.state)
        return True


TestRacingHolders = RacingHolders.TestCase


def test_new_holder_abandons_intents_without_results() -> None:
    """Items that a dead holder may have started can't be started again but can get a result."""
    first, second, _ = HOLDERS
    state = claim_chunk(None, first, items=ITEMS, holder_is_dead=False).unwrap()
    state = declare_intents(state, first, ((0, 3),)).unwrap()
    state = commit_part(state, first, _part({1})).unwrap()
    assert claim_chunk(state, second, items=ITEMS, holder_is_dead=False) == Failure(
        ChunkRefusal.HELD
    )
    state = claim_chunk(state, second, items=ITEMS, holder_is_dead=True).unwrap()
    assert state.abandoned == ((0, 1), (2, 3))
    assert declare_intents(state, second, ((2, 4),)) == Failure(ChunkRefusal.ALREADY_FINISHED)
    assert commit_part(state, first, _part({0})) == Failure(ChunkRefusal.NOT_HOLDER)
    state = commit_part(state, second, _part({0, 2, 3, 4, 5})).unwrap()
    assert state.status is ChunkStatus.DONE
    assert claim_chunk(state, first, items=ITEMS, holder_is_dead=True) == Failure(ChunkRefusal.DONE)


def test_chunk_size_grows_with_the_job() -> None:
    """The largest job has only hundreds of chunks; small jobs have chunks of 256 items."""
    shaping = BatchShaping()
    assert max_items_per_chunk(shaping, 20) == 256
    assert max_items_per_chunk(shaping, 2_000) == 256
    assert max_items_per_chunk(shaping, 56_000) == 474
    assert max_items_per_chunk(shaping, 560_000) == 1_497
