"""Passing hints between entries: whom to dial, what to pass on, what it may cost.

Load pattern: news that every entry should know within a second (a suspect, a leaving host, a new
revision) among 380 entries, on days when many hosts fail together. Sent by its origin to all, one
hint costs that node 380 messages; passed on without memory, hints circle for ever.

Each entry dials the next entry on a ring of digests, which keeps the whole connected, and four by
rendezvous as shortcuts. Links carry hints both ways, so a node has about ten and 380 entries are
reached in four hops. A hint is passed on once, when it is new. Hints only spare reads of the
object store, so under pressure the less urgent are dropped: the store is asked later anyway.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from random import Random

from carobspool_core._clock import Clock, Millis
from carobspool_core._messages import Hint, HintKind
from carobspool_core._rendezvous import first, rank

SHORTCUTS = 4
FAN_OUT = 3
"""Links on which a hint that is not urgent goes on: three reach over nine tenths of the entries,
and who misses it reads the store a little later."""
BYTES_PER_SECOND = 1_500.0
"""Half of the 3 KB/s that a node may spend on control; heartbeats have the other half."""
BURST_BYTES = 15_000.0
"""Ten seconds' worth, for the hints of one failure domain that goes."""
URGENT_DEBT_BYTES = 60_000.0
"""How far urgent hints may overdraw: 380 hosts leaving at once, 160 bytes each, once passed on."""
WINDOW = 1_024
"""Sequence numbers remembered for an origin; older hints are dropped as seen."""
MAX_ORIGINS = 4_096
"""Origins remembered: ten incarnations of each of 380 entries."""

_URGENT = frozenset(
    {HintKind.SUSPECT, HintKind.QUARANTINE, HintKind.HOST_LEAVING, HintKind.CONFIGURATION}
)


def peers_to_dial(entry: str, entries: Sequence[str]) -> list[str]:
    """Return the entries to which ``entry`` keeps connections.

    Args:
        entry: The dialling entry.
        entries: All live entries, with or without ``entry``.

    Since 0.1.
    """
    others = [each for each in entries if each != entry]
    if not others:
        return []
    ring = rank("ring", [*others, entry])
    successor = ring[(ring.index(entry) + 1) % len(ring)]
    shortcuts = first(entry, [each for each in others if each != successor], SHORTCUTS)
    return [successor, *shortcuts]


class _Seen:
    """Sequence numbers of one origin as a bit mask below the highest."""

    __slots__ = ("highest", "mask")

    def __init__(self) -> None:
        self.highest = -1
        self.mask = 0

    def add(self, sequence: int) -> bool:
        if sequence > self.highest:
            shift = sequence - self.highest
            self.mask = ((self.mask << shift) | 1) & ((1 << WINDOW) - 1) if shift < WINDOW else 1
            self.highest = sequence
            return True
        offset = self.highest - sequence
        if offset >= WINDOW or self.mask >> offset & 1:
            return False
        self.mask |= 1 << offset
        return True


class Gossip:
    """What one entry passes on.

    Args:
        clock: The process's clock.
        rng: Chooses the links of hints that are not urgent.

    Since 0.1.
    """

    __slots__ = ("_balance", "_balance_at", "_dropped", "_rng", "_seen")

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._rng = rng
        self._seen: OrderedDict[str, _Seen] = OrderedDict()
        self._balance = BURST_BYTES
        self._balance_at = clock.now()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Hints not passed on for want of budget, counted by link."""
        return self._dropped

    def is_new(self, hint: Hint) -> bool:
        """Return whether a hint is seen for the first time, and remember it.

        An origin that restarts must name itself anew or go on with higher numbers, else its hints
        count as seen.
        """
        seen = self._seen.get(hint.origin)
        if seen is None:
            seen = self._seen[hint.origin] = _Seen()
        self._seen.move_to_end(hint.origin)
        if len(self._seen) > MAX_ORIGINS:
            self._seen.popitem(last=False)
        return seen.add(hint.sequence)

    def links_for(
        self, hint: Hint, links: Sequence[str], size: int, now: Millis, *, source: str | None = None
    ) -> list[str]:
        """Return the connected entries to which a new hint is passed on.

        Args:
            hint: A hint for which `is_new` was true.
            links: All connected entries.
            size: Bytes that it takes on one link.
            now: The instant.
            source: The entry that it came from, ``None`` for the process's own.
        """
        self._refill(now)
        urgent = hint.kind in _URGENT
        chosen = [link for link in links if link != source]
        if not urgent and len(chosen) > FAN_OUT:
            chosen = self._rng.sample(chosen, FAN_OUT)
        floor = -URGENT_DEBT_BYTES if urgent else 0.0
        affordable = max(0, int((self._balance - floor) // size))
        self._dropped += max(0, len(chosen) - affordable)
        chosen = chosen[:affordable]
        self._balance -= size * len(chosen)
        return chosen

    def _refill(self, now: Millis) -> None:
        gained = (now - self._balance_at) * BYTES_PER_SECOND / 1000.0
        self._balance = min(BURST_BYTES, self._balance + gained)
        self._balance_at = now


def make_gossip(clock: Clock, rng: Random) -> Gossip:
    """Return the state of an entry that has seen no hint.

    Since 0.1.
    """
    return Gossip(clock, rng)
