"""The requests that wait at other entries, by the entries' last reports.

Load pattern: dozens of entries wait for the same slots. Reports are some 50 ms old, some are lost,
and an entry may stop without a last report.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.online_queue._entry_queue import WaitingClass

REPORT_TTL: Millis = 700.0
"""How long a report counts. Every entry reports at least twice a second."""


class _Report(Struct, frozen=True):
    received: Millis
    counts: Mapping[WaitingClass, int]


class FleetWaiting:
    """Waiting requests of the peers by class. Not thread-safe; callers pass in the time."""

    def __init__(self) -> None:
        # Ordered by time of receipt, the oldest report first.
        self._reports: dict[str, _Report] = {}
        self._totals: dict[WaitingClass, int] = {}

    def __len__(self) -> int:
        """Return the number of peers with waiting requests."""
        return len(self._reports)

    def update(self, peer: str, counts: Mapping[WaitingClass, int], now: Millis) -> bool:
        """Replace the report of a peer; return whether fewer of its requests wait than before."""
        previous = self._reports.pop(peer, None)
        before: Mapping[WaitingClass, int] = {} if previous is None else previous.counts
        self._add(before, -1)
        if counts:
            self._reports[peer] = _Report(now, counts)
            self._add(counts, 1)
        return sum(counts.values()) < sum(before.values())

    def expire(self, now: Millis) -> None:
        """Drop the reports that are older than `REPORT_TTL`."""
        while self._reports:
            peer, report = next(iter(self._reports.items()))
            if now - report.received <= REPORT_TTL:
                return
            self._add(self._reports.pop(peer).counts, -1)

    def ahead(self, waiting: WaitingClass) -> int:
        """Return the number of requests in more urgent classes."""
        return sum(count for key, count in self._totals.items() if key < waiting)

    def equal(self, waiting: WaitingClass) -> int:
        """Return the number of requests in the same class."""
        return self._totals.get(waiting, 0)

    def has_less_urgent(self, waiting: WaitingClass) -> bool:
        """Return whether requests of a less urgent rank wait."""
        return any(key[0] > waiting[0] for key in self._totals)

    def oldest_age(self, now: Millis) -> Millis:
        """Return the age of the oldest report, 0 if there is none."""
        for report in self._reports.values():
            return now - report.received
        return 0.0

    def _add(self, counts: Mapping[WaitingClass, int], sign: int) -> None:
        for key, count in counts.items():
            total = self._totals.get(key, 0) + sign * count
            if total > 0:
                self._totals[key] = total
            else:
                self._totals.pop(key, None)
