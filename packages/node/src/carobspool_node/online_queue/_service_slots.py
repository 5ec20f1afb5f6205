"""The free slots of one service, with those that entries hand over to each other."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache
from random import Random

from carobspool_core import Millis
from carobspool_core.direct import short_key_of
from carobspool_core.online_queue import (
    Competition,
    FleetWaiting,
    FreeSlots,
    Handovers,
    WaitingClass,
    choose_receiver,
)

HandoverCallback = Callable[[str, str, int, int], None]
"""Called with the upstream's identity, the name of the receiver, the rank of the request that waits
there, and the number of the handover."""

key_of = lru_cache(4_096)(short_key_of)
"""Returns the key of an upstream; a decision reads those of all upstreams of a service."""


class ServiceSlots:
    """The free slots of one service. Not thread-safe; callers pass in the time.

    Args:
        peers: Requests of the service that wait at the other entries.
        handovers: Slots that are handed over between entries.
        draw: Random numbers.
        on_handover: Called for each slot that is handed over.
    """

    def __init__(
        self,
        peers: FleetWaiting,
        handovers: Handovers,
        draw: Random,
        on_handover: HandoverCallback,
    ) -> None:
        self._peers = peers
        self._handovers = handovers
        self._draw = draw
        self._on_handover = on_handover
        self._free = FreeSlots(draw)

    @property
    def has_own_slots(self) -> bool:
        """Whether this entry decides about free slots that its requests have left."""
        return self._free.is_scarce and bool(self._free.own_slots())

    def observe(self, free: Mapping[str, int], slots: int, now: Millis) -> None:
        """Record the free slots by upstream, and the slots of all upstreams."""
        taken = self._handovers.taken
        if taken:
            left = {each: count - taken.get(key_of(each), 0) for each, count in free.items()}
            free = {each: count for each, count in left.items() if count > 0}
        if self._handovers.has_returned:
            for identity in free:
                if self._handovers.claim_returned(key_of(identity)):
                    self._free.own_slot_returned(identity)
        self._free.observe(free, slots, now)

    def own_request_ended(self, identity: str) -> None:
        """Record that a request of this entry is about to leave its slot at an upstream."""
        self._free.own_request_ended(identity)

    def hand_over(self, own: Mapping[WaitingClass, int], now: Millis) -> bool:
        """Decide about one slot that a request of this entry has left.

        Args:
            own: Numbers of the requests that wait here, by rank and class.
            now: Current time.

        Returns:
            Whether the slot no longer belongs to this entry.
        """
        identity = self._free.own_slots()[0]
        found = choose_receiver(own, self._peers, self._handovers.promised(), self._draw)
        if found is None:
            return False
        receiver, waiting = found
        if receiver not in self._handovers.readers:
            # The peer uses the slot by its own rules.
            self._free.release_own(identity)
            return True
        number = self._handovers.send(key_of(identity), receiver, now)
        self._free.hand_over(identity)
        self._on_handover(identity, receiver, waiting[0], number)
        return True

    def usable(
        self, competition: Competition, now: Millis, is_drawn: Callable[[str], bool]
    ) -> frozenset[str] | None:
        """Return the upstreams that the first request may use, ``None`` for all of them."""
        handovers = self._handovers
        return self._free.usable(
            competition,
            now,
            lambda identity: not handovers.readers.are_all and is_drawn(identity),
            (lambda each: key_of(each) in handovers.received) if handovers.received else None,
        )

    def take(self, identity: str, now: Millis) -> None:
        """Record that a request of this entry has started at an upstream."""
        self._free.take(identity)
        self._handovers.use(key_of(identity), now)
