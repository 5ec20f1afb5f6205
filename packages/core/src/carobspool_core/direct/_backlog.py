"""Order of waiting batch items across entries when free slots are scarce.

Load pattern: a burst of online requests has ended, or some engines are gone, and every entry has
items waiting. All entries see the same free slots through hints that are some 50 ms old. Without a
common order all entries start items at once, exceed the free slots and cancel each other's runs.
Items with a late due time at one entry also run before items with an early due time at another.

Entries therefore send each other the turns (sort keys, see `turn_of`) of their waiting items. An
entry starts an item only if there are more free slots than items of other entries with a lower
turn. Items that can no longer be on time also have turns, behind all others: under overload most
waiting items are late, and without turns all entries would start one at each slot that becomes
free.
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
"""How long free slots are held for other entries. These learn of the slots from a hint and start
items within 100 ms, unless they cannot reach the upstreams; the slots would then stay unused."""


class WaitingGroup(Struct, frozen=True):
    """Waiting items of one entry that have the same turn.

    Attributes:
        turn: Sort key of the items, see `turn_of`.
        items: Number of items.
    """

    turn: Millis
    items: int


def group_waiting(turns: Iterable[Millis]) -> tuple[WaitingGroup, ...]:
    """Group waiting items by turn and return the groups that a hint reports, lowest turn first."""
    counted = Counter(turns)
    return tuple(
        WaitingGroup(turn, counted[turn]) for turn in sorted(counted)[:MAX_GROUPS_PER_HINT]
    )


class Backlog:
    """The items that wait at other entries.

    Not thread-safe; callers pass in the time.
    """

    __slots__ = ("_held_since", "_peer_reports")

    def __init__(self) -> None:
        self._peer_reports: dict[str, tuple[Millis, Sequence[WaitingGroup]]] = {}
        self._held_since: Millis | None = None

    def take(self, peer: str, groups: Sequence[WaitingGroup], now: Millis) -> None:
        """Replace the reported waiting items of another entry."""
        if groups:
            self._peer_reports[peer] = (now, groups)
        else:
            self._peer_reports.pop(peer, None)

    def may_start(self, turn: Millis, *, room: int, now: Millis) -> bool:
        """Return whether this entry may start an item before the other entries start theirs.

        Args:
            turn: Turn of the item.
            room: Slots that are free for the item.
            now: Current time.
        """
        if room > self._items_ahead(turn, now):
            self._held_since = None
            return True
        if room <= 0:
            self._held_since = None
            return False
        if self._held_since is None:
            self._held_since = now
        return now - self._held_since > MAX_HOLD_TIME

    def _items_ahead(self, turn: Millis, now: Millis) -> int:
        ahead = 0
        for peer, (received_at, groups) in list(self._peer_reports.items()):
            age = now - received_at
            if age > PEER_REPORT_TTL:
                del self._peer_reports[peer]
                continue
            for group in groups:
                if group.turn - age < turn:
                    ahead += group.items
        return ahead
