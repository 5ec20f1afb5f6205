"""Gossip of hints between entries: which entries to connect to, what to forward, at what cost.

Load pattern: information that every one of 380 entries should have within a second (a suspect, a
leaving host, a new revision) while many hosts fail together. If the origin sent a hint to all
entries, one hint would cost 380 messages. Without a record of seen hints, hints would circulate
for ever.

Each entry connects to the next entry on a ring of digests, which keeps the graph connected, and to
four entries chosen by rendezvous hashing as shortcuts. Links carry hints both ways, so a node has
about ten links and a hint reaches 380 entries in four hops. A hint is forwarded once, when it is
new. Hints only save reads of the object store, so the less urgent hints are dropped when the budget
is exhausted: entries read the store later anyway.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from random import Random

from carobspool_core._clock import Clock, Millis
from carobspool_core._messages import Hint, HintKind
from carobspool_core._rendezvous import preferred_nodes, rank_nodes

SHORTCUTS = 4
FAN_OUT = 3
"""Links on which a hint that is not urgent is forwarded. Three links reach over nine tenths of the
entries; an entry that misses the hint reads the store a little later."""
BYTES_PER_SECOND = 1_500.0
"""Half of the 3 KB/s that a node may spend on control traffic; the other half is for heartbeats."""
BURST_BYTES = 15_000.0
"""Budget of ten seconds, for the hints about the loss of one failure domain."""
MAX_URGENT_DEBT_BYTES = 60_000.0
"""How far urgent hints may exceed the budget: 380 hosts leaving at once, with 160 bytes each and
each hint forwarded once."""
SEQUENCE_WINDOW = 1_024
"""Sequence numbers remembered per origin; older hints are dropped as seen."""
MAX_ORIGINS = 4_096
"""Origins remembered: ten incarnations of each of 380 entries."""

_URGENT = frozenset(
    {HintKind.SUSPECT, HintKind.QUARANTINE, HintKind.HOST_LEAVING, HintKind.CONFIGURATION}
)


def peers_to_dial(entry: str, entries: Sequence[str]) -> list[str]:
    """Return the entries to which ``entry`` keeps connections.

    Args:
        entry: The entry that opens the connections.
        entries: All live entries; may omit ``entry``.

    Since 0.1.
    """
    others = [each for each in entries if each != entry]
    if not others:
        return []
    ring = rank_nodes("ring", [*others, entry])
    successor = ring[(ring.index(entry) + 1) % len(ring)]
    shortcuts = preferred_nodes(entry, [each for each in others if each != successor], SHORTCUTS)
    return [successor, *shortcuts]


class _SeenSequences:
    """The seen sequence numbers of one origin, as a bit mask relative to the highest."""

    __slots__ = ("highest", "mask")

    def __init__(self) -> None:
        self.highest = -1
        self.mask = 0

    def add(self, sequence: int) -> bool:
        if sequence > self.highest:
            shift = sequence - self.highest
            self.mask = (
                ((self.mask << shift) | 1) & ((1 << SEQUENCE_WINDOW) - 1)
                if shift < SEQUENCE_WINDOW
                else 1
            )
            self.highest = sequence
            return True
        offset = self.highest - sequence
        if offset >= SEQUENCE_WINDOW or self.mask >> offset & 1:
            return False
        self.mask |= 1 << offset
        return True


class Gossip:
    """Decides which hints one entry forwards, and on which links.

    Args:
        clock: The process's clock.
        rng: Samples the links for hints that are not urgent.

    Since 0.1.
    """

    __slots__ = ("_balance", "_dropped", "_refilled_at", "_rng", "_seen")

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._rng = rng
        self._seen: OrderedDict[str, _SeenSequences] = OrderedDict()
        self._balance = BURST_BYTES
        self._refilled_at = clock.now()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of sends dropped because the budget was exhausted, one per hint and link."""
        return self._dropped

    def record_if_new(self, hint: Hint) -> bool:
        """Return whether a hint is seen for the first time, and record it as seen.

        An origin that restarts must use a new name or continue with higher sequence numbers;
        otherwise its hints count as seen.
        """
        seen = self._seen.get(hint.origin)
        if seen is None:
            seen = self._seen[hint.origin] = _SeenSequences()
        self._seen.move_to_end(hint.origin)
        if len(self._seen) > MAX_ORIGINS:
            self._seen.popitem(last=False)
        return seen.add(hint.sequence)

    def choose_links(
        self, hint: Hint, links: Sequence[str], size: int, now: Millis, *, source: str | None = None
    ) -> list[str]:
        """Return the connected entries to which a new hint is forwarded, and charge the budget.

        Args:
            hint: A hint for which `record_if_new` returned ``True``.
            links: All connected entries.
            size: Bytes that the hint takes on one link.
            now: The current time.
            source: The entry that sent the hint, ``None`` for this process's own hints.
        """
        self._refill(now)
        urgent = hint.kind in _URGENT
        chosen = [link for link in links if link != source]
        if not urgent and len(chosen) > FAN_OUT:
            chosen = self._rng.sample(chosen, FAN_OUT)
        min_balance = -MAX_URGENT_DEBT_BYTES if urgent else 0.0
        affordable = max(0, int((self._balance - min_balance) // size))
        self._dropped += max(0, len(chosen) - affordable)
        chosen = chosen[:affordable]
        self._balance -= size * len(chosen)
        return chosen

    def _refill(self, now: Millis) -> None:
        gained = (now - self._refilled_at) * BYTES_PER_SECOND / 1000.0
        self._balance = min(BURST_BYTES, self._balance + gained)
        self._refilled_at = now


def make_gossip(clock: Clock, rng: Random) -> Gossip:
    """Return the gossip state of an entry that has seen no hint.

    Since 0.1.
    """
    return Gossip(clock, rng)
