"""In-memory object store with injectable faults, for tests of code that uses ``ObjectStore``.

Several views of one store represent several processes. Each view has its own faults, so that one
process can be cut off or paused while the others continue.
"""

from __future__ import annotations

import json
import threading
from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeVar

from returns.result import Failure, Result, Success

from carobspool_core import (
    Json,
    Millis,
    ObjectChange,
    ObjectPage,
    StoredObject,
    StoreFailure,
    StoreFault,
    WatchBatch,
)

MAX_VALUE_BYTES = 1_048_576

_T = TypeVar("_T")


class FaultKind(StrEnum):
    """Outcome of a write that a `FaultRule` matches.

    ``UNKNOWN_AFTER`` fails after the write took effect, ``UNKNOWN_BEFORE`` before it; the caller
    can't tell them apart. ``UNKNOWN_LATE`` fails before the write, which takes effect at the next
    call of `MemoryObjects.do_late_writes` if its condition still holds. ``REFUSED`` rejects the
    write.
    """

    UNKNOWN_AFTER = "unknown_after"
    UNKNOWN_BEFORE = "unknown_before"
    UNKNOWN_LATE = "unknown_late"
    REFUSED = "refused"


_NOT_DONE = (FaultKind.UNKNOWN_BEFORE, FaultKind.UNKNOWN_LATE)


@dataclass(slots=True, kw_only=True)
class FaultRule:
    """A fault for the next ``count`` writes of the given operations under a prefix."""

    kind: FaultKind
    prefix: str = ""
    operations: tuple[str, ...] = ("create", "update", "delete")
    count: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteRecord:
    """A write that took effect; ``writer`` is the name of the view that made it."""

    key: str
    version: int
    value: Json
    deleted: bool
    writer: str


@dataclass(slots=True)
class MemoryObjects:
    """The state shared by all views.

    Attributes:
        revision: Revision of the latest write.
        floor: Oldest revision from which a watch can start.
        json_by_key: Version and JSON text of each object, by key.
        history: All writes that took effect, in order.
        changed: Lock of the state; notified after each write.
        late_writes: Writes that have failed and are still to take effect.
    """

    revision: int = 0
    floor: int = 0
    json_by_key: dict[str, tuple[int, str]] = field(default_factory=dict)
    history: list[WriteRecord] = field(default_factory=list)
    changed: threading.Condition = field(default_factory=threading.Condition)
    late_writes: list[Callable[[], object]] = field(default_factory=list)

    def do_late_writes(self) -> None:
        """Let the late writes take effect whose conditions hold."""
        late, self.late_writes = self.late_writes, []
        for write in late:
            write()

    def compact(self) -> None:
        """Compact all events so far: a watch from an older revision fails."""
        with self.changed:
            self.floor = self.revision
            self.changed.notify_all()

    def value(self, key: str) -> Json:
        """Return the value of a key, or ``None`` if it does not exist."""
        with self.changed:
            found = self.json_by_key.get(key)
        return None if found is None else json.loads(found[1])


class MemoryStore:
    """An `ObjectStore` that represents one process's view of a `MemoryObjects`.

    Args:
        objects: The shared state.
        name: Name of the view, recorded with its writes.

    Attributes:
        outage: Whether every call fails as unavailable.
        calls: Number of calls by operation.
    """

    def __init__(self, objects: MemoryObjects, name: str) -> None:
        self._objects = objects
        self._name = name
        self._rules: list[FaultRule] = []
        self._unpaused = threading.Event()
        self._unpaused.set()
        self.outage = False
        self.calls: dict[str, int] = {}

    def inject(self, rule: FaultRule) -> None:
        """Apply a fault rule to future writes of this view."""
        with self._objects.changed:
            self._rules.append(rule)

    def pause(self) -> None:
        """Block every call of this view before it has an effect, as in a paused process."""
        self._unpaused.clear()

    def resume(self) -> None:
        """Unblock the calls that `pause` blocked."""
        self._unpaused.set()

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read one object."""
        with self._begin_call("get"):
            if self.outage:
                return _failure(StoreFault.UNAVAILABLE, key)
            found = self._objects.json_by_key.get(key)
            if found is None:
                return _failure(StoreFault.NOT_FOUND, key)
            return Success(_stored_object(key, found))

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        """Read a page of objects in key order."""
        with self._begin_call("list"):
            if self.outage:
                return _failure(StoreFault.UNAVAILABLE, prefix)
            keys = sorted(key for key in self._objects.json_by_key if key.startswith(prefix))
            keys = keys[bisect_right(keys, after) :]
            objects = [_stored_object(key, self._objects.json_by_key[key]) for key in keys[:limit]]
            revision = self._objects.revision
            return Success(ObjectPage(revision=revision, objects=objects, more=len(keys) > limit))

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Write an object if it does not exist yet."""
        return self._write("create", key, value, 0)

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Replace an object if its version is ``version``."""
        return self._write("update", key, value, version)

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Remove an object if its version is ``version``."""
        with self._begin_call("delete"):
            fault = self._next_fault("delete", key)
            if fault is FaultKind.REFUSED:
                return _failure(StoreFault.UNAVAILABLE, key)
            if fault is FaultKind.UNKNOWN_LATE:
                self._objects.late_writes.append(lambda: self.delete(key, version=version))
            if fault in _NOT_DONE:
                return _failure(StoreFault.UNKNOWN, key)
            found = self._objects.json_by_key.get(key)
            if found is None:
                return _failure(StoreFault.NOT_FOUND, key)
            if found[0] != version:
                return Failure(self._conflict_failure(key))
            del self._objects.json_by_key[key]
            self._append_history(key, None, deleted=True)
            if fault is FaultKind.UNKNOWN_AFTER:
                return _failure(StoreFault.UNKNOWN, key)
            return Success(None)

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        """Wait for changes under ``prefix`` after ``revision``."""
        objects = self._objects
        with self._begin_call("watch"):
            if self.outage:
                return _failure(StoreFault.UNAVAILABLE, prefix)
            if revision < objects.floor:
                return _failure(StoreFault.COMPACTED, prefix)
            objects.changed.wait_for(
                lambda: bool(self._changes(prefix, revision)), timeout=timeout / 1000.0
            )
            changes = self._changes(prefix, revision)
            batch = WatchBatch(revision=objects.revision, changes=changes)
        self._unpaused.wait()
        return Success(batch)

    def _changes(self, prefix: str, revision: int) -> Sequence[ObjectChange]:
        history = self._objects.history
        start = bisect_right(history, revision, key=lambda record: record.version)
        changes = []
        for record in history[start:]:
            if not record.key.startswith(prefix):
                continue
            stored = StoredObject(key=record.key, version=record.version, value=record.value)
            changes.append(ObjectChange(object=stored, deleted=record.deleted))
        return changes

    def _begin_call(self, operation: str) -> threading.Condition:
        self._unpaused.wait()
        self.calls[operation] = self.calls.get(operation, 0) + 1
        return self._objects.changed

    def _write(
        self, operation: str, key: str, value: Json, version: int
    ) -> Result[StoredObject, StoreFailure]:
        text = json.dumps(value)
        with self._begin_call(operation):
            fault = self._next_fault(operation, key)
            if fault is FaultKind.REFUSED:
                return _failure(StoreFault.UNAVAILABLE, key)
            if fault is FaultKind.UNKNOWN_LATE:
                self._objects.late_writes.append(
                    lambda: self._write(operation, key, value, version)
                )
            if fault in _NOT_DONE:
                return _failure(StoreFault.UNKNOWN, key)
            if len(text) > MAX_VALUE_BYTES:
                return _failure(StoreFault.TOO_LARGE, key)
            found = self._objects.json_by_key.get(key)
            if (found[0] if found else 0) != version:
                return Failure(self._conflict_failure(key))
            self._objects.json_by_key[key] = (self._objects.revision + 1, text)
            self._append_history(key, json.loads(text), deleted=False)
            if fault is FaultKind.UNKNOWN_AFTER:
                return _failure(StoreFault.UNKNOWN, key)
            return Success(_stored_object(key, self._objects.json_by_key[key]))

    def _append_history(self, key: str, value: Json, *, deleted: bool) -> None:
        objects = self._objects
        objects.revision += 1
        record = WriteRecord(
            key=key, version=objects.revision, value=value, deleted=deleted, writer=self._name
        )
        objects.history.append(record)
        objects.changed.notify_all()

    def _next_fault(self, operation: str, key: str) -> FaultKind | None:
        if self.outage:
            return FaultKind.REFUSED
        for rule in self._rules:
            if rule.count < 1 or operation not in rule.operations:
                continue
            if not key.startswith(rule.prefix):
                continue
            rule.count -= 1
            return rule.kind
        return None

    def _conflict_failure(self, key: str) -> StoreFailure:
        found = self._objects.json_by_key.get(key)
        current = None if found is None else _stored_object(key, found)
        return StoreFailure(fault=StoreFault.CONFLICT, key=key, current=current)


def _stored_object(key: str, found: tuple[int, str]) -> StoredObject:
    return StoredObject(key=key, version=found[0], value=json.loads(found[1]))


def _failure(fault: StoreFault, key: str) -> Result[_T, StoreFailure]:
    return Failure(StoreFailure(fault=fault, key=key))
