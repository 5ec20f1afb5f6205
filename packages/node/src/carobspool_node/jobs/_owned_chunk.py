"""A chunk that this process holds: which items wait, run, or ended and are not yet written.

No threads and no store: the runner's loop calls it and carries out what it asks for.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from carobspool_core import (
    BatchItem,
    ChunkHolder,
    ChunkStatus,
    ItemOutcome,
    Millis,
    count_indexes,
    decide_item_retry,
    finished_items,
    iterate_indexes,
    spans_from_indexes,
    unfinished_items,
)
from carobspool_node.jobs._chunk_store import ChunkWrite, Ending, Standing
from carobspool_node.jobs._job_results import ItemResult, abandoned_result, item_result

COMMIT_INTERVAL: Millis = 10_000.0
COMMIT_SHARE = 0.25
CAREFUL_COMMIT_INTERVAL: Millis = 1_000.0
DECLARED_AHEAD = 16
WRITE_PAUSE: Millis = 500.0


class ItemHandle(Protocol):
    """A started attempt."""

    def cancel(self) -> None:
        """Stop it; its outcome may still be told."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt of an item: the runner tells its outcome under this number."""

    item: BatchItem
    number: int


class OwnedChunk:
    """State of one held chunk. Belongs to the runner's loop.

    Args:
        standing: The state as claimed.
        items: The chunk's items.
        now: The clock's instant in milliseconds.
    """

    def __init__(self, standing: Standing, items: list[BatchItem], now: Millis) -> None:
        self._standing = standing
        self._items = items
        self._ready: deque[int] = deque()
        self._undeclared: deque[int] = deque()
        self._delayed: list[tuple[Millis, int]] = []
        self._running: dict[int, tuple[int, ItemHandle | None]] = {}
        self._started: set[int] = set()
        self._attempts: dict[int, int] = {}
        self._counted: dict[int, int] = {}
        self._results: dict[int, ItemResult] = {}
        self._written_at = now
        self._retry_at = now
        self._writing: ChunkWrite | None = None
        self._ending: Ending | None = None
        self._sort_items()

    @property
    def standing(self) -> Standing:
        """The stored state as last known."""
        return self._standing

    @property
    def running(self) -> int:
        """Number of started attempts without an outcome."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of items that could start, now or after their intents are written."""
        return len(self._ready) + len(self._undeclared)

    @property
    def declaring(self) -> int:
        """Number of items whose intents are being written."""
        return 0 if self._writing is None else count_indexes(self._writing.declare)

    @property
    def ending(self) -> Ending | None:
        """How this process is parting with the chunk, if it is."""
        return self._ending

    def has_ready(self, now: Millis) -> bool:
        """Tell whether an item may start now."""
        while self._delayed and self._delayed[0][0] <= now:
            self._ready.append(heapq.heappop(self._delayed)[1])
        return bool(self._ready) and self._ending is None

    def start_next(self) -> Attempt:
        """Take the next item that may start."""
        index = self._ready.popleft()
        number = self._attempts.get(index, 0) + 1
        self._attempts[index] = number
        self._running[index] = (number, None)
        self._started.add(index)
        return Attempt(item=self._items[index], number=number)

    def started(self, attempt: Attempt, handle: ItemHandle) -> None:
        """Keep the handle of a started attempt."""
        index = attempt.item.index
        if index in self._running:
            self._running[index] = (attempt.number, handle)

    def ended(
        self, attempt: Attempt, outcome: ItemOutcome, *, max_attempts: int, now: Millis
    ) -> None:
        """Take an attempt's outcome; one of an attempt no longer running is ignored."""
        index = attempt.item.index
        if self._running.get(index, (0, None))[0] != attempt.number:
            return
        del self._running[index]
        counted = self._counted.get(index, 0) + 1
        retry = decide_item_retry(
            attempt.item, outcome, attempts=counted, max_attempts=max_attempts
        )
        if retry is None:
            self._results[index] = item_result(attempt.item, outcome)
            return
        if retry.counts_as_attempt:
            self._counted[index] = counted
        if not attempt.item.idempotent:
            self._started.discard(index)
        heapq.heappush(self._delayed, (now + retry.delay, index))

    def part(self, ending: Ending, *, cancel: bool) -> None:
        """Start nothing more and part with the chunk once nothing runs.

        Args:
            ending: How to part with it.
            cancel: Whether to cancel what runs instead of waiting for it.
        """
        self._ending = ending
        if cancel:
            self.cancel_running()

    def cancel_running(self) -> None:
        """Cancel all attempts and ignore their outcomes."""
        handles = [handle for _, handle in self._running.values() if handle is not None]
        self._running.clear()
        for handle in handles:
            handle.cancel()

    def next_write(self, now: Millis, *, may_declare: bool) -> ChunkWrite | None:
        """Return what should be written now, if anything; `wrote` or `write_failed` must follow.

        Args:
            now: The clock's instant in milliseconds.
            may_declare: Whether there is capacity for further non-idempotent items. What is
                declared and not started ends as unknown if this process dies.
        """
        if self._writing is not None or now < self._retry_at:
            return None
        self._writing = self._wanted_write(now, may_declare=may_declare)
        return self._writing

    def wrote(self, standing: Standing, holder: ChunkHolder, now: Millis) -> bool:
        """Take in how the chunk stands after a write; ``False`` if it is no longer held."""
        self._writing = None
        self._written_at = now
        return self.adopt(standing, holder)

    def write_failed(self, now: Millis) -> None:
        """Take in that the store could not be reached; try again after a pause."""
        self._writing = None
        self._retry_at = now + WRITE_PAUSE

    def adopt(self, standing: Standing, holder: ChunkHolder) -> bool:
        """Take in the stored state; ``False`` if the chunk is no longer held."""
        if standing.version < self._standing.version:
            return True
        self._standing = standing
        state = standing.state
        if state.holder != holder or state.status is not ChunkStatus.CLAIMED:
            return False
        for index in iterate_indexes(finished_items(state)):
            self._results.pop(index, None)
        declared = set(iterate_indexes(state.intents))
        self._ready.extend(index for index in self._undeclared if index in declared)
        self._undeclared = deque(index for index in self._undeclared if index not in declared)
        return True

    def _sort_items(self) -> None:
        """Decide for each item without a result whether it may run.

        An item that an earlier holder may have started ends as unknown. Running it again could
        send a second letter to the same poet.
        """
        abandoned = set(iterate_indexes(self._standing.state.abandoned))
        for index in iterate_indexes(unfinished_items(self._standing.state)):
            if index in abandoned:
                self._results[index] = abandoned_result(self._items[index])
                continue
            if self._items[index].idempotent:
                self._ready.append(index)
                continue
            self._undeclared.append(index)

    def _wanted_write(self, now: Millis, *, may_declare: bool) -> ChunkWrite | None:
        results = tuple(self._results.values())
        if self._ending is not None:
            if self._running:
                return None
            withdraw = spans_from_indexes(
                index
                for index in iterate_indexes(self._standing.state.intents)
                if index not in self._started
            )
            return ChunkWrite(results=results, withdraw=withdraw, ending=self._ending)
        declare = tuple(self._undeclared)[:DECLARED_AHEAD]
        if declare and may_declare and not self._ready:
            return ChunkWrite(results=results, declare=spans_from_indexes(declare))
        if results and self._commit_is_due(now):
            return ChunkWrite(results=results)
        return None

    def _commit_is_due(self, now: Millis) -> bool:
        """Decide when results are worth a write: at the end, else seldom.

        A lost process repeats what it had not written, so writing seldom costs work after a
        failure; writing often costs the store, for every chunk of the fleet at once. Results of
        non-idempotent items cannot be made again and are written within a second.
        """
        left = self._standing.state.items - count_indexes(finished_items(self._standing.state))
        if len(self._results) == left:
            return True
        waited = now - self._written_at
        if waited >= CAREFUL_COMMIT_INTERVAL and self._holds_unrepeatable():
            return True
        share = len(self._results) >= COMMIT_SHARE * self._standing.state.items
        return waited >= COMMIT_INTERVAL and (share or waited >= 3.0 * COMMIT_INTERVAL)

    def _holds_unrepeatable(self) -> bool:
        return any(not self._items[index].idempotent for index in self._results)
