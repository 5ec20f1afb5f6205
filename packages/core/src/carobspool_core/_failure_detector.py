"""Failure detection: which connected hosts are alive, as seen by one process.

Load pattern: hosts stop responding without notice while requests keep arriving. Without a timeout
each silent host holds its share of the requests until the callers' deadlines.

At small sites a heartbeat is sent each second, so a silent host is marked lost within 3 to 4 s. An
entry of a large fleet has 7 models x 24 sidecars = 168 connections. A heartbeat of 60 bytes a
second on each would cost 10 KB/s, while a node may spend 3 KB/s on control traffic. So the interval
grows with the number of connections and heartbeats stay within half of that budget. Any message
counts as a heartbeat, so a busy connection needs none.
"""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core._clock import Clock, Millis

MISSED_HEARTBEATS = 3
"""One missed heartbeat may be a delayed thread, two a garbage collection pause; three mean that the
host is lost."""
MIN_HEARTBEAT_INTERVAL: Millis = 1_000.0
HEARTBEAT_BYTES = 60
"""A load report of about 20 bytes, its frame, and the TCP and IP headers."""
HEARTBEAT_BYTES_PER_SECOND = 1_500.0
"""Half of a node's 3 KB/s; the other half is for hints and configuration."""


def heartbeat_interval(connections: int) -> Millis:
    """Return the time between heartbeats on each of a process's connections.

    Args:
        connections: Number of the process's connections.

    Since 0.1.
    """
    affordable = connections * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND * 1000.0
    return max(MIN_HEARTBEAT_INTERVAL, affordable)


class FailureDetector:
    """Tracks the last message of each host that this process is connected to.

    Time during which this process itself was paused does not count as silence of the hosts.
    Otherwise all hosts would seem silent after a pause, and the entry would refuse all requests
    without reason.

    Args:
        clock: The process's clock.
        interval: Returns the time between heartbeats for a given number of hosts.

    Since 0.1.
    """

    __slots__ = ("_active_time", "_advanced_at", "_clock", "_interval", "_last_seen", "_lost")

    def __init__(self, clock: Clock, interval: Callable[[int], Millis]) -> None:
        self._clock = clock
        self._interval = interval
        self._last_seen: dict[str, Millis] = {}
        self._lost: set[str] = set()
        self._active_time: Millis = 0.0
        self._advanced_at = clock.now()

    @property
    def lost(self) -> frozenset[str]:
        """Hosts that have missed too many heartbeats."""
        return frozenset(self._lost)

    @property
    def interval(self) -> Millis:
        """Time between heartbeats at the current number of hosts."""
        return self._interval(len(self._last_seen) + len(self._lost))

    def record_message(self, host: str, now: Millis) -> bool:
        """Record a message from a host.

        Returns:
            Whether the host was marked lost until now.
        """
        self._advance(now)
        self._last_seen.pop(host, None)
        self._last_seen[host] = self._active_time
        if host not in self._lost:
            return False
        self._lost.discard(host)
        return True

    def forget(self, host: str) -> None:
        """Remove a host that is no longer monitored."""
        self._last_seen.pop(host, None)
        self._lost.discard(host)

    def mark_silent_lost(self, now: Millis) -> list[str]:
        """Mark silent hosts as lost and return those newly marked.

        Call this method at least once per interval.
        """
        self._advance(now)
        timeout = MISSED_HEARTBEATS * self.interval
        expired = []
        for host, seen in self._last_seen.items():
            if self._active_time - seen < timeout:
                break
            expired.append(host)
        for host in expired:
            del self._last_seen[host]
            self._lost.add(host)
        return expired

    def _advance(self, now: Millis) -> None:
        # Without the bound, a process that was stopped for a minute would mark every host lost
        # when it resumes. A step of at most one interval leaves each host two more intervals to
        # send a message.
        step = max(0.0, now - self._advanced_at)
        self._advanced_at = max(now, self._advanced_at)
        self._active_time += min(step, self.interval)


def make_failure_detector(
    clock: Clock, interval: Callable[[int], Millis] = heartbeat_interval
) -> FailureDetector:
    """Return a detector that monitors no host yet.

    Since 0.1.
    """
    return FailureDetector(clock, interval)
