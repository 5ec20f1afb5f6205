"""The queues of all services of one entry, and the reports of the peers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from random import Random
from typing import Generic

from carobspool_core import Millis
from carobspool_core.direct import Load, short_key_of
from carobspool_core.online_queue import FleetReports, Handovers, RunTimes, WaitingByService
from carobspool_node.online_queue._queue_log import QueueLog
from carobspool_node.online_queue._reports import unpack_handovers
from carobspool_node.online_queue._requests import P, QueueRefusedError, Ticket
from carobspool_node.online_queue._service_queue import ServiceQueue
from carobspool_node.online_queue._waiting_tickets import WaitingTickets

ENTRIES_COUNT_INTERVAL: Millis = 1_000.0
"""Shortest time between two counts of the entries; they change when one starts or ends."""
CHECK_INTERVAL: Millis = 100.0
"""Time between two checks of each waiting request for an entry that leaves or a service without
upstreams."""


class ServiceQueues(Generic[P]):
    """All waiting requests of this entry. The caller holds the lock.

    Args:
        lock: The lock.
        name: Name of this entry.
        room: Returns, for a service, the room of each upstream and the slots of all of them.
        entries: Returns the number of entries that use the same upstreams, this one included.
        draw: Random numbers.
        log: Logs and counts handovers.
    """

    def __init__(
        self,
        lock: threading.Lock,
        *,
        name: str,
        room: Callable[[str], tuple[Mapping[str, int], int]],
        entries: Callable[[], int],
        draw: Random,
        log: QueueLog,
    ) -> None:
        self._name = name
        self._room = room
        self._entries = entries
        self._entry_count = 1
        self._entries_counted_at: Millis = float("-inf")
        self._checked_at: Millis = float("-inf")
        self._draw = draw
        self._services: dict[str, ServiceQueue[P]] = {}
        self._log = log
        self.peers = FleetReports()
        self.handovers = Handovers(name, first_number=draw.getrandbits(16))
        self.waiting: WaitingTickets[P] = WaitingTickets(lock)

    def service(self, name: str) -> ServiceQueue[P]:
        """Return the queue of a service."""
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceQueue(
                self._name,
                self.peers.service(short_key_of(name)),
                self.handovers,
                self._draw,
                self._log.handed,
            )
        return service

    def mean_run(self, name: str) -> Millis:
        """Return the mean time that a request of a service occupies a slot."""
        found = self._services.get(name)
        return RunTimes().run if found is None else found.times.run

    def counts(self) -> WaitingByService:
        """Return the number of waiting requests by the service's key, and by rank and class."""
        return {
            short_key_of(name): service.queue.counts()
            for name, service in self._services.items()
            if len(service.queue)
        }

    def observe(self, name: str, now: Millis) -> None:
        """Read the free slots of a service."""
        self.peers.expire(now)
        self.expire_handovers(now)
        if now - self._entries_counted_at > ENTRIES_COUNT_INTERVAL:
            self._entries_counted_at = now
            self._entry_count = self._entries()
        service = self.service(name)
        service.entries = self._entry_count
        service.observe(*self._room(name), now)

    @property
    def has_own_slots(self) -> bool:
        """Whether free slots that requests of this entry have left may be handed over."""
        return any(each.free.has_own_slots for each in self._services.values())

    def expire_handovers(self, now: Millis) -> None:
        """End the handovers whose time is over."""
        self._log.handovers_ended("expired", self.handovers.expire(now))

    def apply_handovers(
        self, peer: str, packed: bytes | None, loads: Mapping[int, Load], now: Millis
    ) -> bool:
        """Record the handovers and loads in a hint; return whether a slot is new for this entry.

        Args:
            peer: Name of the sender.
            packed: Its handovers, ``None`` if the hint has none.
            loads: Its requests in flight, by the upstream's key.
            now: Current time.
        """
        waiting = self.peers.count(peer)
        if packed is None and waiting:
            # Entries of this version always add the element to what waits.
            self.handovers.readers.record_previous_build(peer)
        is_new = self.handovers.apply_handovers(peer, unpack_handovers(packed or b""), now)
        if packed is not None or peer in self.handovers.readers:
            used, taken_back = self.handovers.apply_loads(peer, loads, waiting, now)
            self._log.handovers_ended("used", used)
            self._log.handovers_ended("expired", taken_back)
            is_new = is_new or taken_back > 0
        return is_new

    def start_next(self, name: str, now: Millis) -> bool:
        """Start the requests of a service that may start now; return whether there were any."""
        started = self.service(name).start_next(now)
        for ticket in started:
            self.waiting.remove(ticket)
        return bool(started)

    def start_all(self, now: Millis) -> bool:
        """Start what may start, end what cannot wait; return whether any request was affected."""
        before = len(self.waiting)
        self._end_unservable(now)
        for name, service in list(self._services.items()):
            self.observe(name, now)
            for ticket in service.end_expired(now):
                self.waiting.remove(ticket)
            self.start_next(name, now)
        return len(self.waiting) < before

    def end(self, ticket: Ticket[P], refusal: QueueRefusedError | None) -> None:
        """End the wait of a request without a placement."""
        self.service(ticket.request.service).remove(ticket)
        ticket.end(refused=refusal)
        self.waiting.remove(ticket)

    def evict_surplus(self, now: Millis) -> None:
        """Refuse the least urgent requests while too many wait.

        Those of services with less than an equal share of the places stay: the others do not wait
        for the same slots.
        """
        while self.waiting.exceed_bounds:
            queued = [each for each in self._services.values() if len(each.queue)]
            if not queued:
                return
            shares = [self.waiting.share_of(each.tickets) for each in queued]
            # The mean of equal numbers can exceed them by a rounding error.
            equal = min(max(shares), sum(shares) / len(shares))
            crowded = [queue for queue, share in zip(queued, shares, strict=True) if share >= equal]
            fullest = max(crowded, key=lambda each: each.queue.least_urgent())
            evicted = fullest.evict(now)
            if evicted is None:
                return
            self.waiting.remove(evicted)

    def reconsider(self, now: Millis) -> None:
        """Apply a changed configuration to the requests that wait."""
        for ticket in self.waiting.all():
            request = ticket.request
            refusal = None if request.may_have_run else request.refusal_by_configuration()
            if refusal is not None:
                self.end(ticket, refusal)
                continue
            rank = request.rank()
            if rank != ticket.rank:
                self.service(request.service).change_rank(ticket, rank, now)

    def _end_unservable(self, now: Millis) -> None:
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        for ticket in self.waiting.all():
            refusal = None if ticket.request.may_have_run else ticket.request.refusal()
            if refusal is not None:
                self.end(ticket, refusal)
