"""Keeps quarantines in the store, for entries that start later or were cut off from the others."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    QUARANTINE_RETENTION,
    Clock,
    Millis,
    ObjectStore,
    StoredObject,
    StoreFault,
    SuspectUpdate,
    wall_millis,
)
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import Bounds, Record, read_record
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._peer_messages import Count, Name
from carobspool_node.direct._suspect_messages import MAX_CRASHES_SENT, SuspectState
from carobspool_node.direct._telemetry import Telemetry

PREFIX = "quarantines/"
RETRY_DELAY: Millis = 1_000.0
RELOAD_INTERVAL: Millis = 1_000.0
"""Minimum time between two readings that crashes have caused."""


class _StoredQuarantine(Record):
    crashes: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)]
    at: Count


class QuarantineStore:
    """Reads and writes quarantines on a thread of its own.

    Args:
        clock: The process's clock.
        store: The object store.
        telemetry: Counts unusable objects.
        merge: Receives the quarantines that were read.
    """

    def __init__(
        self,
        clock: Clock,
        store: ObjectStore,
        telemetry: Telemetry,
        *,
        merge: Callable[[Iterable[SuspectState]], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._merge = merge
        self._bad_records = BadRecords(clock, telemetry, "quarantine", "key")
        self._stopped = threading.Event()
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="quarantines")
        self._reload_at: Millis = 0.0

    def start(self) -> None:
        """Start to read the quarantines, until the store answers."""
        self._submit(self._load)

    def stop(self) -> None:
        """Stop; quarantines that the store has not taken are left to the other entries."""
        self._stopped.set()
        self._worker.shutdown(wait=False, cancel_futures=True)

    def save(self, update: SuspectUpdate) -> None:
        """Write a quarantine, again and again until the store has it."""
        self._submit(lambda: self._create(update))

    def reload(self) -> None:
        """Read the quarantines once, at most once in `RELOAD_INTERVAL`."""
        now = self._clock.now()
        if now < self._reload_at:
            return
        self._reload_at = now + RELOAD_INTERVAL
        self._submit(self._load_once)

    def _submit(self, task: Callable[[], object]) -> None:
        if not self._stopped.is_set():
            self._worker.submit(self._run, task)

    def _run(self, task: Callable[[], object]) -> None:
        try:
            task()
        except Exception:  # noqa: BLE001
            logging.exception("event=quarantine_failed")

    def _load(self) -> None:
        while not self._stopped.is_set() and not self._load_once():
            self._stopped.wait(RETRY_DELAY / 1000.0)

    def _load_once(self) -> bool:
        after = ""
        while True:
            page = self._store.list(PREFIX, after=after)
            if not is_successful(page):
                return False
            found = page.unwrap()
            self._merge([state for each in found.objects if (state := self._read(each))])
            if not found.more or not found.objects:
                return True
            after = found.objects[-1].key

    def _read(self, stored: StoredObject) -> SuspectState | None:
        """Return a stored quarantine, ``None`` if it is unusable; remove it if it has expired."""
        try:
            record = read_record(_StoredQuarantine, stored.value)
        except UnusableRecordError as error:
            self._bad_records.report_if_changed(stored.key, error)
            return None
        age = max(0.0, float(wall_millis() - record.at))
        if age >= QUARANTINE_RETENTION:
            self._store.delete(stored.key, version=stored.version)
            return None
        return SuspectState(
            fingerprint=stored.key.removeprefix(PREFIX),
            values={"crashes": " ".join(record.crashes)},
            age=age,
        )

    def _create(self, update: SuspectUpdate) -> None:
        crashes = update.values["crashes"].split()[:MAX_CRASHES_SENT]
        value = {"crashes": crashes, "at": wall_millis()}
        while not self._stopped.is_set():
            written = self._store.create(PREFIX + update.fingerprint, value)
            fault = None if is_successful(written) else written.failure().fault
            if fault not in (StoreFault.UNAVAILABLE, StoreFault.UNKNOWN):
                logging.info(
                    "event=quarantine_saved fingerprint=%s fault=%s", update.fingerprint, fault
                )
                return
            self._stopped.wait(RETRY_DELAY / 1000.0)
