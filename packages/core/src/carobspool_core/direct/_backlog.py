"""Order of waiting batch items across entries when free slots are scarce.

Load pattern: a burst of online requests has ended, or some engines are gone, and every entry has
items waiting. All entries see the same free slots through hints that are some 50 ms old. Without a
common order all entries start items at once, exceed the free slots and cancel each other's runs.
Items with a late due time at one entry also run before items with an early due time at another.

Entries therefore send each other the start orders (sort keys, see `start_order_of`) of their
waiting items. An entry starts an item only if there are more free slots than items of other entries
with a lower start order. Items that can no longer be on time also have a start order, behind all
other items: under overload most waiting items are late, and without a start order all entries would
start a late item at each slot that becomes free.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from carobspool_core._clock import Millis

MAX_GROUPS_PER_HINT = 16
"""Groups of waiting items in one hint; groups beyond them wait behind more items than there are
free slots."""
PEER_REPORT_TTL: Millis = 700.0
"""How long a report of another entry counts; every entry reports at least twice a second."""
MAX_HOLD_TIME: Millis = 300.0
"""How long free slots are held for other entries. The other entries learn of the slots from a hint
and start items within 100 ms, unless they cannot reach the upstreams; the slots would then stay
unused."""


class WaitingGroup(Struct, frozen=True):
    """Waiting items of one entry that have the same start order.

    Attributes:
        start_order: Sort key of the items, see `start_order_of`.
        items: Number of items.
    """

    start_order: Millis
    items: int


def group_by_start_order(start_orders: Iterable[Millis]) -> tuple[WaitingGroup, ...]:
    """Group waiting items by start order and return the groups for a hint, the lowest first."""
    counted = Counter(start_orders)
    return tuple(
        WaitingGroup(start_order, counted[start_order])
        for start_order in sorted(counted)[:MAX_GROUPS_PER_HINT]
    )


class PeerBacklog:
    """The items that wait at other entries.

    Not thread-safe; callers pass in the time.
    """

    __slots__ = ("_held_since", "_peer_reports")

    def __init__(self) -> None:
        self._peer_reports: dict[str, tuple[Millis, Sequence[WaitingGroup]]] = {}
        self._held_since: Millis | None = None

    def update_peer(self, peer: str, groups: Sequence[WaitingGroup], now: Millis) -> None:
        """Replace the reported waiting items of another entry."""
        if groups:
            self._peer_reports[peer] = (now, groups)
        else:
            self._peer_reports.pop(peer, None)

    def may_start(self, start_order: Millis, *, free_slots: int, now: Millis) -> bool:
        """Return whether this entry may start an item before the other entries start theirs.

        Args:
            start_order: Start order of the item.
            free_slots: Slots that are free for the item.
            now: Current time.
        """
        if free_slots > self._items_ahead(start_order, now):
            self._held_since = None
            return True
        if free_slots <= 0:
            self._held_since = None
            return False
        if self._held_since is None:
            self._held_since = now
        return now - self._held_since > MAX_HOLD_TIME

    def _items_ahead(self, start_order: Millis, now: Millis) -> int:
        ahead = 0
        for peer, (received_at, groups) in list(self._peer_reports.items()):
            age = now - received_at
            if age > PEER_REPORT_TTL:
                del self._peer_reports[peer]
                continue
            for group in groups:
                if group.start_order - age < start_order:
                    ahead += group.items
        return ahead
