"""A cache with a limit on the total size of its values."""

from __future__ import annotations

import threading
from collections import OrderedDict
from typing import Generic, TypeVar

_V = TypeVar("_V")


class BoundedCache(Generic[_V]):
    """A least-recently-used cache.

    Args:
        limit: Maximum total size of the values, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit_bytes = limit
        self._size_bytes = 0
        self._values: OrderedDict[str, tuple[_V, int]] = OrderedDict()
        self._lock = threading.Lock()

    def get(self, key: str) -> _V | None:
        """Return a value and mark it as recently used; ``None`` if it is not in the cache."""
        with self._lock:
            found = self._values.get(key)
            if found is None:
                return None
            self._values.move_to_end(key)
            return found[0]

    def put(self, key: str, value: _V, size: int) -> None:
        """Store a value, and evict the least recently used ones while the size exceeds the limit.

        The value itself is never evicted, even if it exceeds the limit alone.
        """
        with self._lock:
            old = self._values.pop(key, None)
            self._size_bytes += size - (old[1] if old else 0)
            self._values[key] = (value, size)
            while self._size_bytes > self._limit_bytes and len(self._values) > 1:
                _, (_, evicted_size) = self._values.popitem(last=False)
                self._size_bytes -= evicted_size
