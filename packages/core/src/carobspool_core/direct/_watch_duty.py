"""Which entries watch the store on behalf of all entries.

Load pattern: each change of a registration completes the watches of all entries, and each entry
opens a new one. With dozens of entries, rolling releases of servers and outages of the store, these
are most of the calls to the store. Therefore only a few entries watch the store, and the others
fetch changes from them, within the time of a hint and a call between entries. In a small fleet
every entry watches the store.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._rendezvous import preferred_nodes

WATCHER_COUNT = 5
"""Number of entries that watch the store. Several of them may crash, be partitioned or be refused
by the store at a time; other entries replace them once the failure is known."""
_RENDEZVOUS_KEY = "watch"


class WatchCandidate(Struct, frozen=True, kw_only=True):
    """An entry that may watch the store.

    Attributes:
        name: Name of the entry.
        store_ok: Whether the store answered the last call of the entry.
    """

    name: str
    store_ok: bool


def should_watch_store(own: WatchCandidate, others: Iterable[WatchCandidate]) -> bool:
    """Return whether an entry watches the store.

    Args:
        own: The entry in question.
        others: The other entries that are live and not shutting down.
    """
    candidates = [own, *others]
    # While the store answers no entry, some entries must still call it to detect its recovery.
    eligible = [each.name for each in candidates if each.store_ok] or [
        each.name for each in candidates
    ]
    return own.name in preferred_nodes(_RENDEZVOUS_KEY, eligible, WATCHER_COUNT)
