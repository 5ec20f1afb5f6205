"""Observation of node leases, to decide when a process is presumed dead.

The holder renews its lease by writing the lease object; an observer sees the object's version.
Clocks of different hosts are never compared: a lease has expired when its version has not changed
for the time to live, measured by the observer's own monotonic clock and only while the observer
could read the store.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from carobspool_core._clock import Millis

LEASE_TTL: Millis = 10_000.0
RENEWALS_PER_TTL = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeLease:
    """The lease of one node as an observer sees it.

    Attributes:
        node: Name of the node.
        incarnation: The process that holds the lease.
        version: Latest version seen.
        leaving: Whether the holder has announced that it is shutting down.
        unchanged_time: Time since that version was first seen, in milliseconds, without the time in
            which the store could not be read.
    """

    node: str
    incarnation: str
    version: int
    leaving: bool = False
    unchanged_time: Millis = 0.0


class LeaseObserver:
    """Tracks which leases have expired. Not thread-safe.

    Args:
        ttl: Time to live, in milliseconds.
        max_read_interval: Longest time that one successful read may add, in milliseconds. An
            observer that was itself paused reads stale responses from its buffers; without the
            limit its first read after the pause would expire every lease at once.
    """

    def __init__(self, *, ttl: Millis, max_read_interval: Millis) -> None:
        self._ttl = ttl
        self._max_read_interval = max_read_interval
        self._leases: dict[str, NodeLease] = {}
        self._last_read: Millis | None = None

    def record_lease(self, *, node: str, incarnation: str, version: int, leaving: bool) -> None:
        """Record a lease that was read or watched; versions that are not newer are ignored."""
        previous = self._leases.get(node)
        if previous is not None and version <= previous.version:
            return
        self._leases[node] = NodeLease(
            node=node, incarnation=incarnation, version=version, leaving=leaving
        )

    def record_deletion(self, node: str) -> None:
        """Record that the lease object was deleted, which means that its holder released it."""
        self._leases.pop(node, None)

    def record_successful_read(self, now: Millis) -> None:
        """Add the time since the previous successful read, up to the limit, to each lease."""
        last = self._last_read
        self._last_read = now
        if last is None:
            return
        step = min(now - last, self._max_read_interval)
        for node, lease in self._leases.items():
            self._leases[node] = replace(lease, unchanged_time=lease.unchanged_time + step)

    def record_failed_read(self) -> None:
        """Stop counting time until two successive reads have succeeded."""
        self._last_read = None

    def is_presumed_dead(self, node: str, incarnation: str) -> bool:
        """Return whether a process is presumed dead.

        A process is also presumed dead when another incarnation, or no process, holds its node's
        lease. This second rule applies only while the store can be read.
        """
        lease = self._leases.get(node)
        if lease is None or lease.incarnation != incarnation:
            return self._last_read is not None
        return lease.unchanged_time >= self._ttl

    def available_nodes(self) -> tuple[str, ...]:
        """Return the nodes that accept new work, sorted by name."""
        nodes = [
            lease.node
            for lease in self._leases.values()
            if lease.unchanged_time < self._ttl and not lease.leaving
        ]
        return tuple(sorted(nodes))

    def lease_holders(self) -> tuple[str, ...]:
        """Return the nodes with unexpired leases, including those that are leaving."""
        return tuple(
            sorted(
                lease.node for lease in self._leases.values() if lease.unchanged_time < self._ttl
            )
        )

    def leases_unchanged_for(self, factor: float) -> tuple[NodeLease, ...]:
        """Return the leases that have not changed for ``factor`` times the time to live."""
        limit = self._ttl * factor
        return tuple(lease for lease in self._leases.values() if lease.unchanged_time >= limit)
