"""The queue of one service: its waiting requests, its free slots and its refusals."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Generic

from carobspool_core import Millis
from carobspool_core.online_queue import (
    HINT_AGE,
    ArrivalRates,
    Competition,
    EntryQueue,
    FleetWaiting,
    Handovers,
    QueuedRequest,
    ReturnTimes,
    RunTimes,
    predicted_wait,
    rate_left,
    retry_after,
)
from carobspool_node.online_queue._requests import P, QueueRefusedError, Ticket, WaitingRequest
from carobspool_node.online_queue._service_slots import HandoverCallback, ServiceSlots

REPORT_AGE: Millis = 50.0
"""How long requests of a class must wait before this entry takes part in common draws: until then
the peers do not know of them and may draw one of their own for the same slot."""
RUN_TIME_MARGIN = 0.8
"""Fraction of the mean run that must be left before the deadline for a start. Runs of one service
differ by some 20 percent, and a run that is cut off has occupied its slot for nothing."""


class ServiceQueue(Generic[P]):
    """The requests that wait for one service. Not thread-safe.

    Args:
        name: Name of this entry.
        peers: Requests of the service that wait at the other entries.
        handovers: Slots that are handed over between entries.
        draw: Random numbers.
        on_handover: Called for each slot that is handed over.
    """

    def __init__(
        self,
        name: str,
        peers: FleetWaiting,
        handovers: Handovers,
        draw: Random,
        on_handover: HandoverCallback = lambda identity, to, rank, number: None,
    ) -> None:
        self._name = name
        self._peers = peers
        self._draw = draw
        self.free = ServiceSlots(peers, handovers, draw, on_handover)
        self._returns = ReturnTimes()
        self._tickets: dict[int, Ticket[P]] = {}
        self._continued: dict[int, Ticket[P]] = {}
        self._slots = 0
        self._waiting_since: dict[tuple[int, int], Millis] = {}
        self._arrivals = ArrivalRates()
        self.entries = 1
        self.queue = EntryQueue()
        self.times = RunTimes()

    @property
    def tickets(self) -> list[Ticket[P]]:
        """All requests that wait, continued ones included."""
        return [*self._tickets.values(), *self._continued.values()]

    def observe(self, free: Mapping[str, int], slots: int, now: Millis) -> None:
        """Record the free slots by upstream, and the slots of all upstreams."""
        self._slots = slots
        self.free.observe(free, slots, now)

    def place_at_once(self, request: WaitingRequest[P], rank: int, now: Millis) -> P | None:
        """Place a request that need not wait."""
        self._arrivals.add(rank, now)
        if request.is_continued:
            return request.place(None)
        if len(self.queue) or (self._peers and self.free.has_own_slots):
            # In the second case the slots of this entry may be due to peers.
            return None
        return self._place(request, (rank, 0), 1, now)

    def add(self, ticket: Ticket[P], now: Millis) -> None:
        """Queue a request, or record why it is refused instead."""
        request = ticket.request
        if request.is_continued:
            self._continued[ticket.number] = ticket
            return
        rate = self.times.free_rate(self._slots)
        ticket.predicted = predicted_wait(
            self.queue,
            self._peers,
            rank=ticket.rank,
            organisation=request.organisation,
            is_retry=request.is_retry,
            free_rate=rate_left(rate, self._arrivals.rate_before(ticket.rank, now) * self.entries),
        )
        queued = self._queued(ticket)
        if now > queued.latest_start:
            raise self.refuse(ticket, "it cannot end in the time that is left", now)
        if not request.is_retry and now + ticket.predicted > queued.on_time_until:
            raise self.refuse(ticket, "it would wait too long for a slot", now)
        self.queue.add(queued, now)
        self._tickets[ticket.number] = ticket

    def refuse(self, ticket: Ticket[P], reason: str, now: Millis) -> QueueRefusedError:
        """Return a refusal whose Retry-After follows from the work that waits."""
        rate = self.times.free_rate(self._slots)
        delay = retry_after(
            self._returns,
            wait=ticket.predicted,
            spacing=(1 + len(self._peers)) / rate if rate > 0.0 else 0.0,
            time_left=ticket.request.deadline - now,
            now=now,
            drawn=self._draw.random(),
        )
        return QueueRefusedError(reason, retry_after=delay)

    def start_next(self, now: Millis) -> list[Ticket[P]]:
        """Place the requests that may start now and return them."""
        self._note_waiting(now)
        started: list[Ticket[P]] = []
        for ticket in list(self._continued.values()):
            placement = ticket.request.place(None)
            if placement is not None:
                del self._continued[ticket.number]
                ticket.end(placement=placement)
                started.append(ticket)
        self._hand_over(now, started)
        while self._start_first(now, started):
            pass
        return started

    def _hand_over(self, now: Millis, started: list[Ticket[P]]) -> None:
        """Decide who uses the slots that requests of this entry have left."""
        while self.free.has_own_slots:
            if self.free.hand_over(self.queue.counts(), now):
                continue
            if not self._start_first(now, started):
                return

    def _start_first(self, now: Millis, started: list[Ticket[P]]) -> bool:
        """Place the request whose turn it is; return whether there was a slot for it."""
        request = self.queue.first(now)
        if request is None:
            return False
        # A slot that this entry may use for its most urgent class goes to the request whose
        # turn it is, which may be of a less urgent rank.
        counts = self.queue.counts()
        own = min(counts)
        ticket = self._tickets[request.number]
        placement = self._place(ticket.request, own, counts[own], now)
        if placement is None:
            return False
        self.queue.start(request)
        del self._tickets[request.number]
        ticket.end(placement=placement)
        started.append(ticket)
        return True

    def end_expired(self, now: Millis) -> list[Ticket[P]]:
        """End and return the requests that can no longer end before their deadlines."""
        ended = []
        for request in self.queue.expire(now):
            ticket = self._tickets.pop(request.number)
            reason = "it cannot end in the time that is left"
            ticket.end(refused=self.refuse(ticket, reason, now))
            ended.append(ticket)
        return ended

    def evict(self, now: Millis) -> Ticket[P] | None:
        """Refuse the least urgent request to make room, and return it."""
        request = self.queue.evict()
        if request is None:
            return None
        ticket = self._tickets.pop(request.number)
        ticket.end(refused=self.refuse(ticket, "too many requests wait", now))
        return ticket

    def remove(self, ticket: Ticket[P]) -> None:
        """Remove a request whose wait has ended otherwise."""
        self.queue.remove(ticket.number)
        self._tickets.pop(ticket.number, None)
        self._continued.pop(ticket.number, None)

    def change_rank(self, ticket: Ticket[P], rank: int, now: Millis) -> None:
        """Queue a waiting request again in another rank."""
        if self.queue.remove(ticket.number) is not None:
            ticket.rank = rank
            self.queue.add(self._queued(ticket), now)

    def _place(
        self, request: WaitingRequest[P], own: tuple[int, int], count: int, now: Millis
    ) -> P | None:
        """Place a request at a slot that this entry may use for its class.

        Args:
            request: The request.
            own: The most urgent class that waits here.
            count: Number of requests of this class that wait here.
            now: Current time.
        """
        usable = self.free.usable(
            self._competition(own, count, now),
            now,
            lambda identity: self._is_reported(own, now)
            and self._peers.is_drawn(identity, own, self._name, count),
        )
        if usable is not None and not usable:
            return None
        placement = request.place(usable)
        if placement is not None:
            self.free.take(placement.upstream.identity, now)
        return placement

    def _note_waiting(self, now: Millis) -> None:
        """Record since when requests of each class have waited."""
        self._waiting_since = {
            key: self._waiting_since.get(key, now) for key in self.queue.counts()
        }

    def _is_reported(self, waiting: tuple[int, int], now: Millis) -> bool:
        """Return whether the peers probably know that requests of a class wait here."""
        return now - self._waiting_since.get(waiting, now) >= REPORT_AGE

    def _queued(self, ticket: Ticket[P]) -> QueuedRequest:
        request = ticket.request
        return QueuedRequest(
            number=ticket.number,
            rank=ticket.rank,
            organisation=request.organisation,
            cost=request.cost,
            on_time_until=self.times.on_time_until(request.arrived, request.target_latency),
            latest_start=request.deadline - self.times.run * RUN_TIME_MARGIN,
            is_retry=request.is_retry,
        )

    def _competition(self, own: tuple[int, int], count: int, now: Millis) -> Competition:
        rank, is_late = own
        peers = self.entries - 1
        return Competition(
            ahead=self._peers.ahead(own),
            equal=self._peers.equal(own),
            own=count,
            peers=len(self._peers),
            unseen_ahead=self._arrivals.rate_before(rank + is_late, now) * peers * HINT_AGE,
            unseen_equal=0.0 if is_late else self._arrivals.rate(rank, now) * peers * HINT_AGE,
        )
