"""Request limits of organisations, enforced jointly by all entries.

Load pattern: some organisations send many times their usual rate, at one entry or at all of them,
beside many organisations that send one request a second. Each of dozens of entries sees one
request of a small organisation in twenty seconds. An equal share of the limit at each entry would
refuse nearly all of those requests; the whole limit at each entry would allow a hot organisation
dozens of times its limit.

Each entry therefore keeps one token bucket per organisation for the whole deployment. An entry
consumes tokens of its bucket for the requests that it admits itself and for those that its peers
report, and reports its own count at once, so that all buckets hold about the same level. Requests
that two entries admit at the same moment may make the level of a bucket negative; tokens that are
added later pay for them.

A peer that is silent may still be admitting requests. Its equal share of each limit is withheld,
so that the two sides of a network partition share a limit instead of having it twice. A process
that has just started begins with few tokens, so that a restart of all entries does not grant the
bursts a second time.
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

REDUCED_REFILL = 0.95
"""Fraction of the rate at which buckets refill for a while after entries fell silent, joined or
left. It compensates for requests that were admitted beyond a limit during the change."""
REDUCED_REFILL_TIME: Millis = 5_000.0
"""How long the refill stays reduced after such a change."""
HOT_LEVEL = 0.75
"""Fraction of the bucket capacity below which an organisation is hot: it may reach its limit
within moments."""
MIN_HOT_BURST = 8.0
"""Burst below which an organisation is never hot. A partition lets only a few extra requests of it
through, and hundreds of small organisations would make all entries send hints all the time."""
HOT_TIME: Millis = 1_000.0
"""How long an organisation counts as hot after its level was low."""
HOT_HINT_INTERVAL: Millis = 80.0
"""Shortest time between two hints of each entry while an organisation is hot."""
HOT_HINT_INTERVAL_PER_ENTRY: Millis = 3.5
"""The interval is at least this time multiplied by the number of entries, so that hints cost an
entry no more in a deployment of hundreds of entries."""
DIRECT_HINT_LEVEL = 0.95
"""Fraction of the bucket capacity below which changes go directly to all entries although relays
are in force. With `HOT_LEVEL`, entries admitted so much before they learnt of each other that 3 of
12 plays of one sequence of faults exceeded the limit."""
MIN_DIRECT_HINT_BURST = 20.0
"""Burst from which `DIRECT_HINT_LEVEL` applies. Below it each request would pass that level, and
the requests admitted during the delay of relays are few."""
DIRECT_HINT_TIME: Millis = 200.0
"""How long changes go directly after a level was below `DIRECT_HINT_LEVEL`, as long as hints repeat
a count."""
RECENT_HINT_INTERVALS = 2.5
"""Silence of a peer, in hint intervals, from which its share of a hot organisation's burst is
reserved until its next hint. Each side of a partition could otherwise use up a whole burst before
the silence is detected."""
SILENT_SHARE_HELD_FOR: Millis = 30_000.0
"""How long the share of a silent entry is withheld; after that time the entry counts as lost."""
HINT_DELAY_ALLOWANCE: Millis = 40.0
"""The capacity of a bucket exceeds the burst by the tokens of this time, and by at least one token.
A full bucket gains no tokens while the hints about requests admitted elsewhere are on their way;
without the allowance an organisation at its limit would lose the tokens of that time."""
MIN_RETRY_DELAY: Millis = 20.0
"""Shortest delay after which a refused caller may retry; the next hint has arrived by then."""
MAX_DEBT_TIME: Millis = 5_000.0
"""The debt of a bucket is at most its burst and the tokens of this time, whatever peers report."""
INITIAL_TOKENS = 1.0
"""Tokens in each bucket when a process starts. It is small since many processes may start at the
same time."""
INITIAL_BURST = 4.0
"""Tokens that a bucket has in addition once the process receives hints of all its peers. They serve
the retries of callers that no entry served during a restart of all entries."""
STARTUP_TIME: Millis = 2_000.0
"""Time after the start in which a process receives the counts of its peers for the first time."""
PEER_COUNT_TTL: Millis = 60_000.0
"""How long a peer's count of an organisation is kept after the peer last reported it."""


class Admission(Struct, frozen=True, kw_only=True):
    """Whether a request is within its organisation's limit.

    Attributes:
        granted: Whether the request is admitted.
        retry_after: For a refused request, the time until the organisation's next token, over the
            whole deployment.
        level: Tokens left in the bucket, for the log; negative when the bucket is in debt.
        entries_heard: Number of entries whose counts are known, this one included.
        entry_count: Number of entries that may be admitting requests.
    """

    granted: bool
    retry_after: Millis = 0.0
    level: float = 0.0
    entries_heard: int = 1
    entry_count: int = 1


class KnownPeer(Struct, frozen=True, kw_only=True):
    """Another entry of the deployment, a peer of this one.

    Attributes:
        name: The entry's name.
        last_heard_at: When its last hint arrived, ``None`` when the entry is only listed.
        leaving: Whether the entry has announced that it shuts down.
    """

    name: str
    last_heard_at: Millis | None
    leaving: bool = False


class RequestLimits:
    """One entry's view of all request limits. Not thread-safe; the caller passes the time in.

    Args:
        now: When this process started to count requests.
    """

    def __init__(self, now: Millis) -> None:
        self._started = now
        self._limits: dict[str, RateLimit] = {}
        self._names_by_key: dict[int, list[str]] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._peers: dict[str, PeerCounts] = {}
        self._entry_count = 1
        self._heard_count = 1
        self._recently_heard_count = 1
        self._startup_gain = 0.0
        self._full_refill_at: Millis = now + REDUCED_REFILL_TIME
        self._hot_until: Millis = -math.inf
        self._direct_until: Millis = -math.inf
        self._own_counts: dict[str, int] = {}
        self._changed_at: dict[str, Millis] = {}

    @property
    def entry_count(self) -> int:
        """Number of entries that may be admitting requests, this one included."""
        return self._entry_count

    @property
    def entries_heard(self) -> int:
        """Number of those entries whose counts are known, this one included."""
        return self._heard_count

    @property
    def hot_hint_interval(self) -> Millis:
        """Time between two hints of each entry while an organisation is hot."""
        return max(HOT_HINT_INTERVAL, self._entry_count * HOT_HINT_INTERVAL_PER_ENTRY)

    def has_hot_organisation(self, now: Millis) -> bool:
        """Return whether any organisation may reach its limit within moments."""
        return now < self._hot_until

    def needs_direct_hints(self, now: Millis) -> bool:
        """Return whether relays would delay counts so much that a limit may be exceeded."""
        return now < max(self._hot_until, self._direct_until)

    def configure(self, limits: Mapping[str, RateLimit], now: Millis) -> None:
        """Replace the limits; tokens that were consumed before the change stay consumed.

        A raised burst is available at once; a lowered one applies from now on.
        """
        for name, bucket in list(self._buckets.items()):
            limit = limits.get(name)
            if limit is None:
                del self._buckets[name]
                continue
            if limit == bucket.limit:
                continue
            self._refill(bucket, now)
            bucket.level += max(0.0, limit.burst - bucket.limit.burst) * self._share
            bucket.limit = limit
            bucket.level = min(bucket.level, self._capacity(limit))
        self._limits = dict(limits)
        self._names_by_key = {}
        for name in limits:
            self._names_by_key.setdefault(organisation_key(name), []).append(name)

    def update_peers(self, peers: Iterable[KnownPeer], now: Millis) -> None:
        """Update the peers from their last hints, and adapt the buckets to the change.

        A change of the number of entries, or of the entries heard, changes the share of each limit.
        Buckets without a whole token are charged for requests that newly silent peers have probably
        admitted since their last hint.
        """
        recently_heard, heard, entries = 1, 1, 1
        recent_for = RECENT_HINT_INTERVALS * self.hot_hint_interval
        fallen_silent = []
        for each in peers:
            peer = self._peers.get(each.name)
            if peer is None:
                peer = self._peers[each.name] = PeerCounts(listed_at=now)
            since = now - (peer.listed_at if each.last_heard_at is None else each.last_heard_at)
            is_silent = each.last_heard_at is None or since > SILENT_AFTER
            if is_silent and not peer.is_silent and not each.leaving:
                fallen_silent.append(peer)
            peer.is_silent = is_silent
            if is_silent and (each.leaving or since > SILENT_SHARE_HELD_FOR):
                continue
            entries += 1
            if is_silent:
                continue
            heard += 1
            recently_heard += 1 if since <= recent_for else 0
        self._recently_heard_count = recently_heard
        if (heard, entries) != (self._heard_count, self._entry_count):
            self._update_share(heard, entries, now)
        # If all peers fall silent at the same time, it is this process that was paused.
        if fallen_silent and heard > 1:
            self._charge_silent_peers(len(fallen_silent) / heard, now)
        for peer in fallen_silent:
            for count in peer.counts.values():
                count.is_stale = True

    def admit(self, organisation: str, now: Millis) -> Admission:
        """Consume a token for a request, or refuse the request with the time until a token."""
        limit = self._limits.get(organisation)
        if limit is None:
            return Admission(granted=True)
        bucket = self._bucket(organisation, limit)
        self._refill(bucket, now)
        if bucket.level - self._reserved_for_late_peers(bucket) >= 1.0:
            self._consume(bucket, 1.0, now)
            self._add_to_own_count(organisation, 1, now)
            return self._admission(bucket, now, granted=True)
        return self._admission(bucket, now, granted=False)

    def refund(self, organisation: str, now: Millis) -> None:
        """Return the token of a request that no upstream has run."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return
        self._refill(bucket, now)
        bucket.level = min(self._capacity(bucket.limit), bucket.level + 1.0)
        self._add_to_own_count(organisation, -1, now)

    def recent_counts(self, now: Millis, *, within: Millis) -> dict[int, int]:
        """Return this entry's counts that have changed recently, by organisation key.

        Args:
            now: Current time.
            within: How long ago the count may have changed. A count is sent several times, since
                hints may be lost.
        """
        return {
            organisation_key(name): self._own_counts[name] % COUNT_MODULUS
            for name, changed_at in self._changed_at.items()
            if now - changed_at < within
        }

    def apply_peer_counts(
        self, peer_name: str, incarnation: str, counts: Mapping[int, int], now: Millis
    ) -> None:
        """Charge the buckets for requests that a peer has admitted.

        A hint that is duplicated or late does not charge a request twice.
        """
        peer = self._peers.get(peer_name)
        if peer is None:
            peer = self._peers[peer_name] = PeerCounts(listed_at=now)
        is_new = peer.incarnation != incarnation
        if is_new:
            peer.incarnation = incarnation
            peer.counts = {}
        for key, value in counts.items():
            for name in self._names_by_key.get(key, ()):
                self._apply_count(peer, name, value, now, is_first=is_new)

    def drop_idle(self, now: Millis, *, idle: Millis) -> None:
        """Drop full buckets, expired counts of peers, and change times older than ``idle``.

        Own counts stay, since peers compare each count with the one that they received before.
        """
        for name, bucket in list(self._buckets.items()):
            self._refill(bucket, now)
            if bucket.level >= self._capacity(bucket.limit):
                del self._buckets[name]
        for name, changed_at in list(self._changed_at.items()):
            if now - changed_at >= idle:
                del self._changed_at[name]
        for peer in self._peers.values():
            for name, count in list(peer.counts.items()):
                if now - count.received_at >= PEER_COUNT_TTL:
                    del peer.counts[name]

    @property
    def _share(self) -> float:
        """Share of each limit that the entries whose counts are known may use."""
        return self._heard_count / self._entry_count

    def _refill_rate(self, limit: RateLimit, now: Millis) -> float:
        """Return the tokens that a bucket gains in a millisecond."""
        fraction = 1.0 if now >= self._full_refill_at else REDUCED_REFILL
        return limit.per_second * fraction * self._share / 1000.0

    def _capacity(self, limit: RateLimit) -> float:
        allowance = max(1.0, limit.per_second * HINT_DELAY_ALLOWANCE / 1000.0)
        return max(1.0, (limit.burst + allowance) * self._share)

    def _bucket(self, name: str, limit: RateLimit) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            # A new bucket has the level that it would have if it existed since the process started.
            tokens = INITIAL_TOKENS + min(INITIAL_BURST, limit.burst) * self._startup_gain
            bucket = TokenBucket(limit=limit, level=tokens, refilled_at=self._started)
            self._buckets[name] = bucket
        return bucket

    def _refill(self, bucket: TokenBucket, now: Millis) -> None:
        elapsed = max(0.0, now - bucket.refilled_at)
        bucket.refilled_at = max(now, bucket.refilled_at)
        level = bucket.level + elapsed * self._refill_rate(bucket.limit, now)
        bucket.level = min(level, self._capacity(bucket.limit))

    def _consume(self, bucket: TokenBucket, tokens: float, now: Millis) -> None:
        bucket.consume(tokens, now)
        if self._is_hot(bucket):
            self._hot_until = now + HOT_TIME
        elif (
            bucket.limit.burst >= MIN_DIRECT_HINT_BURST
            and bucket.level < self._capacity(bucket.limit) * DIRECT_HINT_LEVEL
        ):
            self._direct_until = now + DIRECT_HINT_TIME

    def _is_hot(self, bucket: TokenBucket) -> bool:
        """Return whether the bucket's organisation may reach its limit within moments."""
        if bucket.limit.burst < MIN_HOT_BURST:
            return False
        return bucket.level < self._capacity(bucket.limit) * HOT_LEVEL

    def _reserved_for_late_peers(self, bucket: TokenBucket) -> float:
        """Return the tokens that peers whose hints are overdue may be consuming."""
        if not self._is_hot(bucket):
            return 0.0
        return (
            bucket.limit.burst
            * (self._heard_count - self._recently_heard_count)
            / self._entry_count
        )

    def _add_to_own_count(self, name: str, requests: int, now: Millis) -> None:
        self._own_counts[name] = self._own_counts.get(name, 0) + requests
        self._changed_at[name] = now

    def _apply_count(
        self, peer: PeerCounts, name: str, value: int, now: Millis, *, is_first: bool
    ) -> None:
        known = peer.counts.get(name)
        if known is None:
            peer.counts[name] = PeerCount(value=value, received_at=now)
            self._charge(name, self._admitted_by_first_count(value, now, is_first=is_first), now)
            return
        admitted = count_difference(value, known.value)
        known.value, known.received_at = value, now
        if known.is_stale:
            # The peer's share was withheld while it was silent.
            known.is_stale = False
            return
        self._charge(name, admitted, now)

    def _admitted_by_first_count(self, value: int, now: Millis, *, is_first: bool) -> int:
        """Return how many recent requests a count stands for that was not known before."""
        if not is_first:
            # The peer reports the count because it has just changed; its earlier value is unknown.
            return 1
        if now - self._started < STARTUP_TIME:
            return 0
        # The peer's process has just started, and counts from its start.
        return value

    def _charge(self, name: str, requests: int, now: Millis) -> None:
        if not requests:
            return
        limit = self._limits[name]
        bucket = self._bucket(name, limit)
        self._refill(bucket, now)
        self._consume(bucket, requests, now)
        max_debt = limit.burst + limit.per_second * MAX_DEBT_TIME / 1000.0
        bucket.level = max(-max_debt, min(self._capacity(limit), bucket.level))

    def _update_share(self, heard: int, entries: int, now: Millis) -> None:
        """Change the share of each limit, and reduce the levels of hot buckets by a lost share."""
        gained = heard / entries - self._share
        lost = max(0.0, -gained)
        is_starting = now - self._started < STARTUP_TIME
        for bucket in self._buckets.values():
            self._refill(bucket, now)
            if self._is_hot(bucket):
                left = bucket.level - bucket.limit.burst * lost
                bucket.level = max(min(bucket.level, 0.0), left)
        self._heard_count, self._entry_count = heard, entries
        self._full_refill_at = now + REDUCED_REFILL_TIME
        if is_starting and gained > 0.0:
            self._startup_gain += gained
        for bucket in self._buckets.values():
            if is_starting and gained > 0.0:
                bucket.level += min(INITIAL_BURST, bucket.limit.burst) * gained
            bucket.level = min(bucket.level, self._capacity(bucket.limit))

    def _charge_silent_peers(self, ratio: float, now: Millis) -> None:
        """Charge for requests that peers have probably admitted between their last hint and now.

        An organisation that has used up its tokens at this entry has probably done so at the silent
        peers too. Other organisations are not charged: they are below their limits, and the silent
        peers may be down.

        Args:
            ratio: Number of peers that have fallen silent, divided by the number of entries heard.
            now: Current time.
        """
        for bucket in self._buckets.values():
            self._refill(bucket, now)
            if bucket.level < 1.0:
                bucket.level -= bucket.recently_consumed(now) * ratio

    def _admission(self, bucket: TokenBucket, now: Millis, *, granted: bool) -> Admission:
        wait = 0.0
        if not granted:
            rate = self._refill_rate(bucket.limit, now)
            wait = max(MIN_RETRY_DELAY, (1.0 - bucket.level) / rate)
        return Admission(
            granted=granted,
            retry_after=wait,
            level=bucket.level,
            entries_heard=self._heard_count,
            entry_count=self._entry_count,
        )
