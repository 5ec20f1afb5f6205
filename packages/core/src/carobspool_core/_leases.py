"""Observation of node leases: when a process may be taken for dead.

A holder renews its lease object; an observer sees versions. Clocks of different hosts are never
compared: a lease has expired when its version stood still for the time to live, by the observer's
own monotonic clock, counted only while the observer could read the store.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from carobspool_core._clock import Millis

LEASE_TTL: Millis = 10_000.0
RENEWALS_PER_TTL = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeLease:
    """What an observer knows of one node's lease.

    Attributes:
        node: Name of the node.
        incarnation: The process that holds it.
        version: Version last seen.
        leaving: Whether the holder said that it is shutting down.
        unchanged: Readable time since that version was first seen, in milliseconds.
    """

    node: str
    incarnation: str
    version: int
    leaving: bool = False
    unchanged: Millis = 0.0


class LeaseObserver:
    """The leases as one observer sees them. Not safe for several threads.

    Args:
        ttl: Time to live, in milliseconds.
        longest_step: Longest time that one successful read may add, in milliseconds. An observer
            that was itself paused finds old answers in its buffers; without the limit its first
            read afterwards would expire every lease at once.
    """

    def __init__(self, *, ttl: Millis, longest_step: Millis) -> None:
        self._ttl = ttl
        self._longest_step = longest_step
        self._leases: dict[str, NodeLease] = {}
        self._last_read: Millis | None = None

    def seen(self, *, node: str, incarnation: str, version: int, leaving: bool) -> None:
        """Take in a lease as read or watched; an older version than the known one is ignored."""
        known = self._leases.get(node)
        if known is not None and version <= known.version:
            return
        self._leases[node] = NodeLease(
            node=node, incarnation=incarnation, version=version, leaving=leaving
        )

    def gone(self, node: str) -> None:
        """Take in that the lease object was deleted: its holder gave it up."""
        self._leases.pop(node, None)

    def read_succeeded(self, now: Millis) -> None:
        """Count the time since the previous successful read."""
        last = self._last_read
        self._last_read = now
        if last is None:
            return
        step = min(now - last, self._longest_step)
        for node, lease in self._leases.items():
            self._leases[node] = replace(lease, unchanged=lease.unchanged + step)

    def read_failed(self) -> None:
        """Count nothing until two reads in a row succeed again."""
        self._last_read = None

    def expired(self, node: str, incarnation: str) -> bool:
        """Tell whether a process is taken for dead.

        A process is also dead when another incarnation holds its node's lease, or nobody does.
        """
        lease = self._leases.get(node)
        if lease is None or lease.incarnation != incarnation:
            return self._last_read is not None
        return lease.unchanged >= self._ttl

    def live(self) -> tuple[str, ...]:
        """Return the nodes that take work, in order of name."""
        nodes = [
            lease.node
            for lease in self._leases.values()
            if lease.unchanged < self._ttl and not lease.leaving
        ]
        return tuple(sorted(nodes))

    def holding(self) -> tuple[str, ...]:
        """Return the nodes whose leases are in force, those that are leaving included."""
        return tuple(
            sorted(lease.node for lease in self._leases.values() if lease.unchanged < self._ttl)
        )

    def longest_expired(self, factor: float) -> tuple[NodeLease, ...]:
        """Return the leases unchanged for ``factor`` times the time to live."""
        limit = self._ttl * factor
        return tuple(lease for lease in self._leases.values() if lease.unchanged >= limit)
