"""The handovers of slots that last, as one entry knows them.

Load pattern: hints between dozens of entries are up to 50 ms old and 2% of them are lost, so a
handover reaches an entry late, several times or not at all.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.direct._fleet_loads import NO_LOAD, Load
from carobspool_core.direct._upstream_identity import short_key_of
from carobspool_core.online_queue._handover_readers import HandoverReaders

HANDOVER_TIME: Millis = 120.0
"""How long a handover lasts at most: a hint's age of 50 ms in both directions, and one lost
hint."""
REPEAT_AFTER: Millis = 40.0
"""Time after which a hint with a handover is due even if nothing else has changed: a hint that was
lost is then replaced in time for the receiver to use the slot."""
MEMORY_TIME: Millis = 1_000.0
"""How long the number of a handover is kept after its end, so that a hint that arrives late does
not begin it again. Numbers of one sender repeat after 65,536 handovers."""
NUMBERS = 0x10000


class Handover(Struct, frozen=True, kw_only=True):
    """A slot that its sender leaves to another entry.

    Attributes:
        upstream: Key of the upstream.
        receiver: Key of the entry that may use the slot.
        number: Number of the handover at its sender.
        age: Time since it began.
    """

    upstream: int
    receiver: int
    number: int
    age: Millis


class _Lasting(Struct, eq=False):
    upstream: int
    receiver: int
    number: int
    began: Millis
    is_repeated: bool = False


class Handovers:
    """The handovers that this entry has sent or received, and those between other entries.

    Not thread-safe; callers pass in the time.

    Attributes:
        readers: The peers that read handovers.
        version: Changes when a hint to the peers is due.

    Args:
        name: Name of this entry.
        first_number: Number of the first handover. It is drawn at random, since an entry that
            starts anew must not use the numbers of its previous process again.
    """

    def __init__(self, name: str, *, first_number: int = 0) -> None:
        self._key = short_key_of(name)
        self._next_number = first_number % NUMBERS
        self._sent: list[_Lasting] = []
        # By sender and number: those that last, and when those that have ended were ended.
        self._known: dict[tuple[str, int], _Lasting] = {}
        self._ended: dict[tuple[str, int], Millis] = {}
        self._taken: Counter[int] = Counter()
        self._received: Counter[int] = Counter()
        self._promised: Counter[int] = Counter()
        # When this entry took back slots, by the upstream's key.
        self._returned: dict[int, Millis] = {}
        self.readers = HandoverReaders()
        self.version = 0

    @property
    def received(self) -> Mapping[int, int]:
        """Slots that were handed over to this entry and not used yet, by the upstream's key."""
        return self._received

    @property
    def taken(self) -> Mapping[int, int]:
        """Slots that only other entries may use, by the upstream's key."""
        return self._taken

    def promised(self) -> dict[str, int]:
        """Return the slots that are handed over to peers and not used yet, by the peer's name."""
        return self.readers.by_name(self._promised)

    def send(self, upstream: int, receiver: str, now: Millis) -> int:
        """Hand over a slot and return the number of the handover."""
        number = self._next_number
        self._next_number = (number + 1) % NUMBERS
        self._sent.append(self._begin(upstream, short_key_of(receiver), number, now))
        self.version += 1
        return number

    def lasting(self, now: Millis) -> list[Handover]:
        """Return the handovers of this entry that last, for its hints."""
        return [
            Handover(
                upstream=each.upstream,
                receiver=each.receiver,
                number=each.number,
                age=max(0.0, now - each.began),
            )
            for each in self._sent
        ]

    def apply_handovers(self, sender: str, handovers: Iterable[Handover], now: Millis) -> bool:
        """Record the handovers in a hint; return whether one is new and for this entry.

        A sender repeats its handovers, so those that it no longer names have ended.
        """
        named = {(sender, each.number): each for each in handovers}
        for key in [key for key in self._known if key[0] == sender and key not in named]:
            self._end_known(key, now)
        is_new = False
        for key, each in named.items():
            if key in self._known or key in self._ended or each.age > HANDOVER_TIME:
                continue
            began = now - each.age
            self._known[key] = self._begin(each.upstream, each.receiver, each.number, began)
            is_new = is_new or each.receiver == self._key
        return is_new

    def apply_loads(
        self, peer: str, loads: Mapping[int, Load], waiting: int, now: Millis
    ) -> tuple[int, int]:
        """Record the loads in a hint of a peer that reads handovers, by the upstream's key.

        A further request of the receiver at the upstream ends a handover. This entry also takes
        back the slots for which no requests of the receiver wait any longer: they have often found
        other slots before the handover reaches the receiver.

        Args:
            peer: Name of the peer.
            loads: Its requests in flight.
            waiting: Number of its requests that wait.
            now: Current time.

        Returns:
            The numbers of this entry's handovers that the peer has used, and that this entry has
            taken back.
        """
        key = short_key_of(peer)
        before = self.readers.record_loads(peer, loads)
        if key not in self._promised:
            return 0, 0
        started: dict[int, int] = {}
        for upstream in {each.upstream for each in self._lasting() if each.receiver == key}:
            more = loads.get(upstream, NO_LOAD).online - before.get(upstream, NO_LOAD).online
            started[upstream] = more
        sent = [each for each in self._sent if each.receiver == key]
        used = [each for each in sent if _take_one(started, each.upstream)]
        for each in used:
            self._end_sent(each)
        known = [each for each in self._known.items() if each[1].receiver == key]
        for number, other in known:
            if _take_one(started, other.upstream):
                self._end_known(number, now)
        surplus = [each for each in sent if each not in used][waiting:]
        for each in surplus:
            self._take_back(each, now)
        return len(used), len(surplus)

    def use(self, upstream: int, now: Millis) -> None:
        """Record that this entry uses a slot; if one was handed over to it, that handover ends."""
        if upstream not in self._received:
            return
        for key, each in self._known.items():
            if each.receiver == self._key and each.upstream == upstream:
                self._end_known(key, now)
                return

    def expire(self, now: Millis) -> int:
        """End the handovers whose time is over; return how many of them this entry has sent."""
        for each in self._sent:
            if not each.is_repeated and now - each.began > REPEAT_AFTER:
                each.is_repeated = True
                self.version += 1
        late = [each for each in self._sent if now - each.began > HANDOVER_TIME]
        for each in late:
            self._take_back(each, now)
            self.readers.mark_silent(each.receiver)
        for key in [k for k, each in self._known.items() if now - each.began > HANDOVER_TIME]:
            self._end_known(key, now)
        while self._ended:
            key = next(iter(self._ended))
            if now - self._ended[key] <= MEMORY_TIME:
                break
            del self._ended[key]
        for upstream in [k for k, at in self._returned.items() if now - at > HANDOVER_TIME]:
            del self._returned[upstream]
        return len(late)

    @property
    def has_returned(self) -> bool:
        """Whether this entry has taken back slots that it has not claimed."""
        return bool(self._returned)

    def claim_returned(self, upstream: int) -> bool:
        """Return whether this entry has taken back a slot at an upstream, once for each slot."""
        return self._returned.pop(upstream, None) is not None

    def _lasting(self) -> Iterator[_Lasting]:
        return itertools.chain(self._sent, self._known.values())

    def _begin(self, upstream: int, receiver: int, number: int, began: Millis) -> _Lasting:
        if receiver == self._key:
            self._received[upstream] += 1
        else:
            self._taken[upstream] += 1
            self._promised[receiver] += 1
        return _Lasting(upstream, receiver, number, began)

    def _end(self, handover: _Lasting) -> None:
        if handover.receiver == self._key:
            _subtract(self._received, handover.upstream)
            return
        _subtract(self._taken, handover.upstream)
        _subtract(self._promised, handover.receiver)

    def _end_known(self, key: tuple[str, int], now: Millis) -> None:
        self._end(self._known.pop(key))
        self._ended[key] = now

    def _end_sent(self, handover: _Lasting) -> None:
        self._sent.remove(handover)
        self._end(handover)

    def _take_back(self, handover: _Lasting, now: Millis) -> None:
        """End a handover of this entry unused: this entry decides about the slot again."""
        self._end_sent(handover)
        self._returned[handover.upstream] = now
        self.version += 1


def _take_one(counts: dict[int, int], key: int) -> bool:
    if counts.get(key, 0) <= 0:
        return False
    counts[key] -= 1
    return True


def _subtract(counts: Counter[int], key: int) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
