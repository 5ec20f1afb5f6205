"""What this process knows of one open job's chunks: which are done, held, or its own to claim."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from carobspool_core import Holder, Job, JobCounts, Millis, add_counts, owner


class JobWork:
    """Progress of one job. Belongs to the runner's loop.

    Args:
        job: The job.
        now: The clock's instant in milliseconds.
    """

    def __init__(self, job: Job, now: Millis) -> None:
        self.job = job
        self.last_news = now
        self.busy = False
        self._done: dict[int, JobCounts] = {}
        self._taken: set[int] = set()
        self._held: dict[int, Holder] = {}
        self._cursor = 0
        self._probe = 0

    @property
    def all_done(self) -> bool:
        """Whether every chunk is known to be done."""
        return len(self._done) == len(self.job.chunk_sizes)

    @property
    def done(self) -> int:
        """Number of chunks known to be done."""
        return len(self._done)

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

    def mark_held(self, number: int, holder: Holder) -> None:
        """Take in that another process holds a chunk."""
        self._taken.discard(number)
        self._held[number] = holder

    def look_again(self) -> None:
        """Consider all chunks again: processes came or went."""
        self._cursor = 0

    def next_candidate(
        self, node: str, live: Sequence[str], is_dead: Callable[[Holder], bool]
    ) -> int | None:
        """Return the next chunk that this node should claim, ``None`` if there is none."""
        while self._cursor < len(self.job.chunk_sizes):
            number = self._cursor
            self._cursor += 1
            if number in self._done or number in self._taken:
                continue
            if owner(f"{self.job.id}/{number}", live) != node:
                continue
            holder = self._held.get(number)
            if holder is not None and not is_dead(holder):
                continue
            return number
        return None

    def not_done(self, limit: int) -> list[int]:
        """Return up to ``limit`` chunks not known to be done and not held here, in rotation."""
        count = len(self.job.chunk_sizes)
        found: list[int] = []
        for _ in range(count):
            number = self._probe % count
            self._probe += 1
            if number in self._done or number in self._taken:
                continue
            found.append(number)
            if len(found) == limit:
                break
        return found
