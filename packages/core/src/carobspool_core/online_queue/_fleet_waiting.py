"""The requests that wait at other entries, by the entries' last reports.

Load pattern: dozens of entries wait for the same slots. Reports are some 50 ms old, some are lost,
and an entry may stop without a last report. Requests compete for slots with those of their own
service only.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis
from carobspool_core.direct._backlog import UNKNOWN_SERVICE
from carobspool_core.online_queue._entry_queue import WaitingClass

REPORT_TTL: Millis = 700.0
"""How long a report counts. Every entry reports at least twice a second."""


MAX_DRAWS = 512
"""Upstreams whose draws are kept; an entry uses some 60."""
MIN_DRAW = 1e-12


WaitingByService = Mapping[int, Mapping[WaitingClass, int]]
"""Numbers of waiting requests by the key of their service and by class."""


class _Report(Struct, frozen=True):
    received: Millis
    counts: Mapping[WaitingClass, int]


class _ServiceReport(Struct, frozen=True):
    received: Millis
    counts: WaitingByService


class FleetWaiting:
    """Requests of one service that wait at the peers, by class.

    Not thread-safe; callers pass in the time.
    """

    def __init__(self) -> None:
        # Ordered by time of receipt, the oldest report first.
        self._reports: dict[str, _Report] = {}
        self._totals: dict[WaitingClass, int] = {}
        self._by_class: dict[WaitingClass, dict[str, int]] = {}
        # Computed once, since each free slot compares the draws of all entries that wait.
        self._draws: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        """Return the number of peers with waiting requests."""
        return len(self._reports)

    def update(self, peer: str, counts: Mapping[WaitingClass, int], now: Millis) -> bool:
        """Replace the report of a peer; return whether fewer of its requests wait than before."""
        previous = self._reports.pop(peer, None)
        before: Mapping[WaitingClass, int] = {} if previous is None else previous.counts
        self._remove(peer, before)
        if counts:
            self._reports[peer] = _Report(now, counts)
            for key, count in counts.items():
                self._totals[key] = self._totals.get(key, 0) + count
                self._by_class.setdefault(key, {})[peer] = count
        return sum(counts.values()) < sum(before.values())

    def expire(self, now: Millis) -> None:
        """Drop the reports that are older than `REPORT_TTL`."""
        while self._reports:
            peer, report = next(iter(self._reports.items()))
            if now - report.received <= REPORT_TTL:
                return
            self._remove(peer, self._reports.pop(peer).counts)

    def ahead(self, waiting: WaitingClass) -> int:
        """Return the number of requests in more urgent classes."""
        return sum(count for key, count in self._totals.items() if key < waiting)

    def equal(self, waiting: WaitingClass) -> int:
        """Return the number of requests in the same class."""
        return self._totals.get(waiting, 0)

    def classes(self) -> list[WaitingClass]:
        """Return the classes in which requests wait, the most urgent first."""
        return sorted(self._by_class)

    def by_peer(self, waiting: WaitingClass) -> Mapping[str, int]:
        """Return the number of requests of a class at each peer that has some."""
        return self._by_class.get(waiting, {})

    def has_less_urgent(self, waiting: WaitingClass) -> bool:
        """Return whether requests of a less urgent rank wait."""
        return any(key[0] > waiting[0] for key in self._totals)

    def is_drawn(self, slot: str, waiting: WaitingClass, own: str, count: int) -> bool:
        """Return whether a slot is drawn for this entry among those that wait in a class.

        All entries draw the same winner, by a hash of the slot and the entry, with a chance in
        proportion to the numbers of waiting requests.

        Args:
            slot: Name of the slot.
            waiting: Class of this entry's request.
            own: Name of this entry.
            count: Number of requests of the class that wait here.
        """
        theirs = self._by_class.get(waiting)
        if not theirs:
            return True
        draws = self._draws.get(slot)
        if draws is None:
            if len(self._draws) >= MAX_DRAWS:
                self._draws.clear()
            draws = self._draws[slot] = {}
        score = self._draw(draws, slot, own) / count
        for peer, number in theirs.items():
            drawn = draws.get(peer) or self._draw(draws, slot, peer)
            if drawn < score * number:
                return False
        return True

    def _draw(self, draws: dict[str, float], slot: str, entry: str) -> float:
        """Return the draw of an entry for a slot: an exponential variable, the lowest wins."""
        drawn = draws.get(entry)
        if drawn is None:
            point = (xxh3_64_intdigest(f"{slot} {entry}".encode()) + 1) / 2**64
            drawn = draws[entry] = max(MIN_DRAW, -math.log(point))
        return drawn

    def _remove(self, peer: str, counts: Mapping[WaitingClass, int]) -> None:
        for key, count in counts.items():
            self._totals[key] -= count
            del self._by_class[key][peer]
            if not self._by_class[key]:
                del self._by_class[key], self._totals[key]


class FleetReports:
    """Requests that wait at the peers, by service.

    Not thread-safe; callers pass in the time.
    """

    def __init__(self) -> None:
        # Ordered by time of receipt, the oldest report first.
        self._reports: dict[str, _ServiceReport] = {}
        self._services: dict[int, FleetWaiting] = {}

    def __len__(self) -> int:
        """Return the number of peers with waiting requests."""
        return len(self._reports)

    def service(self, key: int) -> FleetWaiting:
        """Return the waiting requests of one service.

        Args:
            key: Key of the service, see `short_key_of`.
        """
        found = self._services.get(key)
        if found is None:
            found = self._services[key] = FleetWaiting()
            for peer, report in self._reports.items():
                found.update(peer, _counts_of(report.counts, key), report.received)
        return found

    def update(self, peer: str, counts: WaitingByService, now: Millis) -> bool:
        """Replace the report of a peer; return whether fewer of its requests wait than before.

        Args:
            peer: Name of the peer.
            counts: Its waiting requests by the key of their service. Those of `UNKNOWN_SERVICE`
                count for all services.
            now: Current time.
        """
        previous = self._reports.pop(peer, None)
        before: WaitingByService = {} if previous is None else previous.counts
        if counts:
            self._reports[peer] = _ServiceReport(now, counts)
        changed = before.keys() | counts.keys()
        for key, waiting in self._services.items():
            if key in changed or UNKNOWN_SERVICE in changed:
                waiting.update(peer, _counts_of(counts, key), now)
        return _total(counts) < _total(before)

    def expire(self, now: Millis) -> None:
        """Drop the reports that are older than `REPORT_TTL`."""
        while self._reports:
            peer, report = next(iter(self._reports.items()))
            if now - report.received <= REPORT_TTL:
                break
            del self._reports[peer]
        for waiting in self._services.values():
            waiting.expire(now)

    def count(self, peer: str) -> int:
        """Return the number of requests that wait at a peer."""
        report = self._reports.get(peer)
        return 0 if report is None else _total(report.counts)

    def oldest_age(self, now: Millis) -> Millis:
        """Return the age of the oldest report, 0 if there is none."""
        for report in self._reports.values():
            return now - report.received
        return 0.0


def _counts_of(counts: WaitingByService, key: int) -> Mapping[WaitingClass, int]:
    unknown = counts.get(UNKNOWN_SERVICE)
    found = counts.get(key, {})
    if unknown is None or key == UNKNOWN_SERVICE:
        return found
    return Counter(found) + Counter(unknown)


def _total(counts: WaitingByService) -> int:
    return sum(sum(each.values()) for each in counts.values())
