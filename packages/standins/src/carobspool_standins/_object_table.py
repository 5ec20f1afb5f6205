"""State of the object API: versioned objects under one lock, with a bounded event history."""

from __future__ import annotations

import threading
import time
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from carobspool_core import wall_millis
from carobspool_standins.errors import StandinError


class VersionConflict(StandinError):
    """The object's version differs from the one that a write expects.

    Args:
        current: Current version of the object, 0 if it does not exist.
    """

    def __init__(self, current: int) -> None:
        super().__init__(f"the current version is {current}")
        self.current = current


@dataclass(frozen=True, slots=True, kw_only=True)
class Object:
    """The current state of an object."""

    key: str
    version: int
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """A write. ``at`` is the wall-clock time and ``monotonic_ms`` the monotonic time, in ms."""

    key: str
    version: int
    value: str | None
    deleted: bool
    at: int
    monotonic_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvents:
    """The result of a watch: its events, and the revision from which to watch next."""

    revision: int
    events: Sequence[Event]


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


class ObjectTable:
    """Versioned objects; every operation holds one lock, so all are linearizable.

    Args:
        max_history: Number of events retained; a watch from a revision before them fails.
    """

    def __init__(self, max_history: int) -> None:
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._objects: dict[str, Object] = {}
        self._keys: list[str] = []
        self._events: list[Event] = []
        self._discarded = 0
        self._max_history = max_history

    def get(self, key: str) -> Object | None:
        """Return an object, or ``None`` if it does not exist."""
        with self._lock:
            return self._objects.get(key)

    def put(self, key: str, value: str, version: int) -> int:
        """Write an object if its current version is ``version`` (0: it does not exist).

        Raises:
            VersionConflict: If the version differs; nothing changes.
        """
        with self._lock:
            existing = self._objects.get(key)
            self._check_version(existing, version)
            revision = self._append(key, value)
            self._objects[key] = Object(key=key, version=revision, value=value)
            if existing is None:
                insort(self._keys, key)
            return revision

    def delete(self, key: str, version: int) -> int | None:
        """Remove an object if its version is ``version``; return ``None`` if it does not exist.

        Raises:
            VersionConflict: If the version differs; nothing changes.
        """
        with self._lock:
            existing = self._objects.get(key)
            if existing is None:
                return None
            self._check_version(existing, version)
            revision = self._append(key, None)
            del self._objects[key]
            del self._keys[bisect_left(self._keys, key)]
            return revision

    def page(self, prefix: str, after: str, limit: int) -> tuple[int, list[Object], bool]:
        """Return a page of objects in key order.

        Returns:
            The revision, the objects, and whether more objects follow.
        """
        found: list[Object] = []
        with self._lock:
            start = bisect_left(self._keys, prefix)
            if after >= prefix:
                start = max(start, bisect_right(self._keys, after))
            for index in range(start, len(self._keys)):
                key = self._keys[index]
                if not key.startswith(prefix):
                    break
                if len(found) == limit:
                    return self._revision(), found, True
                found.append(self._objects[key])
            return self._revision(), found, False

    def history(self, after: int) -> list[Event]:
        """Return the retained events with a version above ``after``."""
        with self._lock:
            return self._events[max(0, after - self._discarded) :]

    def watch(
        self,
        prefix: str,
        start: int,
        timeout_ms: float,
        *,
        lag_ms: Callable[[], float],
        interrupted: Callable[[], bool],
    ) -> WatchEvents | None:
        """Wait for events under ``prefix`` after revision ``start``.

        Args:
            prefix: Prefix of the keys.
            start: Last revision that the caller has seen.
            timeout_ms: Time after which an empty batch is returned.
            lag_ms: Returns the delay before an event becomes visible to watches.
            interrupted: Returns whether to stop waiting at once.

        Returns:
            The events, or ``None`` if events after ``start`` were discarded.
        """
        deadline = _monotonic_ms() + timeout_ms
        with self._lock:
            while True:
                if start < self._discarded:
                    return None
                visible, next_visible_at = self._visible_events(lag_ms())
                events = [
                    event
                    for event in self._events[start - self._discarded : visible]
                    if event.key.startswith(prefix)
                ]
                start = max(start, visible + self._discarded)
                now = _monotonic_ms()
                if events or now >= deadline or interrupted():
                    return WatchEvents(revision=start, events=events)
                self._changed.wait((min(deadline, next_visible_at) - now) / 1000.0)

    def wake_watches(self) -> None:
        """Make all waiting watches check their condition again, after a change of faults."""
        with self._lock:
            self._changed.notify_all()

    def _revision(self) -> int:
        return self._discarded + len(self._events)

    def _visible_events(self, lag_ms: float) -> tuple[int, float]:
        """Return the number of visible events and the time at which the next becomes visible."""
        count = len(self._events)
        if lag_ms <= 0 or not count:
            return count, float("inf")
        limit = _monotonic_ms() - lag_ms
        while count and self._events[count - 1].monotonic_ms > limit:
            count -= 1
        if count == len(self._events):
            return count, float("inf")
        return count, self._events[count].monotonic_ms + lag_ms

    @staticmethod
    def _check_version(existing: Object | None, version: int) -> None:
        current = existing.version if existing is not None else 0
        if current != version:
            raise VersionConflict(current)

    def _append(self, key: str, value: str | None) -> int:
        revision = self._revision() + 1
        event = Event(
            key=key,
            version=revision,
            value=value,
            deleted=value is None,
            at=wall_millis(),
            monotonic_ms=_monotonic_ms(),
        )
        self._events.append(event)
        # Discard a tenth at a time: discarding one event per write would move the whole list on
        # each write.
        if len(self._events) > self._max_history + self._max_history // 10:
            excess = len(self._events) - self._max_history
            del self._events[:excess]
            self._discarded += excess
        self._changed.notify_all()
        return revision
