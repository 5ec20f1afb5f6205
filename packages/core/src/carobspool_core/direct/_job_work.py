"""State of a batch job at its owner: waiting and running items, results and commits.

A result is valid only after the store has acknowledged it. Its position is its index in the
committed list, so the content at a position never changes. A commit also contains the received
events of unfinished items, and the next owner resumes the items after these events. Uncommitted
work may be lost with the owner; the next owner then runs it again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum

from msgspec import Struct, field

from carobspool_core._clock import Millis
from carobspool_core.direct._configuration import Configuration
from carobspool_core.direct._item_work import ItemWork, JobItem, PartialItem
from carobspool_core.direct._open_items import ItemGroup, OpenItems
from carobspool_core.direct._upstreams import UNKNOWN_VERSION


class ItemOutcome(StrEnum):
    """Outcome of an item."""

    COMPLETED = "completed"
    DEAD = "dead"


class JobInput(Struct, frozen=True, kw_only=True):
    """A batch job as submitted; immutable.

    Attributes:
        job_id: Internal id of the job.
        host: Selects the route of the items, together with their paths.
        path: Path to which the job was submitted.
        owner: Name and incarnation of the entry that accepted the job.
        submitted: Time of the submission, in wall-clock milliseconds; only for time limits of a
            minute or more.
        items: Items of the job.
        organisation: Organisation that submitted the job; empty if the job belongs to none,
            ``None`` if no organisations are declared.
    """

    job_id: str
    host: str
    path: str
    owner: str
    submitted: float
    items: tuple[JobItem, ...]
    organisation: str | None = None


class ItemResult(Struct, frozen=True, kw_only=True):
    """The final result of one item."""

    item_id: str
    outcome: ItemOutcome
    text: str


class JobProgress(Struct, frozen=True, kw_only=True):
    """The committed progress of a job.

    Attributes:
        owner: Name and incarnation of the entry that owns the job.
        ended: Whether the caller ended the job.
        total: Number of items.
        results: Final results in the order of their positions.
        failures: Number of failed runs by unfinished item.
        parts: Received events by unfinished item.
    """

    owner: str
    total: int
    ended: bool = False
    results: tuple[ItemResult, ...] = ()
    failures: Mapping[str, int] = field(default_factory=dict)
    parts: Mapping[str, PartialItem] = field(default_factory=dict)


class JobWork:
    """The items of an owned job. Not thread-safe; callers hold a lock."""

    __slots__ = ("_committed", "_ended", "_input", "_needs_commit", "_open", "_uncommitted")

    def __init__(self, job: JobInput, progress: JobProgress) -> None:
        self._input = job
        self._committed: list[ItemResult] = list(progress.results)
        self._uncommitted: list[ItemResult] = []
        self._ended = progress.ended
        self._needs_commit = False
        committed_ids = {each.item_id for each in progress.results}
        self._open = OpenItems(
            job.host,
            [
                ItemWork(
                    item=each,
                    failures=progress.failures.get(each.item_id, 0),
                    committed_part=progress.parts.get(each.item_id),
                    version=_version_of(progress.parts.get(each.item_id)),
                )
                for each in job.items
                if each.item_id not in committed_ids
            ],
        )

    @property
    def job(self) -> JobInput:
        """The job as submitted."""
        return self._input

    @property
    def ended(self) -> bool:
        """Whether the caller ended the job."""
        return self._ended

    @property
    def committed(self) -> Sequence[ItemResult]:
        """Committed results by position."""
        return self._committed

    @property
    def has_uncommitted(self) -> bool:
        """Whether results or failed runs are not committed yet."""
        return bool(self._uncommitted) or self._needs_commit

    @property
    def finished(self) -> bool:
        """Whether no items are left to run and no results are left to commit."""
        return not self._uncommitted and (self._ended or not self._open)

    @property
    def all_items_finished(self) -> bool:
        """Whether every item has its result, committed or not."""
        return not self._open

    @property
    def events_received(self) -> int:
        """Number of events received for unfinished items."""
        return sum(work.last_event for work in self._open.begun())

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the unfinished items; 0 after the caller has ended the job."""
        return 0 if self._ended else self._open.tokens

    def waiting_items(self, now: Millis, configuration: Configuration) -> list[ItemGroup]:
        """Return the items that may start now.

        Each item that a run has begun is a group of its own, those with the most received events
        first. Groups of the others follow.
        """
        if self._ended:
            return []
        begun = [work for work in self._open.begun() if not work.running and now >= work.not_before]
        begun.sort(key=lambda work: -work.last_event)
        return [
            *(self._open.group_of(work, configuration) for work in begun),
            *self._open.untouched(configuration),
        ]

    def start(self, work: ItemWork) -> None:
        """Record that a run of an item starts."""
        work.running = True
        self._open.begin(work)

    def open_items(self) -> list[ItemWork]:
        """Return the items without a result."""
        return self._open.all()

    def finish(self, work: ItemWork, outcome: ItemOutcome) -> None:
        """Record the result of an item; callers can read it after the next commit."""
        if not self._open.remove(work.item.item_id):
            return
        text = work.text if outcome is ItemOutcome.COMPLETED else ""
        self._uncommitted.append(ItemResult(item_id=work.item.item_id, outcome=outcome, text=text))

    def record_failed_run(self, work: ItemWork, *, max_attempts: int) -> bool:
        """Count a failed run; return whether it was the last attempt and the item is now dead."""
        work.failures += 1
        self._needs_commit = True
        if work.failures < max_attempts:
            return False
        self.finish(work, ItemOutcome.DEAD)
        return True

    def record_rejection(self, work: ItemWork) -> None:
        """Record the answer that an item can never succeed; one such answer is final."""
        self.finish(work, ItemOutcome.DEAD)

    def end(self) -> None:
        """End the job: no further items start, and committed results stay."""
        self._ended = True

    def progress_to_commit(self, owner: str) -> JobProgress:
        """Return the progress to commit."""
        failures = {work.item.item_id: work.failures for work in self._open.all() if work.failures}
        results = (*self._committed, *self._uncommitted)
        self._needs_commit = False
        return JobProgress(
            owner=owner,
            total=len(self._input.items),
            ended=self._ended,
            results=results,
            failures=failures,
            parts=self._partial_items(),
        )

    def apply_stored_progress(self, progress: JobProgress) -> None:
        """Apply the stored progress, after a commit was acknowledged or met a conflict."""
        self._committed = list(progress.results)
        self._ended = self._ended or progress.ended
        committed = {each.item_id for each in self._committed}
        self._uncommitted = [each for each in self._uncommitted if each.item_id not in committed]
        for item_id in committed:
            self._open.remove(item_id)

    def _partial_items(self) -> dict[str, PartialItem]:
        parts: dict[str, PartialItem] = {}
        if self._ended:
            return parts
        for work in self._open.all():
            partial = work.partial_item()
            if partial is not None:
                parts[work.item.item_id] = partial
        return parts

    def mark_uncommitted(self) -> None:
        """Record that the last proposed progress was not stored and must be proposed again."""
        self._needs_commit = True


def _version_of(part: PartialItem | None) -> str:
    return UNKNOWN_VERSION if part is None else part.version
