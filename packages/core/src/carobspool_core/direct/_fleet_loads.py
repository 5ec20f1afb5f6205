"""Requests in flight at each upstream, of this entry and of the others, with running totals.

Load pattern: hundreds of entries each place several requests a second, and each hears of the others
many times a second. A placement looks at a few upstreams only, so it must not add up what every
entry has everywhere: totals change with each hint and each request, by what is new in it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from msgspec import Struct

from carobspool_core._clock import Millis

PEER_TIME: Millis = 2_000.0
"""How long the last hint of another entry counts; its hints come several times a second."""


class Load(NamedTuple):
    """Requests in flight at one upstream, from all entries, as far as they are known.

    A tuple, since thousands are made in a second.
    """

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Online and batch requests together."""
        return self.online + self.batch


NO_LOAD = Load()


class _Report(Struct, frozen=True):
    received: Millis
    loads: Mapping[str, Load]


class FleetLoads:
    """Loads by the upstream's identity. Not safe for threads; times are passed in."""

    __slots__ = ("_by_upstream", "_reports", "_totals")

    def __init__(self) -> None:
        self._totals: dict[str, Load] = {}
        self._by_upstream: dict[str, dict[str, Load]] = {}
        # The peer that was heard longest ago comes first.
        self._reports: dict[str, _Report] = {}

    @property
    def totals(self) -> Mapping[str, Load]:
        """What all entries together have in flight; upstreams without requests are left out."""
        return MappingProxyType(self._totals)

    def add_own(self, identity: str, *, online: int = 0, batch: int = 0) -> None:
        """Add to what this entry has in flight at an upstream; negative numbers take away."""
        self._add(identity, online, batch)

    def take(self, peer: str, loads: Mapping[str, Load], now: Millis) -> bool:
        """Replace what is known of a peer; return whether it uses some upstream less than before.

        Args:
            peer: Its name.
            loads: What it has in flight.
            now: The time.
        """
        earlier = self._reports.pop(peer, None)
        self._reports[peer] = _Report(now, loads)
        before: Mapping[str, Load] = earlier.loads if earlier is not None else {}
        frees_room = False
        for identity, load in loads.items():
            known = before.get(identity, NO_LOAD)
            if load == known:
                continue
            self._replace(peer, identity, known, load)
            frees_room = frees_room or load.total < known.total
        for identity, known in before.items():
            if identity not in loads:
                self._replace(peer, identity, known, NO_LOAD)
                frees_room = frees_room or known.total > 0
        return frees_room

    def expire(self, now: Millis) -> None:
        """Drop what peers told that have not been heard for `PEER_TIME`."""
        while self._reports:
            peer, report = next(iter(self._reports.items()))
            if now - report.received <= PEER_TIME:
                return
            del self._reports[peer]
            for identity, known in report.loads.items():
                self._replace(peer, identity, known, NO_LOAD)

    def at(self, identity: str) -> Mapping[str, Load]:
        """Return what each peer has in flight at an upstream."""
        return MappingProxyType(self._by_upstream.get(identity, {}))

    def peers(self) -> set[str]:
        """Return the peers whose loads count."""
        return set(self._reports)

    def ages(self, now: Millis) -> Iterator[Millis]:
        """Yield how long ago each peer was heard."""
        return (now - report.received for report in self._reports.values())

    def _replace(self, peer: str, identity: str, known: Load, load: Load) -> None:
        if load.total:
            self._by_upstream.setdefault(identity, {})[peer] = load
        elif peer in self._by_upstream.get(identity, {}):
            del self._by_upstream[identity][peer]
            if not self._by_upstream[identity]:
                del self._by_upstream[identity]
        self._add(identity, load.online - known.online, load.batch - known.batch)

    def _add(self, identity: str, online: int, batch: int) -> None:
        known = self._totals.get(identity, NO_LOAD)
        total = Load(known.online + online, known.batch + batch)
        if total.online or total.batch:
            self._totals[identity] = total
        else:
            self._totals.pop(identity, None)
