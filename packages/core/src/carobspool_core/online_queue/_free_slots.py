"""Which of the free slots of a service this entry may use.

Load pattern: requests wait at dozens of entries, and all entries see the same slots become free in
hints that are some 50 ms old. If each entry started a request at each free slot, the requests would
queue at a few engines, and less urgent requests would take the slots of more urgent ones. Each
entry therefore draws a number for each free slot that it sees. It uses the slot if the number is
below its share of the waiting requests.
"""

from __future__ import annotations

from random import Random

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.online_queue._entry_queue import STARTS_PER_TURN

HOLD_TIME: Millis = 60.0
"""How long a slot is held for other entries: they learn of it within 50 ms. After this time the
entry's chance doubles with each further period, beginning at two of the entries that wait. With two
entries the slot is free to both at once; with dozens, all would start requests at the same engine
if the hold ended at once."""
MAX_DOUBLINGS = 16
"""Periods after which a slot is free to any number of entries."""
MAX_TRACKED = 64
"""Free slots for which numbers are drawn. If more are free, they are hardly scarce."""


class Competition(Struct, frozen=True, kw_only=True):
    """The requests that compete for slots with the first request of this entry.

    Attributes:
        ahead: Requests of more urgent classes at peers.
        equal: Requests of the same class at peers.
        own: Requests of the same class at this entry, the first one included.
        peers: Number of peers with waiting requests.
    """

    ahead: int = 0
    equal: int = 0
    own: int = 1
    peers: int = 0


class _FreeSlot(Struct, eq=False):
    since: Millis
    drawn: float


class FreeSlots:
    """The free slots of one service. Not thread-safe; callers pass in the time and random numbers.

    Args:
        draw: Random numbers for the shares.
    """

    def __init__(self, draw: Random) -> None:
        self._draw = draw
        # Ordered by the time at which this entry first saw the slot free.
        self._slots: list[_FreeSlot] = []
        self._free = 0

    def observe(self, free: int, now: Millis) -> None:
        """Record how many slots are free now."""
        self._free = max(0, free)
        tracked = min(self._free, MAX_TRACKED)
        if tracked < len(self._slots):
            # The slots that were taken are those that this entry was least likely to use.
            taken = sorted(self._slots, key=lambda slot: slot.drawn)[tracked:]
            self._slots = [slot for slot in self._slots if slot not in taken]
        while len(self._slots) < tracked:
            self._slots.append(_FreeSlot(now, self._draw.random()))

    def take(self, competition: Competition, now: Millis) -> bool:
        """Take a slot for the first request of this entry; return whether it may use one."""
        if self._free > competition.ahead + competition.equal:
            self._free -= 1
            del self._slots[: len(self._slots) - self._free]
            return True
        share = competition.own / (competition.own + competition.equal)
        for index, slot in enumerate(self._slots):
            if slot.drawn < _chance(index, now - slot.since, share, competition):
                del self._slots[index]
                self._free -= 1
                return True
        return False


def _chance(index: int, age: Millis, share: float, competition: Competition) -> float:
    """Return the chance that this entry uses a free slot of an age."""
    chance = share
    if index < competition.ahead:
        chance = share / STARTS_PER_TURN
    periods = min(MAX_DOUBLINGS, int(age / HOLD_TIME))
    if periods:
        chance = max(chance, 2.0**periods / (1 + competition.peers))
    return chance
