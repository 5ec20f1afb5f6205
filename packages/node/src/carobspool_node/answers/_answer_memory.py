"""Bounds the memory of answers that this process reads as a whole."""

from __future__ import annotations

import threading

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest answer that is read as a whole."""
MAX_READ_BYTES = 32 * 1024 * 1024
"""All answers that are being read; the smallest hosts leave an entry 160 MB."""


class AnswerMemory:
    """Counts the bytes of all answers that are being read. Thread-safe."""

    def __init__(self, limit: int = MAX_READ_BYTES) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._bytes = 0

    @property
    def in_use(self) -> int:
        """Bytes of the answers that are being read."""
        return self._bytes

    def reserve(self, count: int) -> bool:
        """Count bytes that have arrived; return whether there is room for them."""
        with self._lock:
            if self._bytes + count > self._limit:
                return False
            self._bytes += count
            return True

    def release(self, count: int) -> None:
        """Return bytes that were reserved."""
        with self._lock:
            self._bytes -= count
