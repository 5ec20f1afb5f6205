"""What this process knows of one open job's chunks: which are done, held, or its own to claim."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence

from carobspool_core import ChunkHolder, Job, JobCounts, Millis, add_counts, preferred_node


class JobWork:
    """Progress of one job. Belongs to the runner's loop.

    Args:
        job: The job.
        now: The clock's instant in milliseconds.

    Attributes:
        job: The job as last seen.
        last_news: When a chunk was last heard to be done.
        busy: Whether a step of the coordinator is under way.
        coordinated: Whether this process coordinated the job in the last round.
    """

    def __init__(self, job: Job, now: Millis) -> None:
        self.job = job
        self.last_news = now
        self.busy = False
        self.coordinated = True
        self._done: dict[int, JobCounts] = {}
        self._finished_here: dict[int, JobCounts] = {}
        self._taken: set[int] = set()
        self._held: dict[int, ChunkHolder] = {}
        self._cursor = 0
        self._sweep: deque[int] = deque()

    @property
    def all_done(self) -> bool:
        """Whether every chunk is known to be done."""
        return len(self._done) == len(self.job.chunk_sizes)

    @property
    def done(self) -> int:
        """Number of chunks known to be done."""
        return len(self._done)

    @property
    def finished_here(self) -> Mapping[int, JobCounts]:
        """The chunks that this process itself finished."""
        return self._finished_here

    def mark_finished_here(self, number: int, counts: JobCounts) -> None:
        """Take in that this process finished a chunk."""
        self._finished_here[number] = counts

    def counts(self) -> JobCounts:
        """Return the sums over the chunks known to be done."""
        total = JobCounts()
        for counts in self._done.values():
            total = add_counts(total, counts)
        return total

    def mark_done(self, number: int, counts: JobCounts, now: Millis) -> None:
        """Take in that a chunk is done; that never changes again."""
        if not 0 <= number < len(self.job.chunk_sizes):
            return
        self._done[number] = counts
        self._held.pop(number, None)
        self._taken.discard(number)
        self.last_news = now

    def mark_taken(self, number: int) -> None:
        """Take in that this process claims or holds a chunk."""
        self._taken.add(number)

    def mark_free(self, number: int) -> None:
        """Take in that this process does not hold a chunk any more."""
        self._taken.discard(number)

    def mark_held(self, number: int, holder: ChunkHolder) -> None:
        """Take in that another process holds a chunk."""
        self._taken.discard(number)
        self._held[number] = holder

    def look_again(self) -> None:
        """Consider all chunks again: processes came or went."""
        self._cursor = 0

    def next_candidate(
        self, node: str, live: Sequence[str], is_dead: Callable[[ChunkHolder], bool]
    ) -> int | None:
        """Return the next chunk that this node should claim, ``None`` if there is none."""
        while self._cursor < len(self.job.chunk_sizes):
            number = self._cursor
            self._cursor += 1
            if number in self._done or number in self._taken:
                continue
            if preferred_node(f"{self.job.id}/{number}", live) != node:
                continue
            holder = self._held.get(number)
            if holder is not None and not is_dead(holder):
                continue
            return number
        return None

    @property
    def sweeping(self) -> bool:
        """Whether a sweep has chunks left to read."""
        return bool(self._sweep)

    def begin_sweep(self) -> None:
        """Begin to read all chunks that are not known to be done and not held here."""
        count = len(self.job.chunk_sizes)
        self._sweep = deque(
            number
            for number in range(count)
            if number not in self._done and number not in self._taken
        )

    def next_of_sweep(self, limit: int) -> list[int]:
        """Return up to ``limit`` chunks of the sweep that are still not known to be done."""
        found: list[int] = []
        while self._sweep and len(found) < limit:
            number = self._sweep.popleft()
            if number not in self._done and number not in self._taken:
                found.append(number)
        return found
