"""What entries tell each other about requests that wait and slots that are handed over."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any

from carobspool_core import Clock
from carobspool_core.direct import Load
from carobspool_core.online_queue import QueueReport
from carobspool_node.online_queue._reports import pack_handovers, pack_waiting, unpack_waiting
from carobspool_node.online_queue._service_queues import ServiceQueues


class PeerReports:
    """Reports to and from the peers. Thread-safe.

    Args:
        clock: The process's clock.
        lock: The lock of the queues.
        queues: The queues of all services.
        sharers: Returns the peers that use the same upstreams, ``None`` for all peers.
        wake: Called when waiting requests or free slots need to be considered.
    """

    def __init__(
        self,
        clock: Clock,
        lock: threading.Lock,
        queues: ServiceQueues[Any],
        *,
        sharers: Callable[[], frozenset[str] | None],
        wake: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._lock = lock
        self._queues = queues
        self._sharers = sharers
        self._wake = wake

    def report(self) -> QueueReport:
        """Return the waiting requests and the handovers, for hints to the other entries."""
        handovers = self._queues.handovers
        with self._lock:
            waiting, services = b"", b""
            if self._queues.waiting:
                waiting, services = pack_waiting(self._queues.counts())
            return QueueReport(
                waiting,
                services,
                pack_handovers(handovers.lasting(self._clock.now())),
                handovers.version,
            )

    def apply_report(self, peer: str, packed: bytes, services: bytes = b"") -> None:
        """Take over the report of a peer.

        Args:
            peer: Name of the peer.
            packed: Its numbers of waiting requests.
            services: Keys of the services of these numbers.
        """
        sharers = self._sharers()
        if sharers is not None and peer not in sharers:
            packed = b""
        with self._lock:
            counts = unpack_waiting(packed, services)
            fewer = self._queues.peers.update(peer, counts, self._clock.now())
            is_due = bool(packed) and self._queues.has_own_slots
        if (self._queues.waiting and fewer) or is_due:
            self._wake()

    def apply_handovers(self, peer: str, packed: bytes | None, loads: Mapping[int, Load]) -> None:
        """Take over the handovers in a hint, after the report in that hint.

        Args:
            peer: Name of the sender.
            packed: Its handovers, ``None`` if the hint has none.
            loads: Its requests in flight, by the upstream's key.
        """
        now = self._clock.now()
        with self._lock:
            is_new = self._queues.apply_handovers(peer, packed, loads, now)
        if is_new:
            self._wake()

    def forget_peer(self, peer: str) -> None:
        """Drop the report of a peer that is gone."""
        self.apply_report(peer, b"")
        with self._lock:
            self._queues.handovers.readers.forget(peer)
