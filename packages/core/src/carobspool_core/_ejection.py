"""Taking slow or failing upstreams out of a pool, and probing them back in.

Load pattern: one upstream of many answers slowly or with errors while it looks idle. Without
ejection it attracts requests just because it finishes few, and every n-th caller waits for it.

An upstream is compared with the median of its own pool, so that overload, which slows all of them,
ejects none. Only requests that were sent while it seemed to have a free slot are compared: waiting
for a slot is load, which the two random choices see to. At most a third of a pool is out at once:
beyond that the fault is more likely a shared one, and the rest could not carry the load.
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
"""Times the pool's median: prompts differ by about 2 within a pool, averages over 8 by far less."""
SLOW_FLOOR: Millis = 300.0
"""Below this no upstream counts as slow: a quarter of the 1.2 s that callers are to wait at most. A
lower floor ejects upstreams for computing prompts that others have in their caches."""
SAMPLES = 11
"""The middle one of the last eleven decides, so up to five long prompts do not."""
MIN_SAMPLES = 8
"""With five, chance alone ejected an upstream within 10 s of a start (trial, seed 1)."""
HUNG_FLOOR: Millis = 2_000.0
"""Two requests that wait longer than this, and longer than three times what counts as slow, show
that an upstream hangs: a prompt of 8,000 tokens takes under a second."""
MAX_CONSECUTIVE_FAILURES = 5
FIRST_EJECTION: Millis = 5_000.0
MAX_EJECTION: Millis = 60_000.0
PROBES_TO_RETURN = 3
MEDIAN_AGE: Millis = 250.0


@dataclass(slots=True, kw_only=True)
class _Health:
    samples: deque[Millis] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    typical: Millis | None = None
    failures: int = 0
    ejections: int = 0
    ejected_until: Millis | None = None
    good_probes: int = 0
    probe: Hashable | None = None
    probe_first_token: Millis | None = None
    waiting: dict[Hashable, Millis] = field(default_factory=dict)


class Ejector:
    """Health of the upstreams of one pool as this entry sees it.

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
        """Hosts that get nothing but probes."""
        return frozenset(self._ejected)

    def keep_only(self, hosts: Iterable[str]) -> None:
        """Forget hosts that are no longer in the pool."""
        kept = set(hosts)
        self._ejected = {host: None for host in self._ejected if host in kept}
        self._health = {host: health for host, health in self._health.items() if host in kept}

    def forget(self, host: str) -> None:
        """Forget what is known of a host, after it was lost: a new process may stand there."""
        self._ejected.pop(host, None)
        self._health.pop(host, None)

    def started(self, host: str, id: Hashable, now: Millis) -> None:
        """Note an online request sent while the host seemed to have a free slot.

        On an ejected host it is the probe.
        """
        health = self._of(host)
        health.waiting[id] = now
        if host in self._ejected and health.probe is None:
            health.probe = id

    def first_token(self, host: str, id: Hashable, now: Millis) -> None:
        """Note the first token of an online request."""
        health = self._of(host)
        started = health.waiting.pop(id, None)
        if started is None:
            return
        if health.probe == id:
            health.probe_first_token = now - started
        self._sample(health, now - started)

    def ended(self, host: str, id: Hashable, *, ok: bool, now: Millis, pool_size: int) -> bool:
        """Note the end of an online request.

        Returns:
            Whether the set of ejected hosts changed.
        """
        health = self._of(host)
        started = health.waiting.pop(id, None)
        if ok and started is not None:
            self._sample(health, now - started)
            if health.probe == id:
                health.probe_first_token = now - started
        health.failures = 0 if ok else health.failures + 1
        if health.probe == id:
            health.probe = None
            return self._judge_probe(host, health, ok=ok, now=now)
        if health.failures >= MAX_CONSECUTIVE_FAILURES and host not in self._ejected:
            return self._eject(host, health, now, pool_size)
        return False

    def check(self, host: str, now: Millis, pool_size: int) -> bool:
        """Eject a host that is slow against the pool.

        A request that still waits for its first token counts with its age, so an upstream that
        hangs is found although it never gives a sample.

        Returns:
            Whether it was ejected.
        """
        health = self._health.get(host)
        if health is None or host in self._ejected:
            return False
        if not self._is_slow(health, now):
            return False
        return self._eject(host, health, now, pool_size)

    def due_probe(self, among: Container[str], now: Millis) -> str | None:
        """Return an ejected host that may get one request to prove itself, or ``None``.

        Args:
            among: Hosts that may be chosen at all.
            now: The instant.
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

    def _of(self, host: str) -> _Health:
        health = self._health.get(host)
        if health is None:
            health = self._health[host] = _Health()
        return health

    def _sample(self, health: _Health, first_token: Millis) -> None:
        health.samples.append(first_token)
        if len(health.samples) >= MIN_SAMPLES:
            health.typical = median(health.samples)

    def _is_slow(self, health: _Health, now: Millis) -> bool:
        bound = self._slow_bound(now)
        if bound is None:
            return False
        if health.typical is not None and health.typical > bound:
            return True
        if len(health.waiting) < 2:
            return False
        oldest = list(islice(health.waiting.values(), 2))
        return now - oldest[1] > max(HUNG_FLOOR, SLOW_RATIO * bound)

    def _slow_bound(self, now: Millis) -> Millis | None:
        if self._median_at is None or now - self._median_at >= MEDIAN_AGE:
            self._median = self._current_median()
            self._median_at = now
        if self._median is None:
            return None
        return max(SLOW_FLOOR, SLOW_RATIO * self._median)

    def _current_median(self) -> Millis | None:
        known = [each.typical for each in self._health.values() if each.typical is not None]
        if len(known) < 2:
            return None
        return median(known)

    def _eject(self, host: str, health: _Health, now: Millis, pool_size: int) -> bool:
        if len(self._ejected) + 1 > int(pool_size * MAX_EJECTED_SHARE):
            return False
        self._ejected[host] = None
        health.ejections += 1
        health.good_probes = 0
        health.probe = None
        health.ejected_until = now + _ejection_time(health.ejections)
        return True

    def _judge_probe(self, host: str, health: _Health, *, ok: bool, now: Millis) -> bool:
        bound = self._slow_bound(now)
        took = health.probe_first_token
        health.probe_first_token = None
        slow = bound is not None and took is not None and took > bound
        if not ok or slow:
            health.ejections += 1
            health.good_probes = 0
            health.ejected_until = now + _ejection_time(health.ejections)
            return False
        health.good_probes += 1
        if health.good_probes < PROBES_TO_RETURN:
            return False
        del self._ejected[host]
        health.ejected_until = None
        health.samples.clear()
        health.typical = None
        return True


def _ejection_time(count: int) -> Millis:
    return min(MAX_EJECTION, FIRST_EJECTION * 2.0 ** (count - 1))
