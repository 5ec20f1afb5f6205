"""Which entry was disturbed when, so that a promise is asked of those alone that ran in peace."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

ALL = ""
"""Stands for every entry: the store or a server's link is disturbed."""


@dataclass(slots=True)
class _Disturbance:
    entry: str
    planned: bool
    began: float
    ended: float = float("inf")


class Disturbances:
    """What was done to the entries; safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._all: list[_Disturbance] = []

    @contextmanager
    def of(self, entry: str = ALL, *, planned: bool = False) -> Iterator[None]:
        """Note that an entry is disturbed while the block runs."""
        disturbance = _Disturbance(entry, planned, time.monotonic())
        with self._lock:
            self._all.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended = time.monotonic()

    def any(self, entry: str | None, since: float, until: float, *, planned: bool = True) -> bool:
        """Return whether an entry was disturbed at some time of a span.

        Args:
            entry: Its name, ``None`` for any of them.
            since: Begin of the span.
            until: Its end.
            planned: Whether to count what an operator does, such as to ask an entry to stop.
        """
        with self._lock:
            for each in self._all:
                if each.planned and not planned:
                    continue
                if entry is not None and each.entry not in (entry, ALL):
                    continue
                if each.began <= until and each.ended >= since:
                    return True
        return False
