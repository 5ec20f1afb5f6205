"""Follows the open jobs in the store and the owners that their records name."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from absl import logging
from msgspec import Struct
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, ObjectStore, StoredObject, StoreFault
from carobspool_node.direct._job_records import (
    INPUTS,
    PROGRESS,
    is_progress_open,
    stored_owner,
)

WATCH_TIMEOUT: Millis = 1.0
"""A watch returns the changes so far at once; nobody waits for the next one."""
LISTING_INTERVAL: Millis = 600_000.0
"""Time between two listings. A watch can deliver no changes and still look healthy, but a listing
returns the bodies of all items."""


class StoredJob(Struct, frozen=True, kw_only=True):
    """An open job, as its records describe it.

    Attributes:
        owner: Identity of its owner, ``None`` if the record has it in its pieces.
        version: Version of its progress, 0 if there is none yet.
        since: When this process first saw this version.
    """

    owner: str | None
    version: int
    since: Millis


class _Head(Struct, frozen=True, kw_only=True):
    """What the index keeps of a record."""

    owner: str | None
    version: int
    is_open: bool
    since: Millis


class _Records:
    """Heads of the records of one kind: a listing, then the changes since."""

    def __init__(
        self, clock: Clock, store: ObjectStore, prefix: str, is_open: Callable[[StoredObject], bool]
    ) -> None:
        self._clock = clock
        self._store = store
        self._prefix = prefix
        self._is_open = is_open
        self._revision: int | None = None
        self._listed_at: Millis = 0.0
        self.heads: dict[str, _Head] = {}

    def forget(self) -> None:
        """Drop everything; the next `refresh` lists the records."""
        self._revision = None
        self.heads = {}

    def refresh(self) -> bool:
        """Apply all changes; return whether the store was read."""
        is_due = self._clock.now() - self._listed_at >= LISTING_INTERVAL
        if self._revision is None or is_due:
            return self._list()
        batch = self._store.watch(self._prefix, revision=self._revision, timeout=WATCH_TIMEOUT)
        if not is_successful(batch):
            if batch.failure().fault is not StoreFault.COMPACTED:
                return False
            logging.info("event=watch_compacted prefix=%s", self._prefix)
            return self._list()
        if batch.unwrap().unreadable:
            return self._list()
        self._revision = batch.unwrap().revision
        for change in batch.unwrap().changes:
            name = change.object.key.removeprefix(self._prefix)
            if change.deleted:
                self.heads.pop(name, None)
            else:
                self._apply(self.heads, name, change.object)
        return True

    def _list(self) -> bool:
        heads: dict[str, _Head] = {}
        after = ""
        while True:
            page = self._store.list(self._prefix, after=after)
            if not is_successful(page):
                return False
            for each in page.unwrap().objects:
                self._apply(heads, each.key.removeprefix(self._prefix), each)
                after = each.key
            if not page.unwrap().more or not page.unwrap().objects:
                break
        self.heads = heads
        self._revision = page.unwrap().revision
        self._listed_at = self._clock.now()
        return True

    def _apply(self, heads: dict[str, _Head], name: str, stored: StoredObject) -> None:
        known = self.heads.get(name)
        is_same = known is not None and known.version == stored.version
        heads[name] = _Head(
            owner=stored_owner(stored),
            version=stored.version,
            is_open=self._is_open(stored),
            since=known.since if known is not None and is_same else self._clock.now(),
        )


class JobIndex:
    """The open jobs in the store, for the one entry that looks after all of them.

    Args:
        clock: The process's clock.
        store: The object store.
    """

    def __init__(self, clock: Clock, store: ObjectStore) -> None:
        self._inputs = _Records(clock, store, INPUTS, lambda stored: True)
        self._progress = _Records(clock, store, PROGRESS, is_progress_open)

    def forget(self) -> None:
        """Drop all jobs, because another entry looks after them."""
        self._inputs.forget()
        self._progress.forget()

    def refresh(self) -> bool:
        """Read what has changed in the store; return whether the store was read."""
        return self._inputs.refresh() and self._progress.refresh()

    def open_jobs(self) -> Mapping[str, StoredJob]:
        """Return the open jobs by id."""
        found: dict[str, StoredJob] = {}
        for job_id, job in self._inputs.heads.items():
            progress = self._progress.heads.get(job_id)
            if progress is None:
                found[job_id] = StoredJob(owner=job.owner, version=0, since=job.since)
            elif progress.is_open:
                found[job_id] = StoredJob(
                    owner=progress.owner, version=progress.version, since=progress.since
                )
        return found
