"""The queues of all services of one entry, the threads that wait in them, and their reports."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Mapping
from random import Random
from typing import Generic

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.online_queue import ReturnTimes
from carobspool_node.online_queue._peer_reports import PeerReports
from carobspool_node.online_queue._queue_log import QueueLog, QueueTelemetry
from carobspool_node.online_queue._requests import P, QueueRefusedError, Ticket, WaitingRequest
from carobspool_node.online_queue._service_queues import ServiceQueues

TICK_S = 0.02
"""Time between two checks while requests wait: a third of the time for which a slot is held."""
IDLE_TICK_S = 1.0
MAX_TOKEN_WAIT: Millis = 5_000.0
"""Longest time ahead for which tokens are promised to callers over a limit. Callers that do not
return would otherwise delay the later ones more and more."""
MAX_RETURNS = 1_024
"""Organisations whose promised tokens are kept. Promises are at most `MAX_TOKEN_WAIT` ahead, so
little is lost if all are dropped once that many organisations have been over their limits."""
LEAVING_RETRY_AFTER: Millis = 20.0
"""Retry delay when the entry closes: almost none, since the retry reaches another entry."""
CLOSE_TIMEOUT_S = 0.1
"""How long the closing entry waits until the refused callers have their answers."""


class OnlineQueue(Generic[P]):
    """The online requests that wait at this entry. Thread-safe.

    Attributes:
        reports: What this entry and its peers tell each other.

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
        self._log = QueueLog(telemetry)
        self._on_change = on_change
        self._lock = threading.Lock()
        self._queues: ServiceQueues[P] = ServiceQueues(
            self._lock,
            name=name,
            room=room,
            entries=entries,
            draw=draw or Random(),
            log=self._log,
        )
        self._waiting = self._queues.waiting
        self._peers = self._queues.peers
        self._wake = threading.Event()
        self.reports = PeerReports(
            clock, self._lock, self._queues, sharers=sharers, wake=self._wake.set
        )
        self._numbers = itertools.count(1)
        self._returns: dict[str, ReturnTimes] = {}
        self._closed = False

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
            if len(self._returns) >= MAX_RETURNS and organisation not in self._returns:
                self._returns.clear()
            returns = self._returns.setdefault(organisation, ReturnTimes())
            return returns.next_after(wait, 1000.0 / per_second, now=now, limit=MAX_TOKEN_WAIT)

    def record_run(self, service: str, duration: Millis) -> None:
        """Record how long a request took from its placement to its end."""
        with self._lock:
            self._queues.service(service).times.add_run(duration)

    def mean_run(self, service: str) -> Millis:
        """Return the mean time that a request of a service occupies a slot."""
        return self._queues.mean_run(service)

    def request_ends(self, service: str, identity: str) -> None:
        """Record that a request of this entry is about to leave its slot at an upstream."""
        with self._lock:
            self._queues.service(service).free.own_request_ended(identity)

    def record_first_event(self, service: str, duration: Millis) -> None:
        """Record how long a request took from its placement to its first event or its answer."""
        with self._lock:
            self._queues.service(service).times.add_first_event(duration)

    def capacity_freed(self) -> None:
        """Consider waiting requests, since a slot may have become free."""
        if self._waiting or len(self._peers):
            self._wake.set()

    def reconsider(self) -> None:
        """Apply a changed configuration to the requests that wait."""
        with self._lock:
            self._queues.reconsider(self._clock.now())
        self._on_change()
        self._wake.set()

    def close(self) -> None:
        """Refuse all waiting and new requests, and wait until the waiting ones are answered."""
        with self._lock:
            self._closed = True
            for ticket in self._waiting.all():
                self._queues.end(ticket, None if ticket.request.may_have_run else _leaving())
            self._waiting.wait_answered(CLOSE_TIMEOUT_S)

    def start_waiting(self) -> None:
        """Start the waiting requests that may start now, and refuse those that cannot wait."""
        with self._lock:
            version = self._queues.handovers.version
            changed = self._queues.start_all(self._clock.now())
            changed = changed or self._queues.handovers.version != version
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

    def _place_or_queue(self, request: WaitingRequest[P]) -> P | Ticket[P] | None:
        """Place a request at once, or queue it and return its ticket."""
        if self._closed and not request.may_have_run:
            raise _leaving()
        now = self._clock.now()
        rank = request.rank()
        self._queues.observe(request.service, now)
        service = self._queues.service(request.service)
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
        self._queues.evict_surplus(now)
        self._log.queued(ticket, len(service.queue), self._peers.oldest_age(now))
        if not ticket.ended:
            self._queues.start_next(request.service, now)
        return ticket

    def _end_at_deadline(self, ticket: Ticket[P]) -> None:
        now = self._clock.now()
        with self._lock:
            if ticket.ended or now < ticket.request.deadline:
                return
            refusal = None
            if not ticket.request.may_have_run:
                service = self._queues.service(ticket.request.service)
                refusal = service.refuse(ticket, "no slot was free before the deadline", now)
            self._queues.end(ticket, refusal)

    def _abandon(self, ticket: Ticket[P]) -> None:
        """Remove a request whose caller has disconnected; give up its place if it has one."""
        with self._lock:
            if not ticket.ended:
                self._queues.end(ticket, None)
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
