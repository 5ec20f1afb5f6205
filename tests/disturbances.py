"""Records when each entry was disturbed by a fault.

Some promises are checked only for entries that ran undisturbed.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

ALL_ENTRIES = ""
"""Used in place of an entry's name when the store or a server's link is disturbed."""


@dataclass(slots=True)
class _Disturbance:
    entry: str
    planned: bool
    started_at: float
    ended_at: float = float("inf")


class Disturbances:
    """Thread-safe record of the disturbances of all entries."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._disturbances: list[_Disturbance] = []

    @contextmanager
    def record(self, entry: str = ALL_ENTRIES, *, planned: bool = False) -> Iterator[None]:
        """Record that an entry is disturbed while the block runs.

        Args:
            entry: The entry's name, by default all entries.
            planned: Whether the disturbance is an operator's action, such as asking an entry to
                stop.
        """
        disturbance = _Disturbance(entry, planned, time.monotonic())
        with self._lock:
            self._disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended_at = time.monotonic()

    def was_disturbed(
        self, entry: str | None, since: float, until: float, *, planned: bool = True
    ) -> bool:
        """Return whether an entry was disturbed at any time in an interval.

        Args:
            entry: The entry's name, ``None`` for any entry.
            since: Begin of the interval, on the monotonic clock.
            until: End of the interval.
            planned: Whether operators' actions count as disturbances.
        """
        with self._lock:
            for each in self._disturbances:
                if each.planned and not planned:
                    continue
                if entry is not None and each.entry not in (entry, ALL_ENTRIES):
                    continue
                if each.started_at <= until and each.ended_at >= since:
                    return True
        return False
