"""Define the addresses to which an entry sends its hints."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace


class HintTargets(Struct, frozen=True, kw_only=True):
    """Addresses to which hints are sent.

    Attributes:
        current: Addresses of live entries that read load hints, by name.
        count_readers: Names of those entries that read request counts too.
        others: Addresses of entries of the previous version, and of entries without a recent hint.
        suspect_readers: Names of the current entries that read evidence against requests.
        relayed: Names of the current entries that get load hints and counts hints through relays.
        relay: Name of the relay that passes this entry's hints on to them, ``None`` if this entry
            is the relay or no relay is used.
        kind_separators: Names of the current entries that compare load hints and counts hints
            separately, so that one of them may overtake the other.
        sends_counts_directly: Whether counts go directly to the relayed entries too.
        settled: Names of the current entries without a sign within `SETTLED_AFTER` that they have
            missed announcements.
    """

    current: Mapping[str, tuple[str, int]]
    count_readers: frozenset[str]
    others: Sequence[tuple[str, int]]
    suspect_readers: frozenset[str] = frozenset()
    relayed: frozenset[str] = frozenset()
    relay: str | None = None
    kind_separators: frozenset[str] = frozenset()
    sends_counts_directly: bool = False
    settled: frozenset[str] = frozenset()

    def load_recipients(self, sharers: frozenset[str] | None) -> frozenset[str]:
        """Return the names of the entries to which a change of loads is sent.

        Args:
            sharers: Entries that use the same upstreams, ``None`` for all entries.
        """
        names = frozenset(self.current)
        return names if sharers is None else names & sharers

    def direct_recipients(self, sharers: frozenset[str] | None) -> frozenset[str]:
        """Return the names of the entries to which this entry itself sends a change."""
        names = self.load_recipients(sharers)
        return names if self.sends_counts_directly else names - self.relayed

    def without(self, names: frozenset[str]) -> HintTargets:
        """Return the targets without some of the current entries."""
        current = {name: at for name, at in self.current.items() if name not in names}
        return replace(self, current=current, count_readers=self.count_readers - names)
