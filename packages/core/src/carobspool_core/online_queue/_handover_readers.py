"""The peers that read handovers, with their last loads.

During an upgrade, entries of the previous build, which ignore handovers, run beside others.
"""

from __future__ import annotations

from collections.abc import Mapping

from carobspool_core.direct._fleet_loads import Load
from carobspool_core.direct._upstream_identity import short_key_of

NEVER_DUE = 1 << 20
"""Handovers that count as promised to a silent peer, more than requests can wait there."""


class HandoverReaders:
    """Which peers read handovers. Not thread-safe; the number of peers bounds its size."""

    def __init__(self) -> None:
        self._loads: dict[str, Mapping[int, Load]] = {}
        self._names: dict[int, str] = {}
        self._non_readers: set[str] = set()
        # Peers that let a handover expire and have sent no hint since.
        self._silent: set[str] = set()

    @property
    def are_all(self) -> bool:
        """Whether all peers that have reported waiting requests read handovers."""
        return not self._non_readers

    def __contains__(self, peer: str) -> bool:
        return peer in self._loads

    def by_name(self, promised: Mapping[int, int]) -> dict[str, int]:
        """Return numbers of handovers by the receiver's name, given those by its key.

        A peer that has let a handover expire counts as served until its next hint. A frozen peer
        would otherwise get one handover after the other until its report expires.
        """
        names = self._names
        found = {names[key]: count for key, count in promised.items() if key in names}
        return found | dict.fromkeys(self._silent, NEVER_DUE)

    def record_loads(self, peer: str, loads: Mapping[int, Load]) -> Mapping[int, Load]:
        """Record the loads of a peer that reads handovers; return those of its previous hint."""
        self._non_readers.discard(peer)
        self._silent.discard(peer)
        before = self._loads.get(peer, loads)
        self._loads[peer] = loads
        self._names[short_key_of(peer)] = peer
        return before

    def record_previous_build(self, peer: str) -> None:
        """Record that a peer runs the previous build."""
        self.forget(peer)
        self._non_readers.add(peer)

    def mark_silent(self, key: int) -> None:
        """Record that a peer, given by its key, has let a handover expire."""
        if key in self._names:
            self._silent.add(self._names[key])

    def forget(self, peer: str) -> None:
        """Drop a peer that is gone."""
        self._non_readers.discard(peer)
        self._silent.discard(peer)
        if self._loads.pop(peer, None) is not None:
            del self._names[short_key_of(peer)]
