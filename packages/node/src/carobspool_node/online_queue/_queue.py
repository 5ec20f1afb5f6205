"""The queues of all services of one entry, the threads that wait in them, and their reports."""

from __future__ import annotations

import itertools
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import Generic

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.online_queue import FleetWaiting, ReturnTimes, RunTimes
from carobspool_node.online_queue._queue_log import QueueLog, QueueTelemetry
from carobspool_node.online_queue._reports import pack_waiting, unpack_waiting
from carobspool_node.online_queue._requests import P, QueueRefusedError, Ticket, WaitingRequest
from carobspool_node.online_queue._service_queue import ServiceQueue
from carobspool_node.online_queue._waiting_tickets import WaitingTickets

TICK_S = 0.02
"""Time between two checks while requests wait: a third of the time for which a slot is held."""
IDLE_TICK_S = 1.0
CHECK_INTERVAL: Millis = 100.0
"""Time between two checks of each waiting request for an entry that leaves or a service without
upstreams."""
ENTRIES_COUNT_INTERVAL: Millis = 1_000.0
"""Shortest time between two counts of the entries; they change when one starts or ends."""
MAX_TOKEN_WAIT: Millis = 5_000.0
"""Longest time ahead for which tokens are promised to callers over a limit. Callers that do not
return would otherwise delay the later ones more and more."""
LEAVING_RETRY_AFTER: Millis = 20.0
"""Retry delay when the entry closes: almost none, since the retry reaches another entry."""
CLOSE_TIMEOUT_S = 0.1
"""How long the closing entry waits until the refused callers have their answers."""


class OnlineQueue(Generic[P]):
    """The online requests that wait at this entry. Thread-safe.

    Args:
        clock: The process's clock.
        telemetry: Counters and histograms.
        name: Name of this entry.
        room: Returns, for a service, how many more online requests each upstream takes, by its
            identity, and the slots of all its upstreams.
        sharers: Returns the peers that use the same upstreams, ``None`` for all peers.
        entries: Returns the number of entries that use the same upstreams, this one included.
        on_change: Called when the number of waiting requests has changed.
        draw: Random numbers.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: QueueTelemetry,
        *,
        name: str,
        room: Callable[[str], tuple[Mapping[str, int], int]],
        sharers: Callable[[], frozenset[str] | None] = lambda: None,
        entries: Callable[[], int] = lambda: 1,
        on_change: Callable[[], None] = lambda: None,
        draw: Random | None = None,
    ) -> None:
        self._clock = clock
        self._name = name
        self._log = QueueLog(telemetry)
        self._room = room
        self._sharers = sharers
        self._entries = entries
        self._entry_count = 1
        self._entries_counted_at: Millis = float("-inf")
        self._on_change = on_change
        self._draw = draw or Random()
        self._lock = threading.Lock()
        self._peers = FleetWaiting()
        self._services: dict[str, ServiceQueue[P]] = {}
        self._numbers = itertools.count(1)
        self._waiting: WaitingTickets[P] = WaitingTickets(self._lock)
        self._checked_at: Millis = float("-inf")
        self._returns: dict[str, ReturnTimes] = {}
        self._closed = False
        self._wake = threading.Event()

    def start(self) -> None:
        """Start the thread that places waiting requests as slots become free."""
        threading.Thread(target=self._run, name="online-queue", daemon=True).start()

    def place(self, request: WaitingRequest[P]) -> P | None:
        """Wait until the request has a place at an upstream.

        Returns:
            The placement, or ``None`` if the time of a request that may have run is over.

        Raises:
            QueueRefusedError: The request is refused and has not run.
            Exception: The exception of the request's watch, if its caller disconnects.
        """
        with self._lock:
            found = self._place_or_queue(request)
        if not isinstance(found, Ticket):
            return found
        self._on_change()
        self._wake.set()
        try:
            while not found.ended:
                found.wait(request.deadline - self._clock.now())
                self._end_at_deadline(found)
        except BaseException:
            self._abandon(found)
            raise
        finally:
            found.close()
        return self._outcome(found)

    def refusal_answered(self, refusal: QueueRefusedError) -> None:
        """Record that the caller of a refused request has its answer."""
        if refusal.has_waited:
            with self._lock:
                self._waiting.count_answered()

    def delay_over_limit(self, organisation: str, *, wait: Millis, per_second: float) -> Millis:
        """Return the Retry-After of a caller whose organisation is over its limit.

        Args:
            organisation: Name of the organisation.
            wait: Time until the organisation's next free token.
            per_second: Its tokens a second. Each caller that was sent away before gets one of them.
        """
        now = self._clock.now()
        with self._lock:
            returns = self._returns.setdefault(organisation, ReturnTimes())
            return returns.next_after(wait, 1000.0 / per_second, now=now, limit=MAX_TOKEN_WAIT)

    def record_run(self, service: str, duration: Millis) -> None:
        """Record how long a request took from its placement to its end."""
        with self._lock:
            self._service(service).times.add_run(duration)

    def mean_run(self, service: str) -> Millis:
        """Return the mean time that a request of a service occupies a slot."""
        found = self._services.get(service)
        return RunTimes().run if found is None else found.times.run

    def request_ends(self, service: str, identity: str) -> None:
        """Record that a request of this entry is about to leave its slot at an upstream."""
        with self._lock:
            self._service(service).own_request_ended(identity)

    def record_first_event(self, service: str, duration: Millis) -> None:
        """Record how long a request took from its placement to its first event or its answer."""
        with self._lock:
            self._service(service).times.add_first_event(duration)

    def capacity_freed(self) -> None:
        """Consider waiting requests, since a slot may have become free."""
        if self._waiting:
            self._wake.set()

    def report(self) -> bytes:
        """Return the numbers of waiting requests, for hints to the other entries."""
        if not self._waiting:
            return b""
        counts: Counter[tuple[int, int]] = Counter()
        with self._lock:
            for service in self._services.values():
                counts.update(service.queue.counts())
        return pack_waiting(counts)

    def apply_report(self, peer: str, packed: bytes) -> None:
        """Take over the report of a peer."""
        sharers = self._sharers()
        if sharers is not None and peer not in sharers:
            packed = b""
        with self._lock:
            fewer = self._peers.update(peer, unpack_waiting(packed), self._clock.now())
        if self._waiting and fewer:
            self._wake.set()

    def forget_peer(self, peer: str) -> None:
        """Drop the report of a peer that is gone."""
        self.apply_report(peer, b"")

    def reconsider(self) -> None:
        """Apply a changed configuration to the requests that wait."""
        with self._lock:
            now = self._clock.now()
            for ticket in self._waiting.all():
                refusal = None
                if not ticket.request.may_have_run:
                    refusal = ticket.request.refusal_by_configuration()
                if refusal is not None:
                    self._end(ticket, refusal)
                    continue
                rank = ticket.request.rank()
                if rank != ticket.rank:
                    self._service(ticket.request.service).change_rank(ticket, rank, now)
        self._on_change()
        self._wake.set()

    def close(self) -> None:
        """Refuse all waiting and new requests, and wait until the waiting ones are answered."""
        with self._lock:
            self._closed = True
            for ticket in self._waiting.all():
                self._end(ticket, _leaving())
            self._waiting.wait_answered(CLOSE_TIMEOUT_S)

    def start_waiting(self) -> None:
        """Start the waiting requests that may start now, and refuse those that cannot wait."""
        with self._lock:
            now = self._clock.now()
            self._peers.expire(now)
            changed = self._end_unservable(now)
            for name, service in self._services.items():
                self._observe(service, name, now)
                changed = self._pass(service, now) or changed
        if changed:
            self._on_change()

    def _run(self) -> None:
        while True:
            is_active = bool(self._waiting) or len(self._peers) > 0
            self._wake.wait(TICK_S if is_active else IDLE_TICK_S)
            self._wake.clear()
            if not is_active and not self._waiting:
                continue
            try:
                self.start_waiting()
            except Exception:  # noqa: BLE001
                # An error in one pass must not stop the thread: all waiting requests would then
                # wait until their deadlines.
                logging.exception("event=queue_failed")

    def _pass(self, service: ServiceQueue[P], now: Millis) -> bool:
        ended = service.end_expired(now) + service.start_next(now)
        for ticket in ended:
            self._waiting.remove(ticket)
        return bool(ended)

    def _end_unservable(self, now: Millis) -> bool:
        """Refuse requests that cannot wait any longer; return whether there were any."""
        if now - self._checked_at < CHECK_INTERVAL:
            return False
        self._checked_at = now
        before = len(self._waiting)
        for ticket in self._waiting.all():
            refusal = None if ticket.request.may_have_run else ticket.request.refusal()
            if refusal is not None:
                self._end(ticket, refusal)
        return len(self._waiting) < before

    def _place_or_queue(self, request: WaitingRequest[P]) -> P | Ticket[P] | None:
        """Place a request at once, or queue it and return its ticket."""
        if self._closed and not request.may_have_run:
            raise _leaving()
        now = self._clock.now()
        self._peers.expire(now)
        rank = request.rank()
        service = self._service(request.service)
        self._observe(service, request.service, now)
        placement = service.place_at_once(request, rank, now)
        if placement is not None:
            self._log.placed_at_once()
            return placement
        ticket = Ticket(next(self._numbers), request, rank, now)
        try:
            service.add(ticket, now)
        except QueueRefusedError as refusal:
            self._log.refused(ticket, refusal, now, self._peers.oldest_age(now))
            raise
        ticket.prepare_wait()
        self._waiting.add(ticket)
        self._evict_surplus(now)
        self._log.queued(ticket, len(service.queue), self._peers.oldest_age(now))
        if not ticket.ended:
            for started in service.start_next(now):
                self._waiting.remove(started)
        return ticket

    def _observe(self, service: ServiceQueue[P], name: str, now: Millis) -> None:
        if now - self._entries_counted_at > ENTRIES_COUNT_INTERVAL:
            self._entries_counted_at = now
            self._entry_count = self._entries()
        service.entries = self._entry_count
        service.observe(*self._room(name), now)

    def _evict_surplus(self, now: Millis) -> None:
        while self._waiting.exceed_bounds:
            fullest = max(self._services.values(), key=lambda each: each.queue.least_urgent())
            evicted = fullest.evict(now)
            if evicted is None:
                return
            self._waiting.remove(evicted)

    def _service(self, name: str) -> ServiceQueue[P]:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = ServiceQueue(self._name, self._peers, self._draw)
        return service

    def _end(self, ticket: Ticket[P], refusal: QueueRefusedError | None) -> None:
        self._service(ticket.request.service).remove(ticket)
        ticket.end(refused=refusal)
        self._waiting.remove(ticket)

    def _end_at_deadline(self, ticket: Ticket[P]) -> None:
        now = self._clock.now()
        with self._lock:
            if ticket.ended or now < ticket.request.deadline:
                return
            refusal = None
            if not ticket.request.may_have_run:
                service = self._service(ticket.request.service)
                refusal = service.refuse(ticket, "no slot was free before the deadline", now)
            self._end(ticket, refusal)

    def _abandon(self, ticket: Ticket[P]) -> None:
        """Remove a request whose caller has disconnected; give up its place if it has one."""
        with self._lock:
            if not ticket.ended:
                self._end(ticket, None)
            self._waiting.count_answered()
        if ticket.placement is not None:
            ticket.request.release(ticket.placement)
        self._on_change()

    def _outcome(self, ticket: Ticket[P]) -> P | None:
        now = self._clock.now()
        with self._lock:
            age = self._peers.oldest_age(now)
            if ticket.refused is not None:
                self._log.refused(ticket, ticket.refused, now, age)
                raise ticket.refused
            self._waiting.count_answered()
        self._log.dequeued(ticket, now, age)
        return ticket.placement


def _leaving() -> QueueRefusedError:
    return QueueRefusedError("this entry is leaving", retry_after=LEAVING_RETRY_AFTER)
