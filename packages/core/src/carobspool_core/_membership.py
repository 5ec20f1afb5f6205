"""Which hosts are alive, as one process sees it.

Load pattern: hosts that fall silent without a word while requests keep coming. Without a bound on
silence each of them holds its share of the requests until the callers' deadlines.

At small sites a heartbeat goes out each second, so a silent host is lost within 3 to 4 s. An entry
of a large fleet has 7 models x 24 sidecars = 168 connections; a beat of 60 bytes a second on each
would cost 10 KB/s against the 3 KB/s that a node may spend on control. So the interval grows with
the connections and stays within half of that budget. Any message counts as a heartbeat, so a busy
connection needs none.
"""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core._clock import Clock, Millis

MISSED_HEARTBEATS = 3
"""One lost beat is a delayed thread, two are a pause of the collector; three are a silent host."""
MIN_HEARTBEAT_INTERVAL: Millis = 1_000.0
HEARTBEAT_BYTES = 60
"""A load report of about 20 bytes, its frame, and the headers of TCP and IP."""
HEARTBEAT_BYTES_PER_SECOND = 1_500.0
"""Half of the 3 KB/s of a node; the other half is left to hints and configuration."""


def heartbeat_interval(connections: int) -> Millis:
    """Return the time between heartbeats on each of a process's connections.

    Args:
        connections: How many the process has.

    Since 0.1.
    """
    affordable = connections * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND * 1000.0
    return max(MIN_HEARTBEAT_INTERVAL, affordable)


class Membership:
    """Silence of the hosts that this process is connected to.

    Time in which this process itself did not run is not held against the hosts: after a pause all
    of them would seem silent at once, and the entry would refuse everything for no reason.

    Args:
        clock: The process's clock.
        interval: Returns the time between heartbeats for a number of hosts.

    Since 0.1.
    """

    __slots__ = ("_clock", "_interval", "_last_seen", "_lost", "_observed", "_read_at")

    def __init__(self, clock: Clock, interval: Callable[[int], Millis]) -> None:
        self._clock = clock
        self._interval = interval
        self._last_seen: dict[str, Millis] = {}
        self._lost: set[str] = set()
        self._observed: Millis = 0.0
        self._read_at = clock.now()

    @property
    def lost(self) -> frozenset[str]:
        """Hosts that have missed too many heartbeats."""
        return frozenset(self._lost)

    @property
    def interval(self) -> Millis:
        """Time between heartbeats at the present number of hosts."""
        return self._interval(len(self._last_seen) + len(self._lost))

    def beat(self, host: str, now: Millis) -> bool:
        """Note a message from a host.

        Returns:
            Whether it had been lost and is found again.
        """
        self._advance(now)
        self._last_seen.pop(host, None)
        self._last_seen[host] = self._observed
        if host not in self._lost:
            return False
        self._lost.discard(host)
        return True

    def forget(self, host: str) -> None:
        """Drop a host that is no longer watched."""
        self._last_seen.pop(host, None)
        self._lost.discard(host)

    def expire(self, now: Millis) -> list[str]:
        """Return the hosts that are lost since the last call; call it at least each interval."""
        self._advance(now)
        silence = MISSED_HEARTBEATS * self.interval
        found = []
        for host, seen in self._last_seen.items():
            if self._observed - seen < silence:
                break
            found.append(host)
        for host in found:
            del self._last_seen[host]
            self._lost.add(host)
        return found

    def _advance(self, now: Millis) -> None:
        # Without the bound a process that was stopped for a minute declares every host lost as
        # it wakes. A step of at most one interval leaves the hosts two more to be heard.
        step = max(0.0, now - self._read_at)
        self._read_at = max(now, self._read_at)
        self._observed += min(step, self.interval)


def make_membership(
    clock: Clock, interval: Callable[[int], Millis] = heartbeat_interval
) -> Membership:
    """Return the bookkeeping of a process that watches no host yet.

    Since 0.1.
    """
    return Membership(clock, interval)
