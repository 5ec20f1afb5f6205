"""A cache bounded by the size of what it holds."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import Generic, TypeVar

_V = TypeVar("_V")


class BoundedCache(Generic[_V]):
    """Least recently used values, bounded by their summed size in bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._size = 0
        self._values: OrderedDict[str, tuple[_V, int]] = OrderedDict()
        self._lock = threading.Lock()

    def get(self, key: str) -> _V | None:
        """Return a value and count it as used, ``None`` when it is not held."""
        with self._lock:
            found = self._values.get(key)
            if found is None:
                return None
            self._values.move_to_end(key)
            return found[0]

    def put(self, key: str, value: _V, size: int) -> None:
        """Hold a value; the least recently used ones go when there is no room."""
        with self._lock:
            old = self._values.pop(key, None)
            self._size += size - (old[1] if old else 0)
            self._values[key] = (value, size)
            while self._size > self._limit and len(self._values) > 1:
                _, (_, dropped) = self._values.popitem(last=False)
                self._size -= dropped
