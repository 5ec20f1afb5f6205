"""Request limits of organisations, kept over all entries by counting together.

Load pattern: some organisations send many times their usual, at one entry or at all, beside many
that send a request a second. Dozens of entries each see one request of a small organisation in
twenty seconds; equal parts of its limit would refuse nearly all of it, and a limit at each entry
alone would let a hot one have it dozens of times.

Each entry keeps one token bucket an organisation for the whole deployment. It takes from it what it
admits itself and what the others tell that they have admitted, and tells its own count at once, so
that all buckets hold about the same. What two entries admit at the same moment is paid back out of
the next tokens, since a bucket may be in debt.

An entry that is not heard may be admitting all the same. Its equal part of each limit is held back:
the sides of a cut share a limit instead of having it twice. A process that has just started begins
with few tokens, so that a restart of all does not hand the bursts out again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.organisations._directory import RateLimit
from carobspool_core.organisations._peer_counts import (
    COUNT_MODULUS,
    PeerCount,
    PeerCounts,
    count_difference,
    organisation_key,
)
from carobspool_core.organisations._token_bucket import SILENT_AFTER, TokenBucket

FILLED = 0.95
"""Part of the rate at which buckets fill for a while after entries fell silent, came or went: what
was let through beyond a limit meanwhile is made up for."""
MADE_UP_IN: Millis = 5_000.0
"""How long after such a change."""
HOT_LEVEL = 0.75
"""Part of its burst below which an organisation is hot: its limit may be reached in a moment."""
HOT_BURST = 8.0
"""Burst below which an organisation is never hot: a cut lets a few requests of it through, and
hundreds of small organisations would have all entries send hints all the time."""
HOT_TIME: Millis = 1_000.0
"""How long an organisation counts as hot after its level was low."""
HOT_HEARTBEAT: Millis = 80.0
"""Time between two hints of each entry while an organisation is hot."""
HOT_HEARTBEAT_BY_ENTRIES: Millis = 3.5
"""The same for each entry there is, so that hints cost each of hundreds of entries no more."""
NEAR_HEARTBEATS = 2.5
"""Silence, in hints of that time, from which an entry's part of a hot organisation's burst waits
for its next one. Each side of a cut could otherwise use up a burst before silence shows it."""
HELD_FOR: Millis = 30_000.0
"""How long the part of a silent entry is held back; a cut that lasts is then taken for a loss."""
HINT_TIME: Millis = 40.0
"""Tokens of this time are kept beyond the burst, one at least. A full bucket takes none in until it
hears of what others have admitted; without them an organisation at its limit would miss these."""
SHORTEST_WAIT: Millis = 20.0
"""Shortest time after which a refused caller is asked back; the next hint has come by then."""
LONGEST_DEBT: Millis = 5_000.0
"""A bucket is in debt by at most its burst and the tokens of this time, whatever others tell."""
FIRST_LEVEL = 1.0
"""Tokens of each bucket when a process starts: many that start together hand out little."""
FIRST_BURST = 4.0
"""Tokens that it has beside these once it hears all others: what callers send again who were served
by nobody during a restart of all."""
NEWCOMER_TIME: Millis = 2_000.0
"""Time after the start in which the counts of the others are first heard."""
COUNT_KEPT: Millis = 60_000.0
"""How long another entry's count of an organisation that it does not tell any more is kept."""


class Admission(Struct, frozen=True, kw_only=True):
    """Whether a request is below its organisation's limit.

    Attributes:
        granted: Whether it is.
        wait: Otherwise, when the organisation's next token comes, over the whole deployment.
        level: Tokens that were left, for the log; negative in debt.
        heard: Entries whose counts are known, this one included.
        entries: Entries that may be admitting.
    """

    granted: bool
    wait: Millis = 0.0
    level: float = 0.0
    heard: int = 1
    entries: int = 1


class Neighbour(Struct, frozen=True, kw_only=True):
    """Another entry.

    Attributes:
        name: Its name.
        heard: When its last hint came, ``None`` when it is only listed.
        leaving: Whether it has said that it leaves.
    """

    name: str
    heard: Millis | None
    leaving: bool = False


class RequestLimits:
    """One entry's view of all limits. Not safe for threads; times are passed in.

    Args:
        now: When this process started to count.
    """

    def __init__(self, now: Millis) -> None:
        self._started = now
        self._limits: dict[str, RateLimit] = {}
        self._names: dict[int, list[str]] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._peers: dict[str, PeerCounts] = {}
        self._entries = 1
        self._heard = 1
        self._near = 1
        self._gained = 0.0
        self._settled_at: Millis = now + MADE_UP_IN
        self._hot_until: Millis = -math.inf
        self._own: dict[str, int] = {}
        self._changed: dict[str, Millis] = {}

    @property
    def entries(self) -> int:
        """Entries that may be admitting, this one included."""
        return self._entries

    @property
    def heard(self) -> int:
        """Entries among them whose counts are known, this one included."""
        return self._heard

    @property
    def hot_heartbeat(self) -> Millis:
        """Time between two hints of each entry while an organisation is hot."""
        return max(HOT_HEARTBEAT, self._entries * HOT_HEARTBEAT_BY_ENTRIES)

    def is_hot(self, now: Millis) -> bool:
        """Whether some organisation may reach its limit in a moment."""
        return now < self._hot_until

    def configure(self, limits: Mapping[str, RateLimit], now: Millis) -> None:
        """Take the limits of a configuration; use so far counts on.

        A raised burst can be used at once; a lowered one holds from now on.
        """
        for name, bucket in list(self._buckets.items()):
            limit = limits.get(name)
            if limit is None:
                del self._buckets[name]
                continue
            if limit == bucket.limit:
                continue
            self._fill(bucket, now)
            bucket.level += max(0.0, limit.burst - bucket.limit.burst) * self._share
            bucket.limit = limit
            bucket.level = min(bucket.level, self._capacity(limit))
        self._limits = dict(limits)
        self._names = {}
        for name in limits:
            self._names.setdefault(organisation_key(name), []).append(name)

    def set_entries(self, neighbours: Iterable[Neighbour], now: Millis) -> None:
        """Take who the other entries are and when each was heard."""
        near, heard, entries = 1, 1, 1
        near_for = NEAR_HEARTBEATS * self.hot_heartbeat
        fallen_silent = []
        for each in neighbours:
            peer = self._peers.get(each.name)
            if peer is None:
                peer = self._peers[each.name] = PeerCounts(listed_at=now)
            since = now - (peer.listed_at if each.heard is None else each.heard)
            is_silent = each.heard is None or since > SILENT_AFTER
            if is_silent and not peer.is_silent and not each.leaving:
                fallen_silent.append(peer)
            peer.is_silent = is_silent
            if is_silent and (each.leaving or since > HELD_FOR):
                continue
            entries += 1
            if is_silent:
                continue
            heard += 1
            near += 1 if since <= near_for else 0
        self._near = near
        if (heard, entries) != (self._heard, self._entries):
            self._share_anew(heard, entries, now)
        # When all fall silent together it is this process that has stood still.
        if fallen_silent and heard > 1:
            self._charge_silence(len(fallen_silent) / heard, now)
        for peer in fallen_silent:
            for count in peer.counts.values():
                count.is_stale = True

    def admit(self, organisation: str, now: Millis) -> Admission:
        """Take a token for a request, or return when the next one comes."""
        limit = self._limits.get(organisation)
        if limit is None:
            return Admission(granted=True)
        bucket = self._bucket(organisation, limit)
        self._fill(bucket, now)
        if bucket.level - self._waiting_for_hints(bucket) >= 1.0:
            self._take(bucket, 1.0, now)
            self._note(organisation, 1, now)
            return self._admission(bucket, now, granted=True)
        return self._admission(bucket, now, granted=False)

    def give_back(self, organisation: str, now: Millis) -> None:
        """Return the token of a request that no upstream has run."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        self._fill(bucket, now)
        bucket.level = min(self._capacity(bucket.limit), bucket.level + 1.0)
        self._note(organisation, -1, now)

    def counts(self, now: Millis, *, within: Millis) -> dict[int, int]:
        """Return the counts that have changed of late, for the other entries.

        Args:
            now: The present instant.
            within: How long ago; a count is told several times, since hints get lost.
        """
        return {
            organisation_key(name): self._own[name] % COUNT_MODULUS
            for name, changed in self._changed.items()
            if now - changed < within
        }

    def receive(
        self, peer_name: str, incarnation: str, counts: Mapping[int, int], now: Millis
    ) -> None:
        """Take what another entry has admitted; doubled and late hints change nothing twice."""
        peer = self._peers.get(peer_name)
        if peer is None:
            peer = self._peers[peer_name] = PeerCounts(listed_at=now)
        is_new = peer.incarnation != incarnation
        if is_new:
            peer.incarnation = incarnation
            peer.counts = {}
        for key, value in counts.items():
            for name in self._names.get(key, ()):
                self._take_count(peer, name, value, now, is_first=is_new)

    def forget_idle(self, now: Millis, *, idle: Millis) -> None:
        """Drop what is kept of organisations that have been idle."""
        for name, bucket in list(self._buckets.items()):
            self._fill(bucket, now)
            if bucket.level >= self._capacity(bucket.limit):
                del self._buckets[name]
        for name, changed in list(self._changed.items()):
            if now - changed >= idle:
                del self._changed[name]
        for peer in self._peers.values():
            for name, count in list(peer.counts.items()):
                if now - count.heard >= COUNT_KEPT:
                    del peer.counts[name]

    @property
    def _share(self) -> float:
        return self._heard / self._entries

    def _rate(self, limit: RateLimit, now: Millis) -> float:
        """Return the tokens that a bucket gains in a millisecond."""
        filled = 1.0 if now >= self._settled_at else FILLED
        return limit.per_second * filled * self._share / 1000.0

    def _capacity(self, limit: RateLimit) -> float:
        late = max(1.0, limit.per_second * HINT_TIME / 1000.0)
        return max(1.0, (limit.burst + late) * self._share)

    def _bucket(self, name: str, limit: RateLimit) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            # As if it had been there since the start.
            first = FIRST_LEVEL + min(FIRST_BURST, limit.burst) * self._gained
            bucket = TokenBucket(limit=limit, level=first, filled=self._started)
            self._buckets[name] = bucket
        return bucket

    def _fill(self, bucket: TokenBucket, now: Millis) -> None:
        elapsed = max(0.0, now - bucket.filled)
        bucket.filled = max(now, bucket.filled)
        level = bucket.level + elapsed * self._rate(bucket.limit, now)
        bucket.level = min(level, self._capacity(bucket.limit))

    def _take(self, bucket: TokenBucket, requests: float, now: Millis) -> None:
        bucket.take(requests, now)
        if self._is_hot(bucket):
            self._hot_until = now + HOT_TIME

    def _is_hot(self, bucket: TokenBucket) -> bool:
        """Whether an organisation is hot."""
        if bucket.limit.burst < HOT_BURST:
            return False
        return bucket.level < self._capacity(bucket.limit) * HOT_LEVEL

    def _waiting_for_hints(self, bucket: TokenBucket) -> float:
        """Return the tokens that entries may be taking which were not heard just now."""
        if not self._is_hot(bucket):
            return 0.0
        return bucket.limit.burst * (self._heard - self._near) / self._entries

    def _note(self, name: str, requests: int, now: Millis) -> None:
        self._own[name] = self._own.get(name, 0) + requests
        self._changed[name] = now

    def _take_count(
        self, peer: PeerCounts, name: str, value: int, now: Millis, *, is_first: bool
    ) -> None:
        known = peer.counts.get(name)
        if known is None:
            peer.counts[name] = PeerCount(value=value, heard=now)
            self._take_away(name, self._first_count(value, now, is_first=is_first), now)
            return
        admitted = count_difference(value, known.value)
        known.value, known.heard = value, now
        if known.is_stale:
            # Its part was held back while it was not heard.
            known.is_stale = False
            return
        self._take_away(name, admitted, now)

    def _first_count(self, value: int, now: Millis, *, is_first: bool) -> int:
        """Return what a count that was not known before says of the last moments."""
        if not is_first:
            # Told because it has just changed; how far it was before is not known.
            return 1
        if now - self._started < NEWCOMER_TIME:
            return 0
        # The other process has just started, and counts since then.
        return value

    def _take_away(self, name: str, requests: int, now: Millis) -> None:
        if not requests:
            return
        limit = self._limits[name]
        bucket = self._bucket(name, limit)
        self._fill(bucket, now)
        self._take(bucket, requests, now)
        debt = limit.burst + limit.per_second * LONGEST_DEBT / 1000.0
        bucket.level = max(-debt, min(self._capacity(limit), bucket.level))

    def _share_anew(self, heard: int, entries: int, now: Millis) -> None:
        """Take another part of each limit; what fell away is taken out of the levels too."""
        gained = heard / entries - self._share
        lost = max(0.0, -gained)
        is_new = now - self._started < NEWCOMER_TIME
        for bucket in self._buckets.values():
            self._fill(bucket, now)
            if self._is_hot(bucket):
                left = bucket.level - bucket.limit.burst * lost
                bucket.level = max(min(bucket.level, 0.0), left)
        self._heard, self._entries = heard, entries
        self._settled_at = now + MADE_UP_IN
        if is_new and gained > 0.0:
            self._gained += gained
        for bucket in self._buckets.values():
            if is_new and gained > 0.0:
                bucket.level += min(FIRST_BURST, bucket.limit.burst) * gained
            bucket.level = min(bucket.level, self._capacity(bucket.limit))

    def _charge_silence(self, share: float, now: Millis) -> None:
        """Take what entries that have fallen silent have probably admitted since they were heard.

        An organisation that has used up its tokens here has probably done so there too. Of others
        nothing is taken: they are below their limits, and the silent ones may be down.

        Args:
            share: The silent ones by those that are heard.
            now: The present instant.
        """
        for bucket in self._buckets.values():
            self._fill(bucket, now)
            if bucket.level < 1.0:
                bucket.level -= bucket.taken_of_late(now) * share

    def _admission(self, bucket: TokenBucket, now: Millis, *, granted: bool) -> Admission:
        wait = 0.0
        if not granted:
            rate = self._rate(bucket.limit, now)
            wait = max(SHORTEST_WAIT, (1.0 - bucket.level) / rate)
        return Admission(
            granted=granted,
            wait=wait,
            level=bucket.level,
            heard=self._heard,
            entries=self._entries,
        )
