"""The state of the object API: versioned objects under one lock, with a bounded history."""

from __future__ import annotations

import threading
import time
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from carobspool_core import wall_millis
from carobspool_standins.errors import StandinError


class VersionConflict(StandinError):
    """The condition of a write did not hold.

    Args:
        current: Version of the present object, 0 when there is none.
    """

    def __init__(self, current: int) -> None:
        super().__init__(f"the present version is {current}")
        self.current = current


@dataclass(frozen=True, slots=True, kw_only=True)
class Object:
    """One object as it stands."""

    key: str
    version: int
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One write. ``at`` is wall-clock time, ``seen_at`` monotonic time, both in milliseconds."""

    key: str
    version: int
    value: str | None
    deleted: bool
    at: int
    seen_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvents:
    """What a watch found, and the revision from which to go on."""

    revision: int
    events: Sequence[Event]


def _now() -> float:
    return time.monotonic() * 1000.0


class ObjectTable:
    """Versioned objects; each operation takes one lock, so all are linearizable.

    Args:
        max_history: Events held; a watch from before them finds nothing.
    """

    def __init__(self, max_history: int) -> None:
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._objects: dict[str, Object] = {}
        self._keys: list[str] = []
        self._events: list[Event] = []
        self._dropped = 0
        self._max_history = max_history

    def get(self, key: str) -> Object | None:
        """Return an object, or ``None``."""
        with self._lock:
            return self._objects.get(key)

    def put(self, key: str, value: str, version: int) -> int:
        """Write an object whose present version must be ``version`` (0: none).

        Raises:
            VersionConflict: If it is another one; nothing changes.
        """
        with self._lock:
            present = self._objects.get(key)
            self._check(present, version)
            revision = self._append(key, value)
            self._objects[key] = Object(key=key, version=revision, value=value)
            if present is None:
                insort(self._keys, key)
            return revision

    def delete(self, key: str, version: int) -> int | None:
        """Remove an object whose version must be ``version``; ``None`` if there is none.

        Raises:
            VersionConflict: If it is another one; nothing changes.
        """
        with self._lock:
            present = self._objects.get(key)
            if present is None:
                return None
            self._check(present, version)
            revision = self._append(key, None)
            del self._objects[key]
            del self._keys[bisect_left(self._keys, key)]
            return revision

    def page(self, prefix: str, after: str, limit: int) -> tuple[int, list[Object], bool]:
        """Return the revision, a page of objects in key order, and whether there are more."""
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
        """Return the held events with a version above ``after``."""
        with self._lock:
            return self._events[max(0, after - self._dropped) :]

    def watch(
        self,
        prefix: str,
        start: int,
        timeout_ms: float,
        *,
        lag_ms: Callable[[], float],
        interrupted: Callable[[], bool],
    ) -> WatchEvents | None:
        """Wait for events below ``prefix`` after revision ``start``.

        Args:
            prefix: Start of the keys.
            start: Revision that the caller knows.
            timeout_ms: Time after which an empty batch is returned.
            lag_ms: How late events are shown.
            interrupted: Whether to stop waiting at once.

        Returns:
            The events, or ``None`` when ``start`` is no longer held.
        """
        deadline = _now() + timeout_ms
        with self._lock:
            while True:
                if start < self._dropped:
                    return None
                shown, next_at = self._shown(lag_ms())
                events = [
                    event
                    for event in self._events[start - self._dropped : shown]
                    if event.key.startswith(prefix)
                ]
                start = max(start, shown + self._dropped)
                now = _now()
                if events or now >= deadline or interrupted():
                    return WatchEvents(revision=start, events=events)
                self._changed.wait((min(deadline, next_at) - now) / 1000.0)

    def wake(self) -> None:
        """Make all watches look again, after a fault was switched."""
        with self._lock:
            self._changed.notify_all()

    def _revision(self) -> int:
        return self._dropped + len(self._events)

    def _shown(self, lag_ms: float) -> tuple[int, float]:
        """Return how many held events are old enough to be shown, and when the next one is."""
        count = len(self._events)
        if lag_ms <= 0 or not count:
            return count, float("inf")
        limit = _now() - lag_ms
        while count and self._events[count - 1].seen_at > limit:
            count -= 1
        if count == len(self._events):
            return count, float("inf")
        return count, self._events[count].seen_at + lag_ms

    @staticmethod
    def _check(present: Object | None, version: int) -> None:
        current = present.version if present is not None else 0
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
            seen_at=_now(),
        )
        self._events.append(event)
        # Cut a tenth at a time: cutting one event per write would move the whole list each time.
        if len(self._events) > self._max_history + self._max_history // 10:
            surplus = len(self._events) - self._max_history
            del self._events[:surplus]
            self._dropped += surplus
        self._changed.notify_all()
        return revision
