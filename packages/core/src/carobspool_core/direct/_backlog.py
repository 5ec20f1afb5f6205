"""Order of waiting batch items across entries when free slots are scarce.

Load pattern: a burst of online requests has ended, or some engines are gone, and every entry has
items waiting. All entries see the same free slots through hints that are some 50 ms old. Without a
common order all entries start items at once, exceed the free slots and cancel each other's runs.
Items with a late due time at one entry also run before items with an early due time at another.

Entries therefore send each other the start orders (sort keys, see `start_order_of`) of their
waiting items, with the services that run them. An entry starts an item only if there are more free
slots than items of other entries for the same service with a lower start order. Items that can no
longer be on time also have a start order, behind all other items: under overload most waiting items
are late, and without a start order all entries would start a late item at each slot that becomes
free.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from carobspool_core._clock import Millis

MAX_GROUPS_PER_HINT = 16
"""Groups of waiting items in one hint; groups beyond them wait behind more items than there are
free slots. Services share these groups, so that a service that is overloaded does not hide the
items of others."""
UNKNOWN_SERVICE = 0
"""Key of the service of items that an entry of the previous version reports."""
PEER_REPORT_TTL: Millis = 700.0
"""How long a report of another entry counts; every entry reports at least twice a second."""
MAX_HOLD_TIME: Millis = 300.0
"""How long free slots are held for other entries. The other entries learn of the slots from a hint
and start items within 100 ms, unless they cannot reach the upstreams; the slots would then stay
unused."""


class WaitingGroup(Struct, frozen=True):
    """Waiting items of one entry for one service that have the same start order.

    Attributes:
        start_order: Sort key of the items, see `start_order_of`.
        items: Number of items.
        service_key: Key of the service, see `short_key_of`.
    """

    start_order: Millis
    items: int
    service_key: int = UNKNOWN_SERVICE


def group_by_start_order(start_orders: Iterable[Millis]) -> tuple[WaitingGroup, ...]:
    """Group waiting items of one service and return the groups for a hint, the lowest first."""
    counted = Counter(start_orders)
    return lowest_groups(
        WaitingGroup(start_order, counted[start_order]) for start_order in sorted(counted)
    )


def lowest_groups(ordered: Iterable[WaitingGroup]) -> tuple[WaitingGroup, ...]:
    """Return the groups for a hint.

    Args:
        ordered: All groups, the lowest start order first.
    """
    by_service: dict[int, list[WaitingGroup]] = {}
    for group in ordered:
        groups = by_service.setdefault(group.service_key, [])
        if groups and groups[-1].start_order == group.start_order:
            items = groups[-1].items + group.items
            groups[-1] = WaitingGroup(group.start_order, items, group.service_key)
        elif len(groups) < MAX_GROUPS_PER_HINT:
            groups.append(group)
    share = max(1, MAX_GROUPS_PER_HINT // max(1, len(by_service)))
    found = [group for groups in by_service.values() for group in groups[:share]]
    return tuple(sorted(found, key=lambda group: group.start_order)[:MAX_GROUPS_PER_HINT])


class PeerBacklog:
    """The items that wait at other entries.

    Not thread-safe; callers pass in the time.
    """

    __slots__ = ("_held_since", "_peer_reports")

    def __init__(self) -> None:
        self._peer_reports: dict[str, tuple[Millis, Sequence[WaitingGroup]]] = {}
        self._held_since: dict[int, Millis] = {}

    def update_peer(self, peer: str, groups: Sequence[WaitingGroup], now: Millis) -> None:
        """Replace the reported waiting items of another entry."""
        if groups:
            self._peer_reports[peer] = (now, groups)
        else:
            self._peer_reports.pop(peer, None)

    def may_start(
        self,
        start_order: Millis,
        *,
        free_slots: int,
        now: Millis,
        service_key: int = UNKNOWN_SERVICE,
    ) -> bool:
        """Return whether this entry may start an item before the other entries start theirs.

        Args:
            start_order: Start order of the item.
            free_slots: Slots that are free for the item.
            now: Current time.
            service_key: Key of the service that runs the item; `UNKNOWN_SERVICE` makes it wait for
                the items of all services.
        """
        ahead = self._items_ahead(start_order, service_key, now)
        if free_slots > ahead or free_slots <= 0:
            self._held_since.pop(service_key, None)
            return free_slots > ahead
        return now - self._held_since.setdefault(service_key, now) > MAX_HOLD_TIME

    def _items_ahead(self, start_order: Millis, service_key: int, now: Millis) -> int:
        ahead = 0
        for peer, (received_at, groups) in list(self._peer_reports.items()):
            age = now - received_at
            if age > PEER_REPORT_TTL:
                del self._peer_reports[peer]
                continue
            for group in groups:
                is_other = group.service_key != service_key
                if is_other and UNKNOWN_SERVICE not in (group.service_key, service_key):
                    continue
                if group.start_order - age < start_order:
                    ahead += group.items
        return ahead
