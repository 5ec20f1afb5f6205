"""Notices that the whole process stood still: frozen, suspended or without processor time."""

from __future__ import annotations

import threading

from absl import logging

from carobspool_core import Clock, Millis

POLL: Millis = 100.0
STALL_LIMIT: Millis = 1_500.0
"""A pause in which no task of the process ran is a stall from this length on. Entries count a
process as lost after three seconds at the earliest, so nobody has given up on what waited through a
shorter one; a busy machine pauses a process for some 100 ms."""


class StallWatch:
    """Tells when the process last woke from a stall. Safe for threads.

    Every reading is a sign of life, and so is that of a task which does nothing else. What finds
    the gap first, the task or a reading, makes no difference: an instant that `now` returned before
    a stall lies before `woke_at`, and one that it returns after it does not.

    Args:
        clock: A clock that goes on while the process stands still.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._seen: Millis = clock.now()
        self._woke_at: Millis = self._seen
        self._stopped = threading.Event()

    @property
    def woke_at(self) -> Millis:
        """End of the last stall, or the start of the process; read `now` before."""
        return self._woke_at

    def start(self) -> None:
        """Watch in a task of its own."""
        threading.Thread(target=self._run, name="stalls", daemon=True).start()

    def stop(self) -> None:
        """End the task."""
        self._stopped.set()

    def now(self) -> Millis:
        """Return the current instant, after taking note of a stall that has just ended."""
        with self._lock:
            now = self._clock.now()
            gap = now - self._seen
            self._seen = now
            if gap > STALL_LIMIT:
                self._woke_at = now
        if gap > STALL_LIMIT:
            logging.warning("event=process_stalled gap_ms=%.0f", gap)
        return now

    def _run(self) -> None:
        while not self._stopped.wait(POLL / 1000.0):
            self.now()
