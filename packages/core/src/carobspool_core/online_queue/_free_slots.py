"""Which of the free slots of a service this entry may use.

Load pattern: requests wait at dozens of entries, and all entries see the same slots become free in
hints that are some 50 ms old. If each entry started a request at each free slot, the requests would
queue at a few engines, and less urgent requests would take the slots of more urgent ones. A slot
belongs to the entry whose request has left it, which uses it or hands it over (`_handover`). For
a slot of an entry that does not know handovers all entries draw the same winner. A slot that nobody
has used for a while is free to more and more of the entries, by a number that each has drawn for
it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.online_queue._entry_queue import STARTS_PER_TURN

HOLD_TIME: Millis = 60.0
"""How long a slot is held for other entries: they learn of it within 50 ms. After this time each
entry may use the slot with a chance that doubles with each further period. If dozens of entries
could use it at once, all would start requests at the same engine."""
FEW_ENTRIES = 4
"""Up to this number of waiting entries, each may use a slot at once with a chance that is its share
of the waiting requests, and after the hold two of them do: a slot with two requests costs less than
a slot that stays empty."""
CAUTION = 0.06
"""Factor on the chance among more entries. Since slots are handed over, a slot that stays
free is mostly on its way to its next user. With 1, a third of such starts met a slot in use."""
SAFE_SHARE = 0.4
"""Share of the free slots that the others may use within a hint's age so that this entry uses any
slot at once. Other entries start requests there that this entry does not know of yet."""
HINT_AGE: Millis = 50.0
"""Age of the information about other entries."""
TREND_TIME: Millis = 300.0
"""Time over which the number of free slots is compared, to estimate the starts of other entries
that are not reported yet; within it some ten hints of each entry arrive."""
SCARCE_SHARE = 0.125
"""Slots are scarce if less than this share of them is free, one at each engine of 8 slots. While
they are not, no request waits for longer than its entry needs to place it."""
MAX_DOUBLINGS = 16
"""Periods after which a slot is free to any number of entries."""
MAX_CONSIDERED = 64
"""Free slots that one decision considers, the longest free first; it needs only one."""


class Competition(Struct, frozen=True, kw_only=True):
    """The requests that compete for slots with the first request of this entry.

    Attributes:
        ahead: Requests of more urgent classes at peers.
        equal: Requests of the same class at peers.
        own: Requests of the same class at this entry, the first one included.
        peers: Number of peers with waiting requests.
        unseen_ahead: Requests of more urgent ranks that have probably arrived at peers since their
            last reports.
        unseen_equal: The same for requests of the same class.
    """

    ahead: int = 0
    equal: int = 0
    own: int = 1
    peers: int = 0
    unseen_ahead: float = 0.0
    unseen_equal: float = 0.0

    @property
    def share(self) -> float:
        """Share of this entry in the requests of its class."""
        return self.own / (self.own + max(self.equal, self.unseen_equal))

    @property
    def entries(self) -> float:
        """Number of entries that may wait, this one included."""
        return 1.0 + max(self.peers, self.unseen_ahead + self.unseen_equal)


class _FreeSlot(Struct, eq=False):
    since: Millis
    drawn: float
    is_own: bool


class FreeSlots:
    """The free slots of one service. Not thread-safe; callers pass in the time and random numbers.

    Args:
        draw: Random numbers for the shares.
    """

    def __init__(self, draw: Random) -> None:
        self._draw = draw
        # Slots of one upstream are ordered by the time at which this entry first saw them free.
        self._slots: dict[str, list[_FreeSlot]] = {}
        self._free = 0
        self._is_scarce = False
        self._scarcity_changed_at: Millis = float("-inf")
        self._observed_at: Millis = 0.0
        self._left_by_own: set[str] = set()
        # Requests of this entry that have started less those that have ended.
        self._own_balance = 0
        # Free slots as they would be if no request of this entry had started or ended.
        self._history: deque[tuple[Millis, int]] = deque()

    @property
    def is_scarce(self) -> bool:
        """Whether so few slots are free, or were until recently, that requests wait for them."""
        return self._is_scarce or self._observed_at - self._scarcity_changed_at <= HOLD_TIME

    def own_slots(self) -> list[str]:
        """Return the upstreams of the free slots that requests of this entry have left.

        An upstream occurs once for each slot.
        """
        return [
            identity for identity, slots in self._slots.items() for each in slots if each.is_own
        ]

    def own_request_ended(self, identity: str) -> None:
        """Record that a request of this entry is about to leave its slot at an upstream."""
        self._left_by_own.add(identity)
        self._own_balance -= 1

    def own_slot_returned(self, identity: str) -> None:
        """Record that this entry decides again about a slot that it has handed over."""
        self._left_by_own.add(identity)

    def hand_over(self, identity: str) -> None:
        """Record that a slot which a request of this entry has left is handed over."""
        slots = self._slots[identity]
        slots.remove(next(each for each in slots if each.is_own))
        self._free -= 1

    def release_own(self, identity: str) -> None:
        """Leave a slot of this entry to the rules for slots of other entries."""
        next(each for each in self._slots[identity] if each.is_own).is_own = False

    def observe(self, free: Mapping[str, int], total_slots: int, now: Millis) -> None:
        """Record how many slots are free at each upstream, by its identity, and all slots."""
        for identity in self._slots.keys() - free.keys():
            del self._slots[identity]
        for identity, count in free.items():
            slots = self._slots.get(identity)
            if slots is None:
                slots = self._slots[identity] = []
            if len(slots) != count:
                self._adjust(identity, slots, count, now)
        self._left_by_own.clear()
        self._observed_at = now
        self._free = sum(free.values())
        is_scarce = self._free < total_slots * SCARCE_SHARE
        if is_scarce != self._is_scarce:
            self._is_scarce, self._scarcity_changed_at = is_scarce, now
        self._history.append((now, self._free + self._own_balance))
        while now - self._history[0][0] > TREND_TIME:
            self._history.popleft()

    def usable(
        self,
        competition: Competition,
        now: Millis,
        is_drawn: Callable[[str], bool],
        received: Callable[[str], bool] | None = None,
    ) -> frozenset[str] | None:
        """Return the upstreams that the first request of this entry may use.

        Args:
            competition: The requests that compete for the slots.
            now: Current time.
            is_drawn: Returns whether a free slot at an upstream is drawn for this entry.
            received: Returns whether a slot at an upstream was handed over to this entry,
                ``None`` if no slot was.

        Returns:
            Identities of upstreams, ``None`` for all of them.
        """
        if not self.is_scarce:
            return None
        handed: list[str] = []
        if received is not None:
            handed = [each for each, slots in self._slots.items() if slots and received(each)]
        if handed or (handed := self.own_slots()):
            return frozenset(handed)
        if self._free <= self._unseen_starts(now):
            return frozenset()
        # Each peer that waits may have started one more request that it has not reported yet.
        if (
            self._free * SAFE_SHARE
            > competition.ahead + competition.equal + competition.entries - 1.0
        ):
            return None
        by_age = [
            (slot.since, identity, slot)
            for identity, slots in self._slots.items()
            for slot in slots
        ]
        by_age.sort(key=lambda each: each[0])
        found = set()
        ends = competition.ahead + competition.equal + competition.own
        for index, (since, identity, slot) in enumerate(by_age[:MAX_CONSIDERED]):
            age = now - max(since, self._scarcity_changed_at)
            if slot.drawn < _chance(slot, index, age, competition):
                found.add(identity)
                continue
            if not found and competition.ahead <= index < ends and is_drawn(identity):
                found.add(identity)
        return frozenset(found)

    def take(self, identity: str) -> None:
        """Record that a request of this entry has started at an upstream."""
        slots = self._slots.get(identity)
        if slots:
            slots.remove(min(slots, key=lambda slot: (not slot.is_own, slot.drawn)))
            self._free -= 1
        self._own_balance += 1

    def _adjust(self, identity: str, slots: list[_FreeSlot], count: int, now: Millis) -> None:
        while len(slots) > count:
            # Other entries have taken the slots that this entry was least likely to use.
            slots.remove(max(slots, key=lambda slot: (not slot.is_own, slot.drawn)))
        while len(slots) < count:
            slots.append(_FreeSlot(now, self._draw.random(), identity in self._left_by_own))
            self._left_by_own.discard(identity)

    def _unseen_starts(self, now: Millis) -> float:
        """Return how many of the free slots are probably taken by starts not yet reported."""
        since, free = self._history[0]
        span = max(HINT_AGE, now - since)
        return max(0.0, (free - self._free - self._own_balance) / span * HINT_AGE)


def _chance(slot: _FreeSlot, index: int, age: Millis, competition: Competition) -> float:
    """Return the chance that this entry uses a free slot of an age.

    Args:
        slot: The slot.
        index: Number of slots that have been free for longer.
        age: How long the slot has been free.
        competition: The requests that compete for it.
    """
    # Few entries need not wait until all of them know of each other's requests.
    chance = competition.share if competition.entries <= FEW_ENTRIES else 0.0
    if index < competition.ahead + round(competition.unseen_ahead):
        chance = competition.share / STARTS_PER_TURN
    periods = min(MAX_DOUBLINGS, int(age / HOLD_TIME))
    if periods:
        caution = 1.0 if competition.entries <= FEW_ENTRIES else CAUTION
        chance = max(chance, caution * 2.0**periods / competition.entries)
    return chance
