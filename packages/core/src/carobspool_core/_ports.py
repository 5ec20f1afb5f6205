"""Ports: protocols for the external services that the core depends on.

The adapters are in ``carobspool_node``; tests use small in-memory adapters.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from returns.result import Result

from carobspool_core._clock import Millis

Json = Any
"""A JSON value: ``None``, bool, int, float, str, list or a dict with string keys."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredObject:
    """One object of the platform's object API.

    Attributes:
        key: Path-like key, for example ``jobs/batch_1f``.
        version: Revision of the object's last change; revisions increase over the whole store.
        value: The JSON value.

    Since 0.1.
    """

    key: str
    version: int
    value: Json


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectChange:
    """One event of a watch; ``object.value`` is ``None`` when the object was deleted."""

    object: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchBatch:
    """The events of one long poll and the revision from which the watch continues.

    Attributes:
        revision: Revision from which the next long poll continues.
        changes: The events, in order.
        unreadable: Number of events that could not be read and whose objects are unknown.
    """

    revision: int
    changes: Sequence[ObjectChange]
    unreadable: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectPage:
    """One page of a listing, in key order.

    Attributes:
        revision: Revision of the store from which a watch can continue.
        objects: The objects; the value of an object is ``None`` if it cannot be read.
        more: Whether another page follows.
        unreadable: Number of objects left out because not even their names can be read.
    """

    revision: int
    objects: Sequence[StoredObject]
    more: bool
    unreadable: int = 0


class StoreFault(StrEnum):
    """Why an operation on the object store failed."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    TOO_LARGE = "too_large"
    COMPACTED = "compacted"
    UNREADABLE = "unreadable"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreFailure:
    """A failed operation on the object store.

    Attributes:
        fault: ``CONFLICT``: the condition did not hold, and nothing was written. ``UNAVAILABLE``:
            nothing was written. ``UNKNOWN``: the write may have taken effect, and reading the
            object back could not determine whether it did. ``TOO_LARGE``: the value exceeds the
            store's limit. ``COMPACTED``: the store no longer holds the revision from which the
            watch should start; list again. ``UNREADABLE``: the object exists, but its content is
            not valid for its kind.
        key: Key of the object, or prefix of the listing or watch.
        detail: Description for logs.
        current: With ``CONFLICT``: the current object, if known.

    Since 0.1.
    """

    fault: StoreFault
    key: str
    detail: str = ""
    current: StoredObject | None = None


class ObjectStore(Protocol):
    """The platform's object API.

    Each write is conditional. An adapter resolves lost responses to writes itself: it stores a
    unique write id with the value and reads the object back, so it returns ``UNKNOWN`` only when
    reading back fails too. All methods are thread-safe and never raise for faults of the store.
    """

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read one object; fails with ``NOT_FOUND`` or ``UNAVAILABLE``."""

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        """Read a page of the objects whose keys start with ``prefix`` and sort after ``after``."""

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Create an object; fails with ``CONFLICT`` if it exists."""

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Replace an object; fails with ``CONFLICT`` if its version is not ``version``."""

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Delete an object; fails with ``CONFLICT`` if its version is not ``version``."""

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        """Wait for changes under ``prefix`` after ``revision``; returns no changes on timeout."""
