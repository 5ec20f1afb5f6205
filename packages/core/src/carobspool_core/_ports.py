"""Ports: what the inside of the system needs from the outside, as protocols.

Adapters live in ``carobspool_node``; tests use small in-memory ones.
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
        key: Its key, path-like: ``jobs/batch_1f``.
        version: Revision of its last change; grows over the whole store.
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
    """The events of one long poll and the revision from which to go on.

    Attributes:
        revision: From which to go on.
        changes: The events, in order.
        unreadable: Events that could not be read and whose objects are not known.
    """

    revision: int
    changes: Sequence[ObjectChange]
    unreadable: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ObjectPage:
    """One page of a listing, in key order.

    Attributes:
        revision: Of the store, from which a watch can go on.
        objects: The objects; one whose value cannot be read has ``None``.
        more: Whether another page follows.
        unreadable: Objects that are left out, since not even their names can be read.
    """

    revision: int
    objects: Sequence[StoredObject]
    more: bool
    unreadable: int = 0


class StoreFault(StrEnum):
    """Why an operation on the object store gave no result."""

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
        fault: ``CONFLICT``: the condition did not hold, nothing was written. ``UNAVAILABLE``:
            nothing was written. ``UNKNOWN``: the write may have taken effect and reading back
            could not settle it. ``TOO_LARGE``: over the store's value limit. ``COMPACTED``: the
            watch asked for a revision no longer held; list again. ``UNREADABLE``: there is an
            object, and it is not what its kind asks for.
        key: The key concerned.
        detail: For logs.
        current: With ``CONFLICT``: the object as it stands, when known.

    Since 0.1.
    """

    fault: StoreFault
    key: str
    detail: str = ""
    current: StoredObject | None = None


class ObjectStore(Protocol):
    """The platform's object API.

    Each write is conditional. An adapter settles answers lost after the effect itself: it stores
    a unique write id beside the value and reads back, so ``UNKNOWN`` remains only when reading
    back fails too. All methods are safe to call from several threads and never raise for faults
    of the store.
    """

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        """Read one object; fails with ``NOT_FOUND`` or ``UNAVAILABLE``."""

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        """Read a page of the objects whose keys start with ``prefix``, keys above ``after``."""

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        """Write an object that must not exist yet."""

    def update(self, key: str, value: Json, *, version: int) -> Result[StoredObject, StoreFailure]:
        """Replace an object whose version must be ``version``."""

    def delete(self, key: str, *, version: int) -> Result[None, StoreFailure]:
        """Remove an object whose version must be ``version``."""

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        """Wait for changes under ``prefix`` after ``revision``; an empty batch on timeout."""
