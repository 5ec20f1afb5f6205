"""One batch job as its owner works on it: which items wait, run, are done, and what is committed.

A result counts only once the store has acknowledged it. Its position is its place in the committed
list, so a position never changes its content. A commit also carries how far the open items are, and
the next owner has them go on after that event. Whatever is not committed may be lost with the owner
and is then run again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum

from msgspec import Struct, field

from carobspool_core._clock import Millis


class ItemEnd(StrEnum):
    """How an item ended."""

    COMPLETED = "completed"
    DEAD = "dead"


class JobItem(Struct, frozen=True, kw_only=True):
    """One request of a batch job, as submitted."""

    item_id: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int


class JobInput(Struct, frozen=True, kw_only=True):
    """A batch job as submitted; it never changes.

    Attributes:
        job_id: Name of the job inside the system.
        host: Selects the route of its items, with their paths.
        path: Path under which it was submitted.
        owner: The entry that accepted it, name and incarnation.
        submitted: Wall-clock milliseconds; only for time limits of a minute and more.
        items: Its items.
        organisation: Whose it is; empty for a job of nobody, ``None`` where the operator declared
            no organisations.
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
    end: ItemEnd
    text: str


class ItemPart(Struct, frozen=True, kw_only=True):
    """What is there of an item that is not finished: its first events.

    Attributes:
        last_event: Id of the last of them.
        text: Their data, in order, separated by line feeds.
    """

    last_event: int
    text: str


class JobProgress(Struct, frozen=True, kw_only=True):
    """What is committed of a job.

    Attributes:
        owner: The entry that works on it, name and incarnation.
        ended: Whether its caller ended it.
        total: Number of its items.
        results: Final results in the order of their positions.
        failures: Failed runs of items that are not finished.
        parts: What is there of items that are not finished.
    """

    owner: str
    total: int
    ended: bool = False
    results: tuple[ItemResult, ...] = ()
    failures: Mapping[str, int] = field(default_factory=dict)
    parts: Mapping[str, ItemPart] = field(default_factory=dict)


class ItemWork(Struct):
    """An item that is not finished: its text so far and its failed runs.

    The task that runs the item adds events while another reads them for a commit. The number of
    events follows from the list, so that text and number always fit together.

    Attributes:
        item: As submitted.
        failures: Failed runs.
        kept: What an earlier owner had committed of it.
        texts: Data of the events after that, in order.
        running: Whether a run is under way.
        not_before: When the next run may start.
    """

    item: JobItem
    failures: int = 0
    kept: ItemPart | None = None
    texts: list[str] = field(default_factory=list)
    running: bool = False
    not_before: Millis = 0.0

    @property
    def last_event(self) -> int:
        """Id of the last event received, 0 when there is none; ids begin at 1."""
        return len(self.texts) + (self.kept.last_event if self.kept is not None else 0)

    @property
    def text(self) -> str:
        """The data of all events, separated by line feeds."""
        return _joined(self.kept, self.texts)

    def part(self) -> ItemPart | None:
        """Return what is there now, ``None`` when there is nothing."""
        texts = list(self.texts)
        if not texts:
            return self.kept
        before = self.kept.last_event if self.kept is not None else 0
        return ItemPart(last_event=before + len(texts), text=_joined(self.kept, texts))

    def restart(self) -> None:
        """Forget what was received, before the item is run from its beginning again."""
        self.kept = None
        self.texts = []


class JobWork:
    """The items of an owned job. Not safe for threads; its owner locks."""

    __slots__ = ("_committed", "_ended", "_failed", "_input", "_open", "_pending")

    def __init__(self, job: JobInput, progress: JobProgress) -> None:
        self._input = job
        self._committed: list[ItemResult] = list(progress.results)
        self._pending: list[ItemResult] = []
        self._ended = progress.ended
        self._failed = False
        finished = {each.item_id for each in progress.results}
        self._open = {
            each.item_id: ItemWork(
                item=each,
                failures=progress.failures.get(each.item_id, 0),
                kept=progress.parts.get(each.item_id),
            )
            for each in job.items
            if each.item_id not in finished
        }

    @property
    def input(self) -> JobInput:
        """The job as submitted."""
        return self._input

    @property
    def ended(self) -> bool:
        """Whether the caller ended the job."""
        return self._ended

    @property
    def committed(self) -> Sequence[ItemResult]:
        """Results by position."""
        return self._committed

    @property
    def has_uncommitted(self) -> bool:
        """Whether there is something to commit."""
        return bool(self._pending) or self._failed

    @property
    def finished(self) -> bool:
        """Whether nothing is left to run or to commit."""
        return not self._pending and (self._ended or not self._open)

    @property
    def all_run(self) -> bool:
        """Whether every item has its result, committed or not."""
        return not self._open

    @property
    def events_received(self) -> int:
        """Events of the items that are not finished."""
        return sum(work.last_event for work in self._open.values())

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items that no upstream has finished."""
        if self._ended:
            return 0
        return sum(each.item.tokens for each in self._open.values())

    def waiting_items(self, now: Millis) -> list[ItemWork]:
        """Return the items that can be started, those that have received most first."""
        if self._ended:
            return []
        waiting = [
            work for work in self._open.values() if not work.running and now >= work.not_before
        ]
        return sorted(waiting, key=lambda work: -work.last_event)

    def open_items(self) -> list[ItemWork]:
        """Return the items without a result."""
        return list(self._open.values())

    def finish(self, work: ItemWork, end: ItemEnd) -> None:
        """Give an item its result; it becomes readable once committed."""
        if self._open.pop(work.item.item_id, None) is None:
            return
        text = work.text if end is ItemEnd.COMPLETED else ""
        self._pending.append(ItemResult(item_id=work.item.item_id, end=end, text=text))

    def failed(self, work: ItemWork, *, max_attempts: int) -> bool:
        """Count a failed run; return whether the item is now given up."""
        work.failures += 1
        self._failed = True
        if work.failures < max_attempts:
            return False
        self.finish(work, ItemEnd.DEAD)
        return True

    def rejected(self, work: ItemWork) -> None:
        """Take the answer that an item can never be done; a single one is final."""
        self.finish(work, ItemEnd.DEAD)

    def end(self) -> None:
        """End the job: nothing is started any more, what is committed stays."""
        self._ended = True

    def proposal(self, owner: str) -> JobProgress:
        """Return the progress to commit."""
        failures = {key: work.failures for key, work in self._open.items() if work.failures}
        results = (*self._committed, *self._pending)
        self._failed = False
        return JobProgress(
            owner=owner,
            total=len(self._input.items),
            ended=self._ended,
            results=results,
            failures=failures,
            parts=self._parts(),
        )

    def adopt(self, progress: JobProgress) -> None:
        """Take what the store holds, after an acknowledgement or a conflict with an own write."""
        self._committed = list(progress.results)
        self._ended = self._ended or progress.ended
        committed = {each.item_id for each in self._committed}
        self._pending = [each for each in self._pending if each.item_id not in committed]
        for item_id in committed & set(self._open):
            del self._open[item_id]

    def _parts(self) -> dict[str, ItemPart]:
        parts: dict[str, ItemPart] = {}
        if self._ended:
            return parts
        for item_id, work in self._open.items():
            part = work.part()
            if part is not None:
                parts[item_id] = part
        return parts

    def not_committed(self) -> None:
        """Remember that a proposal has to be made again."""
        self._failed = True


def _joined(kept: ItemPart | None, texts: Sequence[str]) -> str:
    parts = list(texts) if kept is None else [kept.text, *texts]
    return "\n".join(parts)
