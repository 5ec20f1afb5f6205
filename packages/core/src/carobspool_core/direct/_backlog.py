"""Which entry's batch items go first when there is less room than items that wait.

Load pattern: a burst of online requests has ended, or some engines are gone, and every entry has
items waiting. Each sees the same free places, by hints some 50 ms old. Without an order among them
all start items at once, more than there are places, and cut each other's runs; and items that are
due late at one entry run before items that are due soon at another.

So entries tell each other the turns of their waiting items. An entry starts an item only when there
are more free places than items of other entries whose turn comes sooner. Items that can no longer
be on time have a turn too, behind all others: under overload they are most of what waits, and every
place that comes free would be taken by all entries at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from msgspec import Struct

from carobspool_core._clock import Millis

MAX_GROUPS = 16
"""Groups of waiting items that a hint names; later ones are behind more items than there is room
for."""
TOLD_FOR: Millis = 700.0
"""How long what another entry told counts; it tells twice a second at least."""
LONGEST_HOLD: Millis = 300.0
"""How long room is left to others. They know of it after a hint and start within 100 ms,
unless they cannot reach the upstreams; then nobody would use the room."""


class WaitingGroup(Struct, frozen=True):
    """Items that wait at one entry and have the same turn.

    Attributes:
        turn: See `turn_of`.
        items: How many they are.
    """

    turn: Millis
    items: int


def group_waiting(turns: Iterable[Millis]) -> tuple[WaitingGroup, ...]:
    """Return the groups of items to tell others of, by the turn of each item."""
    counted = Counter(turns)
    return tuple(WaitingGroup(turn, counted[turn]) for turn in sorted(counted)[:MAX_GROUPS])


class Backlog:
    """The items that wait at other entries. Not safe for threads; times are passed in."""

    __slots__ = ("_held_since", "_told")

    def __init__(self) -> None:
        self._told: dict[str, tuple[Millis, Sequence[WaitingGroup]]] = {}
        self._held_since: Millis | None = None

    def take(self, peer: str, groups: Sequence[WaitingGroup], now: Millis) -> None:
        """Take what waits at another entry."""
        if groups:
            self._told[peer] = (now, groups)
        else:
            self._told.pop(peer, None)

    def may_start(self, turn: Millis, *, room: int, now: Millis) -> bool:
        """Return whether an item of this entry goes before those of the others.

        Args:
            turn: Turn of the item.
            room: Places that are free for it.
            now: The time.
        """
        if room > self._ahead(turn, now):
            self._held_since = None
            return True
        if room <= 0:
            self._held_since = None
            return False
        if self._held_since is None:
            self._held_since = now
        return now - self._held_since > LONGEST_HOLD

    def _ahead(self, turn: Millis, now: Millis) -> int:
        ahead = 0
        for peer, (told, groups) in list(self._told.items()):
            age = now - told
            if age > TOLD_FOR:
                del self._told[peer]
                continue
            for group in groups:
                if group.turn - age < turn:
                    ahead += group.items
        return ahead
