"""Requests in flight at each upstream, from this entry and its peers, with running totals.

Load pattern: hundreds of entries each place several requests a second, and each receives hints of
the others many times a second. A placement reads the loads of a few upstreams only, so it must not
sum the loads of every entry at every upstream. Each hint and each request therefore updates the
totals by its difference.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from msgspec import Struct

from carobspool_core._clock import Millis

PEER_LOAD_TTL: Millis = 2_000.0
"""How long the last hint of a peer counts; a peer sends hints several times a second."""
MAX_LOADS_AGE: Millis = 6_500.0
"""How long loads count while hints without loads arrive. Entries that share only small services
report loads every six seconds; if their loads expired in between, most of them would be missing."""


class Load(NamedTuple):
    """Number of known requests in flight at one upstream.

    A tuple, since thousands of instances are created in a second.
    """

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Sum of online and batch requests."""
        return self.online + self.batch


NO_LOAD = Load()


class _Report(Struct, frozen=True):
    received: Millis
    loads: Mapping[str, Load]
    loads_received: Millis


class FleetLoads:
    """Loads by identity of the upstream.

    Not thread-safe; callers pass in the time.
    """

    __slots__ = ("_peer_loads_by_upstream", "_reports", "_totals")

    def __init__(self) -> None:
        self._totals: dict[str, Load] = {}
        self._peer_loads_by_upstream: dict[str, dict[str, Load]] = {}
        # Ordered by time of receipt, the oldest report first.
        self._reports: dict[str, _Report] = {}

    @property
    def totals(self) -> Mapping[str, Load]:
        """Requests in flight from all entries; upstreams without requests are omitted."""
        return MappingProxyType(self._totals)

    def add_own(self, identity: str, *, online: int = 0, batch: int = 0) -> None:
        """Add to the requests that this entry has in flight at an upstream; may be negative."""
        self._add(identity, online, batch)

    def update_peer(self, peer: str, loads: Mapping[str, Load], now: Millis) -> bool:
        """Replace the loads of a peer; return whether its load decreased at any upstream.

        Args:
            peer: Name of the peer.
            loads: Requests that the peer has in flight, by upstream.
            now: Current time.
        """
        previous_report = self._reports.pop(peer, None)
        self._reports[peer] = _Report(now, loads, now)
        before: Mapping[str, Load] = previous_report.loads if previous_report is not None else {}
        has_decreased = False
        for identity, load in loads.items():
            previous = before.get(identity, NO_LOAD)
            if load == previous:
                continue
            self._replace(peer, identity, previous, load)
            has_decreased = has_decreased or load.total < previous.total
        for identity, previous in before.items():
            if identity not in loads:
                self._replace(peer, identity, previous, NO_LOAD)
                has_decreased = has_decreased or previous.total > 0
        return has_decreased

    def record_hint_without_loads(self, peer: str, now: Millis) -> None:
        """Keep the loads of a peer that is alive, for `MAX_LOADS_AGE` at most."""
        report = self._reports.get(peer)
        if report is None or now - report.received > PEER_LOAD_TTL:
            return
        if now - report.loads_received < MAX_LOADS_AGE:
            del self._reports[peer]
            self._reports[peer] = _Report(now, report.loads, report.loads_received)

    def expire(self, now: Millis) -> None:
        """Drop the loads of peers that sent no hint for `PEER_LOAD_TTL`."""
        while self._reports:
            peer, report = next(iter(self._reports.items()))
            if now - report.received <= PEER_LOAD_TTL:
                return
            del self._reports[peer]
            for identity, previous in report.loads.items():
                self._replace(peer, identity, previous, NO_LOAD)

    def loads_by_peer(self, identity: str) -> Mapping[str, Load]:
        """Return the requests that each peer has in flight at an upstream."""
        return MappingProxyType(self._peer_loads_by_upstream.get(identity, {}))

    def peers(self) -> set[str]:
        """Return the peers whose loads have not expired."""
        return set(self._reports)

    @property
    def peer_count(self) -> int:
        """Number of peers whose loads have not expired."""
        return len(self._reports)

    def report_ages(self, now: Millis) -> Iterator[Millis]:
        """Yield the time since the last hint of each peer."""
        return (now - report.received for report in self._reports.values())

    def _replace(self, peer: str, identity: str, previous: Load, load: Load) -> None:
        if load.total:
            self._peer_loads_by_upstream.setdefault(identity, {})[peer] = load
        elif peer in self._peer_loads_by_upstream.get(identity, {}):
            del self._peer_loads_by_upstream[identity][peer]
            if not self._peer_loads_by_upstream[identity]:
                del self._peer_loads_by_upstream[identity]
        self._add(identity, load.online - previous.online, load.batch - previous.batch)

    def _add(self, identity: str, online: int, batch: int) -> None:
        current = self._totals.get(identity, NO_LOAD)
        total = Load(current.online + online, current.batch + batch)
        if total.online or total.batch:
            self._totals[identity] = total
        else:
            self._totals.pop(identity, None)
