"""Relative paces of upstreams, from the pauses between events of streams and batch items.

Load pattern: a quarter of the engines runs at 0.55 times the nominal speed, and some servers are
2.5 times slower for 600 ms at a time. An entry sees the pauses of its own calls at once. Those of
other entries arrive with their announcements, every 2 s.
"""

from __future__ import annotations

from collections import deque
from statistics import median

from msgspec import Struct, field

from carobspool_core._clock import Millis

PACE_TTL: Millis = 30_000.0
"""Estimates without a sample for this long are dropped: the upstream counts as average again."""
WINDOW = 7
"""Samples of which the median is taken. One hung call adds one sample, which does not move the
median, and four samples of a slowed stream (some 300 ms) do."""
RECENT: Millis = 600.0
"""Own samples of the last 600 ms, the length of a slow phase, replace what peers reported."""
RECENT_SAMPLES = 4
"""The majority of `WINDOW`."""
HALF_LIFE: Millis = 4_000.0
"""Half-life of a sample's weight: two announcements, so that a lost one leaves an estimate."""
PRIOR_SAMPLES = 3.0
"""Weight of the average in an estimate, so that a single sample moves it by a quarter."""
SAMPLE_RATIO = 1.5
"""A sample counts in the mean as at most this multiple of the median, and at least its inverse."""
RECENT_RATIO = 1.8
"""A recent median this far above the mean makes a service uneven at once: a slow phase is 2.5 times
slower, and the median of samples that deviate by a third stays below."""
UNIFORM_RATIO = 1.2
"""Paces within this ratio differ by less than a slot of eight, so slots alone decide."""
UNIFORM_PRIOR_SAMPLES = 20.0
"""Weight of the average where paces are compared: pauses that deviate by a third then stay within
`UNIFORM_RATIO` in fleets of uniform engines."""
REFRESH_INTERVAL: Millis = 250.0
"""Time between two computations of a service's mean; half of a slow phase."""
MAX_PAUSE: Millis = 6_553.5
"""Longest pause that an announcement carries."""
MAX_RELATIVE = 20.0
MIN_RELATIVE = 0.05


class _Estimate(Struct, kw_only=True):
    service: str
    pauses: deque[tuple[Millis, Millis]] = field(default_factory=lambda: deque(maxlen=WINDOW))
    own_weight: float = 0.0
    own_mean: Millis = 0.0
    own_at: Millis = 0.0
    peer_weight: float = 0.0
    peer_mean: Millis = 0.0
    peer_at: Millis = 0.0

    def own(self, now: Millis) -> tuple[float, Millis]:
        """Return weight and mean of the own samples."""
        return _decayed(self.own_weight, now - self.own_at), self.own_mean

    def add(self, pause: Millis, now: Millis, mean: Millis | None) -> None:
        """Add an own sample; the first ones are bounded by the mean of the service if known.

        One long pause would move the median of fewer than `RECENT_SAMPLES` samples.
        """
        self.pauses.append((now, pause))
        usual = mean if mean and len(self.pauses) < RECENT_SAMPLES else self.median()
        bounded = min(max(pause, usual / SAMPLE_RATIO), usual * SAMPLE_RATIO)
        self.own_weight = _decayed(self.own_weight, now - self.own_at) + 1.0
        self.own_mean += (bounded - self.own_mean) / self.own_weight
        self.own_at = now

    def median(self) -> Millis:
        """Return the median of the last own samples, of which there is at least one."""
        return median(pause for _, pause in self.pauses)

    def is_recent(self, now: Millis) -> bool:
        """Whether the majority of the last own samples is recent."""
        if len(self.pauses) < RECENT_SAMPLES:
            return False
        return now - self.pauses[-RECENT_SAMPLES][0] <= RECENT

    def combined(self, now: Millis) -> tuple[float, Millis]:
        """Return weight and mean pause of own and reported samples."""
        own_weight, own = self.own(now)
        peer_weight = _decayed(self.peer_weight, now - self.peer_at)
        weight = own_weight + peer_weight
        if weight <= 0.0:
            return 0.0, 0.0
        return weight, (own * own_weight + self.peer_mean * peer_weight) / weight


class Paces:
    """Pace estimates by identity of the upstream. Not thread-safe; callers pass in the time.

    Attributes:
        relative: Pause of each upstream by the mean of its service; above 1 is slow, and an absent
            upstream is average. A plain attribute, since each choice reads it several times.
    """

    __slots__ = ("_estimates", "_means", "_refreshed_at", "_uniform", "relative")

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}
        self._means: dict[str, Millis] = {}
        self.relative: dict[str, float] = {}
        self._uniform: dict[str, bool] = {}
        self._refreshed_at: Millis = float("-inf")

    def add_sample(self, identity: str, service: str, pause: Millis, now: Millis) -> None:
        """Add one pause between two events that this entry received."""
        estimate = self._estimates.get(identity)
        if estimate is None:
            estimate = self._estimates[identity] = _Estimate(service=service)
        mean = self._means.get(service)
        estimate.add(min(max(pause, 0.1), MAX_PAUSE), now, mean)
        if mean:
            self.relative[identity] = _relative(estimate, mean, now)

    def merge(self, identity: str, service: str, pause: Millis, samples: int, now: Millis) -> None:
        """Add the estimate of a peer."""
        if samples <= 0 or pause <= 0.0:
            return
        estimate = self._estimates.get(identity)
        if estimate is None:
            estimate = self._estimates[identity] = _Estimate(service=service)
        known = _decayed(estimate.peer_weight, now - estimate.peer_at)
        total = known + samples
        estimate.peer_mean = (estimate.peer_mean * known + pause * samples) / total
        estimate.peer_weight = total
        estimate.peer_at = now

    def own_estimates(self, now: Millis) -> dict[str, tuple[Millis, int]]:
        """Return pause and number of recent samples by upstream, of this entry's samples only.

        Estimates of peers are not passed on: they would count more often with each announcement.
        """
        found = {}
        for identity, estimate in self._estimates.items():
            weight, pause = estimate.own(now)
            if round(weight) and now - estimate.own_at < PACE_TTL:
                found[identity] = (pause, round(weight))
        return found

    def is_uniform(self, service: str) -> bool:
        """Whether the paces of a service's upstreams are within `UNIFORM_RATIO`."""
        return self._uniform.get(service, True)

    def refresh(self, now: Millis) -> None:
        """Recompute means and relative paces if `REFRESH_INTERVAL` has passed."""
        if now - self._refreshed_at < REFRESH_INTERVAL:
            return
        self._refreshed_at = now
        sums: dict[str, list[float]] = {}
        for identity, estimate in list(self._estimates.items()):
            if now - max(estimate.own_at, estimate.peer_at) >= PACE_TTL:
                del self._estimates[identity]
                continue
            weight, pause = estimate.combined(now)
            total = sums.setdefault(estimate.service, [0.0, 0.0])
            total[0] += weight
            total[1] += weight * pause
        self._means = {each: total / weight for each, (weight, total) in sums.items() if weight}
        self._set_relative(now)

    def retain_only(self, identities: set[str]) -> int:
        """Drop all other upstreams; return the number of upstreams with an estimate."""
        for identity in self._estimates.keys() - identities:
            del self._estimates[identity]
            self.relative.pop(identity, None)
        return len(self._estimates)

    def _set_relative(self, now: Millis) -> None:
        self.relative = {}
        slowest: dict[str, float] = {}
        fastest: dict[str, float] = {}
        for identity, estimate in self._estimates.items():
            service = estimate.service
            mean = self._means.get(service)
            if not mean:
                continue
            self.relative[identity] = _relative(estimate, mean, now)
            weight, pause = estimate.combined(now)
            relative = (weight * pause / mean + UNIFORM_PRIOR_SAMPLES) / (
                weight + UNIFORM_PRIOR_SAMPLES
            )
            if estimate.is_recent(now) and estimate.median() > RECENT_RATIO * mean:
                relative = RECENT_RATIO
            slowest[service] = max(slowest.get(service, 0.0), relative)
            fastest[service] = min(fastest.get(service, MAX_RELATIVE), relative)
        self._uniform = {each: slowest[each] <= fastest[each] * UNIFORM_RATIO for each in slowest}


def _relative(estimate: _Estimate, mean: Millis, now: Millis) -> float:
    weight, pause = estimate.combined(now)
    if estimate.is_recent(now):
        weight, pause = max(weight, float(RECENT_SAMPLES)), estimate.median()
    found = (weight * pause / mean + PRIOR_SAMPLES) / (weight + PRIOR_SAMPLES)
    return min(max(found, MIN_RELATIVE), MAX_RELATIVE)


def _decayed(weight: float, age: Millis) -> float:
    return float(weight * 0.5 ** (age / HALF_LIFE)) if weight else 0.0
