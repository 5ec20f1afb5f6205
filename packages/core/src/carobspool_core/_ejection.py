"""Ejects slow or failing upstreams from a pool and readmits them after successful probes.

Load pattern: one upstream of many answers slowly or with errors while it looks idle. Without
ejection it attracts requests because it finishes few, and every n-th caller waits for it.

An upstream is compared with the median of its own pool, so that overload, which slows all
upstreams, ejects none. Only requests that were sent while the upstream seemed to have a free slot
are compared: waiting for a slot indicates load, which the two random choices balance. At most a
third of a pool is ejected at once: beyond that a shared cause is more likely, and the remaining
upstreams could not carry the load.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Hashable, Iterable
from dataclasses import dataclass, field
from itertools import islice
from statistics import median

from carobspool_core._clock import Millis

MAX_EJECTED_SHARE = 1 / 3
SLOW_RATIO = 3.0
"""Multiple of the pool's median. Prompts within a pool differ by a factor of about 2, averages over
8 prompts by far less."""
MIN_SLOW_THRESHOLD: Millis = 300.0
"""A lower median never counts as slow. The value is a quarter of the 1.2 s that callers should wait
at most; a lower value ejects upstreams that compute prompts which other upstreams have cached."""
SAMPLE_WINDOW = 11
"""The median of the last eleven samples is compared, so up to five long prompts have no effect."""
MIN_SAMPLES = 8
"""With five samples an upstream was ejected by chance within 10 s of a start."""
MIN_HUNG_WAIT: Millis = 2_000.0
"""An upstream counts as hung if two requests wait longer than this time and longer than three times
the slowness threshold: a prompt of 8,000 tokens takes under a second."""
MAX_CONSECUTIVE_FAILURES = 5
FIRST_EJECTION_TIME: Millis = 5_000.0
MAX_EJECTION_TIME: Millis = 60_000.0
PROBES_TO_RETURN = 3
MEDIAN_MAX_AGE: Millis = 250.0


@dataclass(slots=True, kw_only=True)
class _Health:
    samples: deque[Millis] = field(default_factory=lambda: deque(maxlen=SAMPLE_WINDOW))
    median_first_token: Millis | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: Millis | None = None
    successful_probes: int = 0
    probe: Hashable | None = None
    probe_first_token: Millis | None = None
    waiting: dict[Hashable, Millis] = field(default_factory=dict)


class Ejector:
    """Tracks the health of one pool's upstreams at this entry and ejects outliers.

    Since 0.1.
    """

    __slots__ = ("_ejected", "_health", "_median", "_median_at")

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}
        self._ejected: dict[str, None] = {}
        self._median: Millis | None = None
        self._median_at: Millis | None = None

    @property
    def ejected(self) -> frozenset[str]:
        """Hosts that receive only probes."""
        return frozenset(self._ejected)

    def retain_only(self, hosts: Iterable[str]) -> None:
        """Drop the state of all hosts except ``hosts``."""
        kept = set(hosts)
        self._ejected = {host: None for host in self._ejected if host in kept}
        self._health = {host: health for host, health in self._health.items() if host in kept}

    def forget(self, host: str) -> None:
        """Drop the state of a lost host, whose process may have been replaced."""
        self._ejected.pop(host, None)
        self._health.pop(host, None)

    def record_start(self, host: str, id: Hashable, now: Millis) -> None:
        """Record an online request sent while the host seemed to have a free slot.

        A request to an ejected host without a running probe becomes the probe.
        """
        health = self._health_of(host)
        health.waiting[id] = now
        if host in self._ejected and health.probe is None:
            health.probe = id

    def record_first_token(self, host: str, id: Hashable, now: Millis) -> None:
        """Record the first token of an online request."""
        health = self._health_of(host)
        started = health.waiting.pop(id, None)
        if started is None:
            return
        if health.probe == id:
            health.probe_first_token = now - started
        self._add_sample(health, now - started)

    def record_end(self, host: str, id: Hashable, *, ok: bool, now: Millis, pool_size: int) -> bool:
        """Record the end of an online request.

        Returns:
            Whether the set of ejected hosts changed.
        """
        health = self._health_of(host)
        started = health.waiting.pop(id, None)
        if ok and started is not None:
            self._add_sample(health, now - started)
            if health.probe == id:
                health.probe_first_token = now - started
        health.failures = 0 if ok else health.failures + 1
        if health.probe == id:
            health.probe = None
            return self._finish_probe(host, health, ok=ok, now=now)
        if health.failures >= MAX_CONSECUTIVE_FAILURES and host not in self._ejected:
            return self._eject(host, health, now, pool_size)
        return False

    def check(self, host: str, now: Millis, pool_size: int) -> bool:
        """Eject a host that is slow compared with the pool.

        Requests that still wait for their first token count with their age, so that an upstream
        that hangs is detected although it produces no samples.

        Returns:
            Whether the host was ejected.
        """
        health = self._health.get(host)
        if health is None or host in self._ejected:
            return False
        if not self._is_slow(health, now):
            return False
        return self._eject(host, health, now, pool_size)

    def due_probe(self, among: Container[str], now: Millis) -> str | None:
        """Return an ejected host that may receive one request as a probe, or ``None``.

        Args:
            among: The usable hosts.
            now: The current time.
        """
        for host in self._ejected:
            if host not in among:
                continue
            health = self._health[host]
            if health.probe is not None or health.ejected_until is None:
                continue
            if now >= health.ejected_until:
                return host
        return None

    def _health_of(self, host: str) -> _Health:
        health = self._health.get(host)
        if health is None:
            health = self._health[host] = _Health()
        return health

    def _add_sample(self, health: _Health, first_token: Millis) -> None:
        health.samples.append(first_token)
        if len(health.samples) >= MIN_SAMPLES:
            health.median_first_token = median(health.samples)

    def _is_slow(self, health: _Health, now: Millis) -> bool:
        threshold = self._slow_threshold(now)
        if threshold is None:
            return False
        if health.median_first_token is not None and health.median_first_token > threshold:
            return True
        if len(health.waiting) < 2:
            return False
        two_oldest = list(islice(health.waiting.values(), 2))
        return now - two_oldest[1] > max(MIN_HUNG_WAIT, SLOW_RATIO * threshold)

    def _slow_threshold(self, now: Millis) -> Millis | None:
        if self._median_at is None or now - self._median_at >= MEDIAN_MAX_AGE:
            self._median = self._pool_median()
            self._median_at = now
        if self._median is None:
            return None
        return max(MIN_SLOW_THRESHOLD, SLOW_RATIO * self._median)

    def _pool_median(self) -> Millis | None:
        medians = [
            each.median_first_token
            for each in self._health.values()
            if each.median_first_token is not None
        ]
        if len(medians) < 2:
            return None
        return median(medians)

    def _eject(self, host: str, health: _Health, now: Millis, pool_size: int) -> bool:
        if len(self._ejected) + 1 > int(pool_size * MAX_EJECTED_SHARE):
            return False
        self._ejected[host] = None
        health.ejections += 1
        health.successful_probes = 0
        health.probe = None
        health.ejected_until = now + _ejection_time(health.ejections)
        return True

    def _finish_probe(self, host: str, health: _Health, *, ok: bool, now: Millis) -> bool:
        threshold = self._slow_threshold(now)
        first_token = health.probe_first_token
        health.probe_first_token = None
        slow = threshold is not None and first_token is not None and first_token > threshold
        if not ok or slow:
            health.ejections += 1
            health.successful_probes = 0
            health.ejected_until = now + _ejection_time(health.ejections)
            return False
        health.successful_probes += 1
        if health.successful_probes < PROBES_TO_RETURN:
            return False
        del self._ejected[host]
        health.ejected_until = None
        health.samples.clear()
        health.median_first_token = None
        return True


def _ejection_time(count: int) -> Millis:
    return min(MAX_EJECTION_TIME, FIRST_EJECTION_TIME * 2.0 ** (count - 1))
