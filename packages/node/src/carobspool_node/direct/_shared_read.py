"""Reads that callers share if they have arrived before it began."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Generic, TypeVar

from absl import logging

from carobspool_core import Clock, Millis

SLOW_READ: Millis = 100.0
"""Time after which callers no longer wait for a read that began before they arrived."""
MAX_READS = 4

_T = TypeVar("_T")


class SharedRead(Generic[_T]):
    """Returns what a read has found that began after its caller arrived. Thread-safe.

    Args:
        clock: The process's clock.
        read: Reads; returns ``None`` on failure.
        interval: Returns the least time between the starts of two reads.
        timeout: Longest wait of a caller, in milliseconds.
        pool: Runs the reads; a pool of its own by default.
    """

    def __init__(
        self,
        clock: Clock,
        read: Callable[[], _T | None],
        *,
        interval: Callable[[], Millis],
        timeout: Millis,
        pool: ThreadPoolExecutor | None = None,
    ) -> None:
        self._clock = clock
        self._read = read
        self._interval = interval
        self._timeout = timeout
        self._changed = threading.Condition()
        self._started = 0
        self._started_at: Millis = -math.inf
        self._in_progress: set[int] = set()
        self._finished = 0
        self._result: _T | None = None
        self._pool = pool or ThreadPoolExecutor(MAX_READS, thread_name_prefix="shared-read")

    def get(self) -> _T | None:
        """Return the result, ``None`` if the read fails or takes too long."""
        with self._changed:
            deadline = self._clock.now() + self._timeout
            first_usable = self._started + 1
            while self._finished < first_usable:
                now = self._clock.now()
                if now >= deadline:
                    return None
                next_start = math.inf
                if self._started < first_usable:
                    next_start = self._next_start()
                    if now >= next_start:
                        self._start(now)
                        continue
                self._changed.wait((min(deadline, next_start) - now) / 1000.0)
            return self._result

    def _next_start(self) -> Millis:
        """Return when the next read may start, unless one ends before."""
        if len(self._in_progress) >= MAX_READS:
            return math.inf
        pause = self._interval()
        if self._started in self._in_progress:
            pause = max(pause, SLOW_READ)
        return self._started_at + pause

    def _start(self, now: Millis) -> None:
        self._started += 1
        self._started_at = now
        self._in_progress.add(self._started)
        self._pool.submit(self._run, self._started)

    def _run(self, number: int) -> None:
        result: _T | None = None
        try:
            result = self._read()
        except Exception:  # noqa: BLE001
            logging.exception("event=shared_read_failed")
        with self._changed:
            self._in_progress.discard(number)
            # An earlier read may end last.
            if number > self._finished:
                self._finished, self._result = number, result
            self._changed.notify_all()
