"""Which sidecars an entry connects to, when there are too many for all.

Load pattern: 380 entries before 2,900 sidecars. Connected all to all, a sidecar would hold 380
connections and send each of them its load. Two random choices need only a few dozen to choose
from, so an entry takes at most 24 sidecars of a model.

If each entry drew its 24 alone, some sidecars would be drawn by few entries or, at small sites,
by none, and would idle. So the assignment starts from the sidecars: each takes its preferred
entries by rendezvous, as many as the entries' places allow, passing over entries that are full.
Places left over are filled from the entry's side. Every entry computes the same assignment from
the same lists; while lists differ, some sidecars have an entry more or less, which does no harm.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator, Sequence

from xxhash import xxh3_64_intdigest

from carobspool_core._rendezvous import first

SUBSET_SIZE = 24
"""Sidecars of one model for an entry: with a third of them lost, 16 remain, and two random choices
of 16 are about as good as of 400."""
MIN_ENTRIES_PER_SIDECAR = 3
"""So that two entries may go at once without idling a sidecar; at small sites it goes before
`SUBSET_SIZE`."""
_SPARE_PREFERENCES = 16
"""Preferences kept beyond those needed, for entries that are full; when they don't suffice the
whole ranking is worked out, so this figure decides only the cost."""


def subset_size(entries: int, sidecars: int) -> int:
    """Return how many of ``sidecars`` each of ``entries`` takes.

    Since 0.1.
    """
    if not entries:
        return 0
    cover = min(entries, MIN_ENTRIES_PER_SIDECAR)
    return min(sidecars, max(SUBSET_SIZE, -(-cover * sidecars // entries)))


class Subsets:
    """The assignment of one model's sidecars to entries, kept cheap under small changes.

    A change of one entry costs one digest for each sidecar, not one for each pair: the preferences
    of each sidecar are kept, best first, as far down as they are needed.

    Since 0.1.
    """

    __slots__ = ("_encoded", "_entries", "_preferences", "_sidecars")

    def __init__(self) -> None:
        self._entries: frozenset[str] = frozenset()
        self._encoded: list[tuple[bytes, str]] = []
        self._sidecars: list[str] = []
        self._preferences: dict[str, list[tuple[int, str]]] = {}

    def set_members(self, entries: Sequence[str], sidecars: Sequence[str]) -> None:
        """Replace the lists of live entries and of the model's sidecars."""
        added = set(entries) - self._entries
        gone = set(self._entries.difference(entries))
        self._entries = frozenset(entries)
        self._encoded = [(entry.encode(), entry) for entry in sorted(self._entries)]
        self._sidecars = sorted(sidecars)
        known = self._preferences
        self._preferences = {host: known[host] for host in self._sidecars if host in known}
        for host, preferred in self._preferences.items():
            self._preferences[host] = _changed(host, preferred, added, gone)

    def of(self, entry: str) -> list[str]:
        """Return the sidecars that ``entry`` connects to.

        Args:
            entry: One of the entries; for any other the answer is empty.
        """
        if entry not in self._entries:
            return []
        return self._filled(entry, self._assigned()[entry])

    def all(self) -> dict[str, list[str]]:
        """Return the sidecars of every entry; slower than `of` by the number of entries."""
        return {entry: self._filled(entry, hosts) for entry, hosts in self._assigned().items()}

    def _filled(self, entry: str, hosts: list[str]) -> list[str]:
        size = subset_size(len(self._entries), len(self._sidecars))
        if len(hosts) >= size:
            return hosts
        rest = set(self._sidecars).difference(hosts)
        return hosts + first(entry, rest, size - len(hosts))

    def _assigned(self) -> dict[str, list[str]]:
        size = subset_size(len(self._entries), len(self._sidecars))
        taken: dict[str, list[str]] = {entry: [] for entry in self._entries}
        if size == len(self._sidecars):
            return {entry: list(self._sidecars) for entry in self._entries}
        cover = size * len(self._entries) // len(self._sidecars)
        short = self._assign_in_turns(cover, size, taken)
        for host, count in short.items():
            self._assign_anyway(host, count, taken)
        return taken

    def _assign_in_turns(
        self, cover: int, size: int, taken: dict[str, list[str]]
    ) -> dict[str, int]:
        """Let each sidecar take one entry at a time, so that the last ones find places too.

        Returns:
            What remains for sidecars that found fewer than the least number, by sidecar.
        """
        choices = {host: iter(self._choices(host, cover)) for host in self._sidecars}
        found = dict.fromkeys(self._sidecars, 0)
        for _ in range(cover):
            for host, entries in choices.items():
                entry = next((each for each in entries if len(taken[each]) < size), None)
                if entry is None:
                    continue
                taken[entry].append(host)
                found[host] += 1
        least = min(len(self._entries), MIN_ENTRIES_PER_SIDECAR)
        return {host: least - count for host, count in found.items() if count < least}

    def _assign_anyway(self, host: str, count: int, taken: dict[str, list[str]]) -> None:
        # Near the end the entries with places left may all have this sidecar already. One entry
        # above its size costs one connection; a sidecar with one entry idles when that entry goes.
        for entry in self._choices(host, count):
            if host in taken[entry]:
                continue
            taken[entry].append(host)
            count -= 1
            if not count:
                return

    def _choices(self, host: str, cover: int) -> Iterator[str]:
        """Yield all entries in the sidecar's order of preference."""
        count = cover + _SPARE_PREFERENCES
        yield from self._preferred(host, count)
        for _, entry in _ranked(host, self._encoded)[count:]:
            yield entry

    def _preferred(self, host: str, count: int) -> list[str]:
        preferred = self._preferences.get(host)
        if preferred is None or len(preferred) < min(count, len(self._entries)):
            preferred = _ranked(host, self._encoded)[: count + _SPARE_PREFERENCES]
            self._preferences[host] = preferred
        del preferred[count + 2 * _SPARE_PREFERENCES :]
        return [entry for _, entry in preferred[:count]]


def _ranked(host: str, entries: list[tuple[bytes, str]]) -> list[tuple[int, str]]:
    seed = xxh3_64_intdigest(host.encode())
    return sorted([(-xxh3_64_intdigest(encoded, seed), entry) for encoded, entry in entries])


def _changed(
    host: str, preferred: list[tuple[int, str]], added: set[str], gone: set[str]
) -> list[tuple[int, str]]:
    kept = [each for each in preferred if each[1] not in gone] if gone else preferred
    if not added or not kept:
        return kept
    seed = xxh3_64_intdigest(host.encode())
    last = kept[-1]
    for entry in added:
        scored = (-xxh3_64_intdigest(entry.encode(), seed), entry)
        if scored < last:
            insort(kept, scored)
    return kept


def make_subsets() -> Subsets:
    """Return an assignment without members.

    Since 0.1.
    """
    return Subsets()
