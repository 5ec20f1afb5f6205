"""Follow the objects under a prefix of the store: a listing, then watches from its revision."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Sequence

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    Millis,
    ObjectChange,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
)

WATCH_TIMEOUT: Millis = 30_000.0
"""The longest timeout that the store allows, since each watch is a priced call. Keep-alive probes
detect a dead connection, not this timeout."""
RETRY_PAUSE: Millis = 200.0
RETRY_JITTER: Millis = 250.0
"""Upper bound of the random time added to each pause between attempts to read the store, so that
processes do not retry at the same moment. A configuration must take effect within two seconds."""

WATCH_RETRY_PAUSE: Millis = 800.0
"""Pause after a watch that failed although its listing succeeded. While the store refuses this
host, listings are relayed by another entry, and each is a priced call."""

OFF_DUTY_PAUSE: Millis = 200.0
"""Time between two checks whether this process has to follow the store itself."""
OFF_DUTY_RETRY_PAUSE: Millis = 2_000.0
"""Pause between attempts of a process that need not follow the store and was refused by it. Such a
process reads only to find out when the store accepts its writes again."""


class Follower:
    """Keeps a process up to date with the objects under a prefix.

    A watch ends with the first change, and the next watch is another priced call. While many
    objects change in a row, as when all hosts start, each process would make a call for each
    change. A pause before the next watch lets it return several changes at once.

    Args:
        store: The object store.
        prefix: Prefix of the objects' keys.
        on_listing: Called with all objects after a listing.
        on_change: Called with each later change.
        on_recovered: Called when the store can be read again after a failure.
        reduce: Returns the part of an object to keep for ``on_listing``. It is called as each page
            arrives, so that the values of a long listing are never all in memory.
        watch_pause: Pause between a change and the next watch, in milliseconds. The pause delays
            changes by as much.
        on_duty: Returns whether this process has to follow the store itself. While it does not, it
            receives changes from other processes, see `adopt`.
        settle_time: Pause between the first listing and the first watch, in milliseconds, in which
            a new process receives hints that show the other processes and their duties.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        *,
        on_listing: Callable[[Sequence[StoredObject]], None],
        on_change: Callable[[ObjectChange], None],
        on_recovered: Callable[[], None] = lambda: None,
        reduce: Callable[[StoredObject], StoredObject] = lambda stored: stored,
        watch_pause: Millis = 0.0,
        on_duty: Callable[[], bool] = lambda: True,
        settle_time: Millis = 0.0,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_listing = on_listing
        self._on_change = on_change
        self._on_recovered = on_recovered
        self._reduce = reduce
        self._watch_pause = watch_pause
        self._on_duty = on_duty
        self._settle_time = settle_time
        self._lock = threading.Lock()
        self._failing = False
        self._refreshing = threading.Lock()
        self._applied_revision = 0

    @property
    def revision(self) -> int:
        """Store revision up to which changes have been applied, 0 before the first listing."""
        return self._applied_revision

    def start(self) -> None:
        """Start the thread that follows the objects."""
        threading.Thread(
            target=self._follow_loop, name=f"follow-{self._prefix}", daemon=True
        ).start()

    def refresh(self) -> None:
        """Start another listing, unless one is running, in case the watch has missed a change."""
        if not self._refreshing.acquire(blocking=False):
            return
        threading.Thread(target=self._refresh, name="refresh", daemon=True).start()

    def adopt(self, revision: int, apply: Callable[[], None]) -> bool:
        """Apply objects that another process has read, if their revision is newer.

        Args:
            revision: Store revision that the other process has read.
            apply: Applies the objects that the other process has read.

        Returns:
            Whether ``apply`` was called.
        """
        with self._lock:
            if revision <= self._applied_revision:
                return False
            self._applied_revision = revision
            apply()
            return True

    def _refresh(self) -> None:
        try:
            self._apply_listing()
        finally:
            self._refreshing.release()

    def _follow_loop(self) -> None:
        revision: int | None = None
        settle_time = self._settle_time
        while True:
            if self._applied_revision and settle_time:
                time.sleep(settle_time / 1000.0)
                settle_time = 0.0
            if self._applied_revision and not self._failing and not self._on_duty():
                revision = self._applied_revision
                time.sleep(OFF_DUTY_PAUSE / 1000.0)
                continue
            pause = RETRY_PAUSE if self._on_duty() else OFF_DUTY_RETRY_PAUSE
            try:
                if revision is None:
                    revision = self._apply_listing()
                else:
                    revision = self._apply_watch(revision)
                    if revision is None and self._failing:
                        pause = WATCH_RETRY_PAUSE
            except Exception:  # noqa: BLE001
                logging.exception("event=follow_failed prefix=%s", self._prefix)
                revision = None
            if revision is None:
                pause += random.random() * RETRY_JITTER
                time.sleep(pause / 1000.0)
            elif self._watch_pause:
                time.sleep(self._watch_pause / 1000.0)

    def _apply_listing(self) -> int | None:
        """List the objects and apply the listing; return its revision, ``None`` on failure."""
        objects: list[StoredObject] = []
        after = ""
        while True:
            page = self._store.list(self._prefix, after=after)
            if not is_successful(page):
                self._handle_failure(page.failure())
                return None
            objects.extend(self._reduce(each) for each in page.unwrap().objects)
            if not page.unwrap().more:
                break
            after = page.unwrap().objects[-1].key
        if self._failing:
            self._failing = False
            logging.info("event=store_regained prefix=%s", self._prefix)
            self._on_recovered()
        revision = page.unwrap().revision
        with self._lock:
            # A listing and a watch can return out of order; the older result must not be applied
            # last.
            if revision >= self._applied_revision:
                self._applied_revision = revision
                self._on_listing(objects)
        return revision

    def _apply_watch(self, revision: int) -> int | None:
        """Wait for changes after a revision and apply them.

        Returns:
            The revision for the next watch, ``None`` if a listing is needed first.
        """
        batch = self._store.watch(self._prefix, revision=revision, timeout=WATCH_TIMEOUT)
        if not is_successful(batch):
            self._handle_failure(batch.failure())
            return None
        with self._lock:
            if batch.unwrap().revision < self._applied_revision:
                return batch.unwrap().revision
            self._applied_revision = batch.unwrap().revision
            for change in batch.unwrap().changes:
                self._on_change(change)
        if batch.unwrap().unreadable:
            # A known object may have become unreadable; a listing shows which one.
            return None
        return batch.unwrap().revision

    def _handle_failure(self, failure: StoreFailure) -> None:
        if failure.fault is StoreFault.COMPACTED:
            logging.info("event=watch_compacted prefix=%s", self._prefix)
            return
        if not self._failing:
            logging.warning(
                "event=store_lost prefix=%s fault=%s detail=%r",
                self._prefix,
                failure.fault,
                failure.detail,
            )
        self._failing = True
