"""Rate limit for the load hints that an entry sends to its peers.

Load pattern: dozens of entries place requests at the same upstreams. Until the other entries know
of a placement they consider its slot free, and their requests queue behind it while other upstreams
have free slots. With many entries the loads of each entry change rarely, so each change is sent at
once. With few entries, or at high request rates, changes are combined to stay within a budget of
datagrams.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

MAX_DATAGRAMS_PER_SECOND = 2_000.0
"""Limit of the datagrams with loads that an entry sends to all its peers together."""
MAX_BURST = 10.0
"""Changes that are sent one by one before the budget delays them."""
MIN_SEND_INTERVAL: Millis = 4.0
"""Least time between two sends, so that the changes that one request causes are combined."""
MAX_SEND_INTERVAL: Millis = 250.0
"""Longest delay of a send for any number of peers: half of the time between heartbeats."""
MIN_WAIT: Millis = 0.01
"""Shorter waits count as none: adding them to the current time might not change its value."""


class LoadSendLimiter:
    """Token bucket for sending loads to all peers. Not thread-safe; callers pass in the time."""

    __slots__ = ("_last_sent_at", "_refilled_at", "_tokens")

    def __init__(self) -> None:
        self._tokens = MAX_BURST
        self._refilled_at: Millis = 0.0
        self._last_sent_at: Millis = float("-inf")

    def delay_before_send(self, now: Millis, *, peers: int) -> Millis:
        """Return how long to wait before loads may be sent again, 0 if they may be sent now."""
        self._refill(now, peers)
        gap = 0.0 if self._tokens >= 1.0 else (1.0 - self._tokens) * self._interval_per_send(peers)
        since = now - self._last_sent_at
        wait = max(MIN_SEND_INTERVAL - since, min(gap, MAX_SEND_INTERVAL - since))
        return wait if wait > MIN_WAIT else 0.0

    def record_send(self, now: Millis, *, peers: int) -> None:
        """Record that loads were sent to all peers."""
        self._refill(now, peers)
        self._tokens = max(0.0, self._tokens - 1.0)
        self._last_sent_at = now

    def _refill(self, now: Millis, peers: int) -> None:
        refill = (now - self._refilled_at) / self._interval_per_send(peers)
        self._tokens = min(MAX_BURST, self._tokens + refill)
        self._refilled_at = now

    def _interval_per_send(self, peers: int) -> Millis:
        return max(1, peers) / MAX_DATAGRAMS_PER_SECOND * 1000.0
