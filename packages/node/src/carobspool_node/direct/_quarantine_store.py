"""Keeps quarantines in the store, for entries that start later or were cut off from the others."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any

from absl import logging
from returns.pipeline import is_successful
from returns.result import Result

from carobspool_core import (
    QUARANTINE_RETENTION,
    Clock,
    Json,
    Millis,
    ObjectStore,
    StoredObject,
    StoreFailure,
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
MAX_WRITES = 600
"""Attempts to write one quarantine: the store may be away for ten minutes."""
_ID_SETS = ("crashes", "cleared", "confirmed")
RELOAD_INTERVAL: Millis = 1_000.0
"""Minimum time between two readings that crashes have caused."""


class _StoredQuarantine(Record):
    crashes: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)]
    cleared: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)] = []
    confirmed: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)] = []
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
        """Write the state of a quarantine, again and again until the store has it."""
        self._submit(lambda: self._write_until_stored(update))

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
            values={
                "crashes": " ".join(record.crashes),
                "cleared": " ".join(record.cleared),
                "confirmed": " ".join(record.confirmed),
            },
            age=age,
        )

    def _write_until_stored(self, update: SuspectUpdate) -> None:
        current: StoredObject | None = None
        for _ in range(MAX_WRITES):
            written = self._write(update, current)
            fault = None if is_successful(written) else written.failure().fault
            if fault is StoreFault.CONFLICT:
                current = written.failure().current
                if current is None or self._has_all(current, update):
                    fault = None
            if fault is None:
                logging.info(
                    "event=quarantine_saved fingerprint=%s quarantined=%s",
                    update.fingerprint,
                    update.quarantined,
                )
                return
            if fault is not StoreFault.CONFLICT and self._stopped.wait(RETRY_DELAY / 1000.0):
                return
        logging.warning("event=quarantine_not_saved fingerprint=%s", update.fingerprint)

    def _write(
        self, update: SuspectUpdate, current: StoredObject | None
    ) -> Result[StoredObject, StoreFailure]:
        key = PREFIX + update.fingerprint
        ids = {name: _ids(update.values, name) for name in _ID_SETS}
        if current is None:
            return self._store.create(key, _value(ids))
        state = self._read(current)
        if state is not None:
            for name in _ID_SETS:
                ids[name] |= _ids(state.values, name)
        return self._store.update(key, _value(ids), version=current.version)

    def _has_all(self, current: StoredObject, update: SuspectUpdate) -> bool:
        state = self._read(current)
        return state is not None and all(
            _ids(update.values, name) <= _ids(state.values, name) for name in _ID_SETS
        )


def _ids(values: Mapping[str, str], name: str) -> set[str]:
    return set(values.get(name, "").split())


def _value(ids: Mapping[str, set[str]]) -> Json:
    value: dict[str, Any] = {name: sorted(ids[name])[:MAX_CRASHES_SENT] for name in _ID_SETS}
    return value | {"at": wall_millis()}
