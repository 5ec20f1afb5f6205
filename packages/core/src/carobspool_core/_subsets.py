"""Assigns to each entry the sidecars that it connects to, if there are too many for a full mesh.

Load pattern: 380 entries in front of 2,900 sidecars. In a full mesh a sidecar would hold 380
connections and send its load on each of them. Two random choices need only a few dozen sidecars to
choose from, so an entry connects to about 24 sidecars of a model.

If each entry sampled its 24 sidecars independently, some sidecars would have few entries or, at
small sites, none, and would idle. So the assignment starts from the sidecars: each selects entries
in its order of preference by rendezvous hashing, as many as the subset size allows, and skips
entries whose subsets are full. Subsets below their size are filled by the entry's own
preference. Every entry computes the same assignment from the same lists. While the lists differ,
some sidecars have one entry more or less, which does no harm.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator, Sequence

from xxhash import xxh3_64_intdigest

from carobspool_core._rendezvous import preferred_nodes

SUBSET_SIZE = 24
"""Sidecars of one model per entry. With a third of them lost 16 remain, and two random choices of
16 are about as good as of 400."""
MIN_ENTRIES_PER_SIDECAR = 3
"""Two entries may leave at once without idling a sidecar. At small sites this minimum takes
precedence over `SUBSET_SIZE`."""
_SPARE_PREFERENCES = 16
"""Preferences kept beyond those needed, to replace entries with full subsets. If they do not
suffice, the whole ranking is computed, so the value affects only the cost."""


def subset_size(entries: int, sidecars: int) -> int:
    """Return the number of ``sidecars`` that each of ``entries`` connects to.

    Since 0.1.
    """
    if not entries:
        return 0
    entries_per_sidecar = min(entries, MIN_ENTRIES_PER_SIDECAR)
    return min(sidecars, max(SUBSET_SIZE, -(-entries_per_sidecar * sidecars // entries)))


class SubsetAssignment:
    """The assignment of one model's sidecars to entries, updated incrementally.

    A change of one entry costs one digest per sidecar instead of one per pair: each sidecar's
    preferences are cached, best first, as far as they are needed.

    Since 0.1.
    """

    __slots__ = ("_encoded_entries", "_entries", "_preferences", "_sidecars")

    def __init__(self) -> None:
        self._entries: frozenset[str] = frozenset()
        self._encoded_entries: list[tuple[bytes, str]] = []
        self._sidecars: list[str] = []
        self._preferences: dict[str, list[tuple[int, str]]] = {}

    def set_members(self, entries: Sequence[str], sidecars: Sequence[str]) -> None:
        """Replace the lists of live entries and of the model's sidecars."""
        added = set(entries) - self._entries
        removed = set(self._entries.difference(entries))
        self._entries = frozenset(entries)
        self._encoded_entries = [(entry.encode(), entry) for entry in sorted(self._entries)]
        self._sidecars = sorted(sidecars)
        cached = self._preferences
        self._preferences = {host: cached[host] for host in self._sidecars if host in cached}
        for host, preferred in self._preferences.items():
            self._preferences[host] = _update_preferences(host, preferred, added, removed)

    def sidecars_of(self, entry: str) -> list[str]:
        """Return the sidecars that ``entry`` connects to.

        Args:
            entry: Name of an entry; the result is empty if it is not a live entry.
        """
        if entry not in self._entries:
            return []
        return self._fill(entry, self._assign()[entry])

    def all_subsets(self) -> dict[str, list[str]]:
        """Return the sidecars of every entry; unlike `sidecars_of`, fills the subset of each."""
        return {entry: self._fill(entry, hosts) for entry, hosts in self._assign().items()}

    def _fill(self, entry: str, hosts: list[str]) -> list[str]:
        """Return ``hosts``, filled up to the subset size by the entry's own preference."""
        size = subset_size(len(self._entries), len(self._sidecars))
        if len(hosts) >= size:
            return hosts
        rest = set(self._sidecars).difference(hosts)
        return hosts + preferred_nodes(entry, rest, size - len(hosts))

    def _assign(self) -> dict[str, list[str]]:
        size = subset_size(len(self._entries), len(self._sidecars))
        assigned: dict[str, list[str]] = {entry: [] for entry in self._entries}
        if size == len(self._sidecars):
            return {entry: list(self._sidecars) for entry in self._entries}
        entries_per_sidecar = size * len(self._entries) // len(self._sidecars)
        missing = self._assign_round_robin(entries_per_sidecar, size, assigned)
        for host, count in missing.items():
            self._assign_beyond_size(host, count, assigned)
        return assigned

    def _assign_round_robin(
        self, entries_per_sidecar: int, size: int, assigned: dict[str, list[str]]
    ) -> dict[str, int]:
        """Assign each sidecar one entry per round, so that the last sidecars find entries too.

        Returns:
            The number of missing entries of each sidecar that is below the minimum.
        """
        choices = {
            host: iter(self._preferred_entries(host, entries_per_sidecar))
            for host in self._sidecars
        }
        found = dict.fromkeys(self._sidecars, 0)
        for _ in range(entries_per_sidecar):
            for host, entries in choices.items():
                entry = next((each for each in entries if len(assigned[each]) < size), None)
                if entry is None:
                    continue
                assigned[entry].append(host)
                found[host] += 1
        minimum = min(len(self._entries), MIN_ENTRIES_PER_SIDECAR)
        return {host: minimum - count for host, count in found.items() if count < minimum}

    def _assign_beyond_size(self, host: str, count: int, assigned: dict[str, list[str]]) -> None:
        # In the last rounds all entries with subsets that are not full may have this sidecar
        # already. Exceeding the subset size of an entry costs one connection; a sidecar with one
        # entry idles when that entry leaves.
        for entry in self._preferred_entries(host, count):
            if host in assigned[entry]:
                continue
            assigned[entry].append(host)
            count -= 1
            if not count:
                return

    def _preferred_entries(self, host: str, entries_per_sidecar: int) -> Iterator[str]:
        """Yield all entries in the sidecar's order of preference.

        Args:
            host: The sidecar's host.
            entries_per_sidecar: Number of entries that the caller probably needs; the cache holds
                a few more, and the rest are computed on demand.
        """
        count = entries_per_sidecar + _SPARE_PREFERENCES
        yield from self._top_preferences(host, count)
        for _, entry in _rank_entries(host, self._encoded_entries)[count:]:
            yield entry

    def _top_preferences(self, host: str, count: int) -> list[str]:
        preferred = self._preferences.get(host)
        if preferred is None or len(preferred) < min(count, len(self._entries)):
            preferred = _rank_entries(host, self._encoded_entries)[: count + _SPARE_PREFERENCES]
            self._preferences[host] = preferred
        del preferred[count + 2 * _SPARE_PREFERENCES :]
        return [entry for _, entry in preferred[:count]]


def _rank_entries(host: str, entries: list[tuple[bytes, str]]) -> list[tuple[int, str]]:
    seed = xxh3_64_intdigest(host.encode())
    return sorted([(-xxh3_64_intdigest(encoded, seed), entry) for encoded, entry in entries])


def _update_preferences(
    host: str, preferred: list[tuple[int, str]], added: set[str], removed: set[str]
) -> list[tuple[int, str]]:
    kept = [each for each in preferred if each[1] not in removed] if removed else preferred
    if not added or not kept:
        return kept
    seed = xxh3_64_intdigest(host.encode())
    last = kept[-1]
    for entry in added:
        scored = (-xxh3_64_intdigest(entry.encode(), seed), entry)
        if scored < last:
            insort(kept, scored)
    return kept


def make_subset_assignment() -> SubsetAssignment:
    """Return an assignment without entries and sidecars.

    Since 0.1.
    """
    return SubsetAssignment()
