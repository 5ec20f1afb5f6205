"""Which upstreams have probably read which shared prompt parts.

Load pattern: 30 to 3,000 prompt parts that many requests share, some of them hot, and engines that
keep some 100,000 tokens of them. An entry sees its own placements only. A rendezvous hash names the
upstream to which every entry sends a part first, so that entries agree without messages.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from carobspool_core._clock import Millis
from carobspool_core._rendezvous import preferred_nodes
from carobspool_core.direct import Upstream

MAX_PARTS = 4_096
MAX_HOLDERS = 6
"""Upstreams remembered for one part; each is a candidate of every choice with that part."""
HOMES = 3
"""Upstreams of the hash among the candidates: the first, and two to which a hot part spreads."""
KEPT_TIME: Millis = 30_000.0
"""Longest time for which a part counts as kept where nothing shows that it was evicted."""
CERTAINTY_BY_RANK = (0.95, 0.8, 0.6)
"""Share of a part's tokens that counts as kept at the upstreams of its hash if this entry has sent
it elsewhere: other entries have probably done so too, and a part that finds its first upstream busy
spreads to the next ones."""
FIRST_CERTAINTY_BY_RANK = (0.95, 0.3, 0.1)
"""The same for a part that this entry has not seen: it is probably rare, and only the first
upstream has it. Nearly equal shares would send the few requests with it to three upstreams."""
NEW_TIME: Millis = 5_000.0
"""Time for which the parts of its hash count as unread at an upstream that has appeared or started
again. Each hot part is sent there several times a second, so it has read them by then."""
NEW_CERTAINTY = 0.1
"""Enough that entries agree on the same upstream when all have to read a part."""
HASH_BUCKETS = 512
"""Parts with equal buckets have the same upstreams. The ranking of 2,900 upstreams takes 1 ms, so
it is computed once for each bucket and not for each part."""
MAX_NEW_RANKINGS = 2
"""Buckets ranked in one choice, which holds the lock of all placements; 31 at once took 100 ms at
2,900 upstreams. The others are ranked in the next choices."""
MAX_RANKINGS = 8
"""Lists of upstreams with cached rankings: the near and far ones of a few services."""
USABLE_MEMORY = 0.6
"""Share of an engine's memory that holds parts read earlier; running requests need the rest."""


class PromptParts:
    """Parts kept at upstreams, by key of a prefix. Not thread-safe; callers pass in the time."""

    __slots__ = ("_first_seen", "_kept", "_rankings", "_read")

    def __init__(self) -> None:
        # Holders of each part: time of the last placement, and the upstream's read tokens then.
        self._kept: OrderedDict[int, dict[str, tuple[Millis, float]]] = OrderedDict()
        self._read: dict[str, float] = {}
        self._first_seen: dict[str, Millis] = {}
        # Rankings by bucket for each list of upstreams; the list itself is kept, so its id holds.
        # The least recently used list is dropped: a retried request has a list of its own, which
        # must not displace those that all requests use.
        self._rankings: OrderedDict[
            int, tuple[Sequence[Upstream], dict[int, Sequence[Upstream]]]
        ] = OrderedDict()

    def homes(self, key: int, upstreams: Sequence[Upstream], now: Millis) -> Sequence[Upstream]:
        """Return the upstreams to which all entries send a part first, in order."""
        ranking = self._rankings.get(id(upstreams))
        if ranking is None or ranking[0] is not upstreams:
            if len(self._rankings) >= MAX_RANKINGS:
                self._rankings.popitem(last=False)
            ranking = self._rankings[id(upstreams)] = (upstreams, {})
            self._note_new(upstreams, now)
        self._rankings.move_to_end(id(upstreams))
        bucket = key % HASH_BUCKETS
        found = ranking[1].get(bucket)
        if found is None:
            by_identity = {each.identity: each for each in upstreams}
            names = preferred_nodes(f"prompt-part {bucket}", by_identity, HOMES)
            found = ranking[1][bucket] = [by_identity[name] for name in names]
        return found

    def holders(self, key: int) -> Mapping[str, tuple[Millis, float]]:
        """Return the identities of upstreams to which this entry has sent a part."""
        return self._kept.get(key, {})

    def kept_tokens(
        self,
        prefixes: Sequence[tuple[int, int]],
        upstreams: Sequence[Upstream],
        *,
        capacity: int | None,
        now: Millis,
    ) -> dict[str, float]:
        """Return how many tokens of a prompt upstreams have probably kept, by identity.

        Args:
            prefixes: Keys and tokens of the prompt's shared prefixes, the shortest first.
            upstreams: Upstreams of the service.
            capacity: Tokens that the upstream's memory holds, ``None`` if unknown.
            now: Current time.
        """
        found: dict[str, float] = {}
        homes_by_key = self._homes_by_key(prefixes, upstreams, now)
        for key, tokens in prefixes:
            holders = self._kept.get(key)
            shares = FIRST_CERTAINTY_BY_RANK if holders is None else CERTAINTY_BY_RANK
            for home, certainty in zip(homes_by_key.get(key, ()), shares, strict=False):
                identity = home.identity
                if now - self._first_seen.get(identity, now) < NEW_TIME:
                    certainty = NEW_CERTAINTY
                expected = tokens * certainty
                if expected > found.get(identity, 0.0):
                    found[identity] = expected
            if holders is None:
                continue
            for identity, placed in holders.items():
                if self._is_kept(identity, placed, capacity, now):
                    found[identity] = float(tokens)
        return found

    def record(
        self,
        prefixes: Sequence[tuple[int, int]],
        identity: str,
        *,
        unread: float,
        entries: int,
        now: Millis,
    ) -> None:
        """Record that an upstream reads a prompt.

        Args:
            prefixes: Keys and tokens of the prompt's shared prefixes.
            identity: Identity of the upstream.
            unread: Prompt tokens that it probably has to read.
            entries: Number of entries, which probably send it as many tokens each.
            now: Current time.
        """
        read = self._read[identity] = self._read.get(identity, 0.0) + unread * entries
        for key, _ in prefixes:
            holders = self._kept.setdefault(key, {})
            self._kept.move_to_end(key)
            holders.pop(identity, None)
            holders[identity] = (now, read)
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
        while len(self._kept) > MAX_PARTS:
            self._kept.popitem(last=False)

    def forget(self, prefixes: Sequence[tuple[int, int]], identity: str) -> None:
        """Forget that an upstream has read a prompt that it rejected or failed to read."""
        for key, _ in prefixes:
            self._kept.get(key, {}).pop(identity, None)

    def retain_only(self, identities: set[str]) -> None:
        """Drop upstreams that are gone, earlier starts included."""
        for identity in self._first_seen.keys() - identities:
            del self._first_seen[identity]
        gone = self._read.keys() - identities
        for identity in gone:
            del self._read[identity]
        if not gone:
            return
        for holders in self._kept.values():
            for identity in holders.keys() & gone:
                del holders[identity]

    def _homes_by_key(
        self, prefixes: Sequence[tuple[int, int]], upstreams: Sequence[Upstream], now: Millis
    ) -> dict[int, Sequence[Upstream]]:
        """Return the upstreams of the hash of prefixes; of unranked ones only the longest."""
        found = {}
        left = MAX_NEW_RANKINGS
        for key, _ in reversed(prefixes):
            ranking = self._rankings.get(id(upstreams))
            known = ranking[1] if ranking is not None and ranking[0] is upstreams else {}
            if key % HASH_BUCKETS not in known:
                if not left:
                    continue
                left -= 1
            found[key] = self.homes(key, upstreams, now)
        return found

    def _note_new(self, upstreams: Sequence[Upstream], now: Millis) -> None:
        # The upstreams of the first list were running before this entry.
        first_seen = now if self._first_seen else float("-inf")
        for upstream in upstreams:
            self._first_seen.setdefault(upstream.identity, first_seen)

    def _is_kept(
        self, identity: str, placed: tuple[Millis, float], capacity: int | None, now: Millis
    ) -> bool:
        if now - placed[0] > KEPT_TIME:
            return False
        if capacity is None:
            return True
        return self._read.get(identity, 0.0) - placed[1] <= capacity * USABLE_MEMORY
