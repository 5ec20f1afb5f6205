"""Following one kind of objects in the store: a listing, then watches from its revision."""

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
"""The longest that the store allows: each watch is a priced call. A connection that falls silent
is found by keep-alive probes, not by this."""
RETRY_PAUSE: Millis = 200.0
RETRY_JITTER: Millis = 250.0
"""Pause between tries while the store cannot be read, drawn anew each time, so that the processes
do not all return in the same moment. A configuration has two seconds to come into force."""

WATCH_RETRY_PAUSE: Millis = 800.0
"""Pause after a watch that failed although its listing succeeded: while the store turns this host
away, listings come through another entry, and each costs a call."""

OFF_DUTY_PAUSE: Millis = 200.0
"""Time between two looks at whether this process has to follow the store itself again."""
OFF_DUTY_RETRY_PAUSE: Millis = 2_000.0
"""Pause between tries of a process that need not follow the store and was turned away by it: it
only finds out when its writes are taken again."""


class Follower:
    """Keeps a process up to date with the objects under a prefix.

    A watch ends with the first change, and the next one is a priced call again. While many objects
    change one after the other, as when all hosts start, each process would make a call for each of
    them; a pause before the next watch gathers what comes meanwhile.

    Args:
        store: The object store.
        prefix: Which objects.
        on_listing: Called with all objects after a listing.
        on_change: Called with each change after that.
        on_regained: Called when the store answers again after it could not be read.
        reduce: Returns what is kept of an object for ``on_listing``; called as its page arrives,
            so that the values of a long listing are never in memory together.
        gather: Pause after a change before the next watch, in milliseconds. It adds to the time in
            which a change is known here.
        on_duty: Returns whether this process follows the store itself. While it does not, others
            tell it what has changed, see `adopt`.
        settle: Pause between the first listing and the first watch, in milliseconds, in which a
            process that has just started hears of the others and of their duties.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefix: str,
        *,
        on_listing: Callable[[Sequence[StoredObject]], None],
        on_change: Callable[[ObjectChange], None],
        on_regained: Callable[[], None] = lambda: None,
        reduce: Callable[[StoredObject], StoredObject] = lambda stored: stored,
        gather: Millis = 0.0,
        on_duty: Callable[[], bool] = lambda: True,
        settle: Millis = 0.0,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_listing = on_listing
        self._on_change = on_change
        self._on_regained = on_regained
        self._reduce = reduce
        self._gather = gather
        self._on_duty = on_duty
        self._settle = settle
        self._lock = threading.Lock()
        self._failing = False
        self._refreshing = threading.Lock()
        self._applied = 0

    @property
    def revision(self) -> int:
        """Revision of the store that is known here, 0 when none is."""
        return self._applied

    def start(self) -> None:
        """Start to follow."""
        threading.Thread(target=self._loop, name=f"follow-{self._prefix}", daemon=True).start()

    def refresh(self) -> None:
        """List again beside the watch, which may have missed something; one at a time."""
        if not self._refreshing.acquire(blocking=False):
            return
        threading.Thread(target=self._refresh, name="refresh", daemon=True).start()

    def adopt(self, revision: int, apply: Callable[[], None]) -> bool:
        """Take what another process has read, unless something newer is known here.

        Args:
            revision: Of the store, as that process knows it.
            apply: Takes what it has read.
        """
        with self._lock:
            if revision <= self._applied:
                return False
            self._applied = revision
            apply()
            return True

    def _refresh(self) -> None:
        try:
            self._list()
        finally:
            self._refreshing.release()

    def _loop(self) -> None:
        revision: int | None = None
        settle = self._settle
        while True:
            if self._applied and settle:
                time.sleep(settle / 1000.0)
                settle = 0.0
            if self._applied and not self._failing and not self._on_duty():
                revision = self._applied
                time.sleep(OFF_DUTY_PAUSE / 1000.0)
                continue
            pause = RETRY_PAUSE if self._on_duty() else OFF_DUTY_RETRY_PAUSE
            try:
                if revision is None:
                    revision = self._list()
                else:
                    revision = self._watch(revision)
                    if revision is None and self._failing:
                        pause = WATCH_RETRY_PAUSE
            except Exception:  # noqa: BLE001
                logging.exception("event=follow_failed prefix=%s", self._prefix)
                revision = None
            if revision is None:
                pause += random.random() * RETRY_JITTER
                time.sleep(pause / 1000.0)
            elif self._gather:
                time.sleep(self._gather / 1000.0)

    def _list(self) -> int | None:
        objects: list[StoredObject] = []
        after = ""
        while True:
            page = self._store.list(self._prefix, after=after)
            if not is_successful(page):
                self._failed(page.failure())
                return None
            objects.extend(self._reduce(each) for each in page.unwrap().objects)
            if not page.unwrap().more:
                break
            after = page.unwrap().objects[-1].key
        if self._failing:
            self._failing = False
            logging.info("event=store_regained prefix=%s", self._prefix)
            self._on_regained()
        revision = page.unwrap().revision
        with self._lock:
            # A listing and a watch answer can cross; the older one must not undo the newer.
            if revision >= self._applied:
                self._applied = revision
                self._on_listing(objects)
        return revision

    def _watch(self, revision: int) -> int | None:
        batch = self._store.watch(self._prefix, revision=revision, timeout=WATCH_TIMEOUT)
        if not is_successful(batch):
            self._failed(batch.failure())
            return None
        with self._lock:
            if batch.unwrap().revision < self._applied:
                return batch.unwrap().revision
            self._applied = batch.unwrap().revision
            for change in batch.unwrap().changes:
                self._on_change(change)
        if batch.unwrap().unreadable:
            # One of the objects known here may have turned unreadable; a listing shows which.
            return None
        return batch.unwrap().revision

    def _failed(self, failure: StoreFailure) -> None:
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
