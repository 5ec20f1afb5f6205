"""Start-time fair queueing of waiting requests across callers.

Load pattern: one caller sends far more than the others, or all callers together send more than the
upstream serves. In a first-come, first-served queue the heaviest caller would determine the wait of
all callers, and requests would wait past their deadline and then fail.

The requests of one caller are served in order of arrival. The caller with the lowest start tag is
served next; serving a request of ``c`` tokens advances the caller's tag by ``c / weight``. Tags
advance only when a request is served, so a request cancelled in the queue costs its caller nothing.
The state of an idle caller is dropped as soon as the virtual time has passed its tag.

Every operation takes O(log n) amortised time for n waiting requests.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId
from carobspool_core._outcome import Failure
from carobspool_core._refusals import deadline_unreachable, queue_full
from carobspool_core._tickets import FairQueueItem, QueueBounds

_MIN_STALE_ENTRIES = 64
"""Stale heap entries tolerated beyond the number of live ones; small heaps are never rebuilt."""

_WAIT_MARGIN = 2.0
"""Factor on the predicted wait, since later requests of lighter callers overtake waiting requests.
Without the margin, one refusal in ten comes only after seconds in the queue; with it, one in
thirty, at the same goodput (docs/design/fair-queueing.md)."""

T = TypeVar("T")


@dataclass(slots=True)
class _CallerBacklog(Generic[T]):
    """The waiting requests of one caller; ``order`` identifies its valid entry in ``_heads``."""

    weight: float
    start: float
    order: int
    cost: float = 0.0
    tickets: OrderedDict[RequestId, FairQueueItem[T]] = field(default_factory=OrderedDict)

    @property
    def weighted_cost(self) -> float:
        return self.cost / self.weight


class FairQueue(Generic[T]):
    """A bounded queue, fair across callers by weighted cost. Created by `make_fair_queue`.

    Since 0.1.
    """

    def __init__(self, bounds: QueueBounds, *, by_deadline: bool = False) -> None:
        self._bounds = bounds
        self._by_deadline = by_deadline
        self._backlogs: dict[str, _CallerBacklog[T]] = {}
        self._caller_of: dict[RequestId, str] = {}
        self._heads: list[tuple[float, int, str]] = []
        self._deadlines: list[tuple[Millis, int, RequestId]] = []
        self._weighted_costs: list[tuple[float, int, str]] = []
        self._idle_tags: dict[str, float] = {}
        self._idle_heap: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._order = 0
        self._cost = 0.0
        self._busy_weight = 0.0
        self._tokens_per_ms = 0.0

    def __len__(self) -> int:
        return len(self._caller_of)

    def __contains__(self, id: RequestId) -> bool:
        return id in self._caller_of

    @property
    def cost(self) -> float:
        """Estimated tokens of all waiting requests."""
        return self._cost

    @property
    def caller_count(self) -> int:
        """Number of callers with state in the queue, with or without waiting requests."""
        return len(self._backlogs) + len(self._idle_tags)

    def set_throughput(self, tokens_per_ms: float) -> None:
        """Set the throughput used to predict waits; 0 while it is unknown."""
        self._tokens_per_ms = tokens_per_ms

    def predicted_wait(self, caller: str, weight: float) -> Millis:
        """Return the predicted wait of a new request of ``caller``; 0 while the rate is unknown.

        The virtual time reaches the request's start tag when every busy caller has been served up
        to that tag. This takes at least one round, with one request of each caller, and at most as
        long as serving all waiting requests.
        """
        if self._tokens_per_ms <= 0.0:
            return 0.0
        return self.cost_ahead(caller, weight) * _WAIT_MARGIN / self._tokens_per_ms

    def cost_ahead(self, caller: str, weight: float) -> float:
        """Return the estimated tokens that are served before a new request of ``caller``."""
        if not self._caller_of:
            return 0.0
        backlog = self._backlogs.get(caller)
        if backlog is None:
            tag = self._idle_tags.get(caller, self._virtual_time)
            weights = self._busy_weight + weight
        else:
            tag = backlog.start + backlog.cost / backlog.weight
            weights = self._busy_weight
        round_cost = self._cost * len(self._backlogs) / len(self._caller_of)
        ahead = max(round_cost, (tag - self._virtual_time) * weights)
        return min(self._cost, ahead)

    def push(
        self, ticket: FairQueueItem[T], now: Millis
    ) -> Result[tuple[FairQueueItem[T], ...], Failure]:
        """Queue a request.

        Args:
            ticket: The request.
            now: The current time.

        Returns:
            The requests evicted to make room, which the owner must refuse immediately; or the
            refusal of ``ticket``.
        """
        refusal = self._refusal_for(ticket, now)
        if refusal is not None:
            return Failed(refusal)
        evicted: tuple[FairQueueItem[T], ...] = ()
        if len(self._caller_of) >= self._bounds.total:
            heaviest = self._heaviest()
            if not self._is_lighter(ticket, heaviest):
                return Failed(queue_full(self.predicted_wait(ticket.caller, ticket.weight)))
            evicted = (self._evict_newest(heaviest),)
        self._insert(ticket)
        return Success(evicted)

    def peek(self) -> FairQueueItem[T] | None:
        """Return the next request to serve without removing it; ``None`` if the queue is empty."""
        while self._heads:
            _, order, caller = self._heads[0]
            backlog = self._backlogs.get(caller)
            if backlog is not None and backlog.order == order:
                return next(iter(backlog.tickets.values()))
            heapq.heappop(self._heads)
        return None

    def pop(self) -> FairQueueItem[T] | None:
        """Remove and return the next request to serve; ``None`` if the queue is empty."""
        ticket = self.peek()
        if ticket is None:
            return None
        backlog = self._backlogs[ticket.caller]
        self._virtual_time = max(self._virtual_time, backlog.start)
        backlog.start += ticket.cost / backlog.weight
        self._detach(ticket, backlog)
        self._drop_passed_tags()
        return ticket

    def remove(self, id: RequestId) -> FairQueueItem[T] | None:
        """Remove and return a request, such as a cancelled one; ``None`` if it is not queued."""
        caller = self._caller_of.get(id)
        if caller is None:
            return None
        backlog = self._backlogs[caller]
        ticket = backlog.tickets[id]
        self._detach(ticket, backlog)
        return ticket

    def evict(self) -> FairQueueItem[T] | None:
        """Remove and return the newest request of the heaviest caller, the least urgent one.

        In a queue by deadline it is that caller's request with the latest deadline.
        """
        return self._evict_newest(self._heaviest()) if self._caller_of else None

    def expire(self, now: Millis) -> list[FairQueueItem[T]]:
        """Remove and return all requests that can no longer meet their deadline."""
        expired: list[FairQueueItem[T]] = []
        while self._deadlines and self._deadlines[0][0] < now:
            _, _, id = heapq.heappop(self._deadlines)
            ticket = self.remove(id)
            if ticket is not None:
                expired.append(ticket)
        return expired

    def next_expiry(self) -> Millis | None:
        """Return the earliest ``start_by`` of all waiting requests, or ``None`` if none waits."""
        while self._deadlines and self._deadlines[0][2] not in self._caller_of:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _refusal_for(self, ticket: FairQueueItem[T], now: Millis) -> Failure | None:
        backlog = self._backlogs.get(ticket.caller)
        if backlog is not None and len(backlog.tickets) >= self._bounds.per_caller:
            return queue_full(self.predicted_wait(ticket.caller, ticket.weight))
        lateness = now + self.predicted_wait(ticket.caller, ticket.weight) - ticket.start_by
        return deadline_unreachable(lateness) if lateness > 0.0 else None

    def _insert(self, ticket: FairQueueItem[T]) -> None:
        backlog = self._backlogs.get(ticket.caller)
        if backlog is None:
            backlog = self._open_backlog(ticket)
        self._add_to_backlog(backlog, ticket)
        backlog.cost += ticket.cost
        self._cost += ticket.cost
        self._caller_of[ticket.id] = ticket.caller
        self._order += 1
        heapq.heappush(self._deadlines, (ticket.start_by, self._order, ticket.id))
        heapq.heappush(self._weighted_costs, (-backlog.weighted_cost, self._order, ticket.caller))
        self._rebuild_stale_heaps()

    def _add_to_backlog(self, backlog: _CallerBacklog[T], ticket: FairQueueItem[T]) -> None:
        last = next(reversed(backlog.tickets.values()), None)
        backlog.tickets[ticket.id] = ticket
        if self._by_deadline and last is not None and ticket.start_by < last.start_by:
            ordered = sorted(backlog.tickets.values(), key=lambda each: each.start_by)
            backlog.tickets = OrderedDict((each.id, each) for each in ordered)

    def _open_backlog(self, ticket: FairQueueItem[T]) -> _CallerBacklog[T]:
        tag = self._idle_tags.pop(ticket.caller, 0.0)
        start = max(self._virtual_time, tag)
        self._order += 1
        backlog: _CallerBacklog[T] = _CallerBacklog(
            weight=ticket.weight, start=start, order=self._order
        )
        self._backlogs[ticket.caller] = backlog
        self._busy_weight += ticket.weight
        heapq.heappush(self._heads, (start, self._order, ticket.caller))
        return backlog

    def _detach(self, ticket: FairQueueItem[T], backlog: _CallerBacklog[T]) -> None:
        """Remove a waiting request, and close or requeue its caller's backlog."""
        del backlog.tickets[ticket.id]
        del self._caller_of[ticket.id]
        backlog.cost -= ticket.cost
        self._cost -= ticket.cost
        if not self._caller_of:
            self._end_busy_period()
            return
        if not backlog.tickets:
            self._close_backlog(ticket.caller, backlog)
            return
        self._order += 1
        backlog.order = self._order
        heapq.heappush(self._heads, (backlog.start, self._order, ticket.caller))

    def _close_backlog(self, caller: str, backlog: _CallerBacklog[T]) -> None:
        del self._backlogs[caller]
        self._busy_weight -= backlog.weight
        if backlog.start <= self._virtual_time:
            return
        self._idle_tags[caller] = backlog.start
        heapq.heappush(self._idle_heap, (backlog.start, caller))

    def _end_busy_period(self) -> None:
        self._backlogs.clear()
        self._idle_tags.clear()
        self._heads.clear()
        self._deadlines.clear()
        self._weighted_costs.clear()
        self._idle_heap.clear()
        self._virtual_time = self._cost = self._busy_weight = 0.0

    def _drop_passed_tags(self) -> None:
        while self._idle_heap and self._idle_heap[0][0] <= self._virtual_time:
            tag, caller = heapq.heappop(self._idle_heap)
            if self._idle_tags.get(caller) == tag:
                del self._idle_tags[caller]

    def _heaviest(self) -> str:
        while True:
            weighted_cost, order, caller = self._weighted_costs[0]
            backlog = self._backlogs.get(caller)
            if backlog is not None and -backlog.weighted_cost == weighted_cost:
                return caller
            heapq.heappop(self._weighted_costs)
            if backlog is not None:
                heapq.heappush(self._weighted_costs, (-backlog.weighted_cost, order, caller))

    def _is_lighter(self, ticket: FairQueueItem[T], heaviest: str) -> bool:
        backlog = self._backlogs.get(ticket.caller)
        queued_cost = 0.0 if backlog is None else backlog.cost
        return (queued_cost + ticket.cost) / ticket.weight < self._backlogs[heaviest].weighted_cost

    def _evict_newest(self, caller: str) -> FairQueueItem[T]:
        backlog = self._backlogs[caller]
        newest = next(reversed(backlog.tickets.values()))
        self._detach(newest, backlog)
        return newest

    def _rebuild_stale_heaps(self) -> None:
        # Removed requests leave stale entries in the heaps. Without a rebuild, the heaps of a queue
        # that never empties would grow without bound. A rebuild when half of the entries are stale
        # preserves the amortised cost.
        if len(self._deadlines) > 2 * len(self._caller_of) + _MIN_STALE_ENTRIES:
            self._deadlines = [entry for entry in self._deadlines if entry[2] in self._caller_of]
            heapq.heapify(self._deadlines)
        if len(self._weighted_costs) > 2 * len(self._backlogs) + _MIN_STALE_ENTRIES:
            numbered = enumerate(self._backlogs.items())
            self._weighted_costs = [
                (-backlog.weighted_cost, index, caller) for index, (caller, backlog) in numbered
            ]
            heapq.heapify(self._weighted_costs)
        if len(self._heads) > 2 * len(self._backlogs) + _MIN_STALE_ENTRIES:
            live = self._backlogs.items()
            self._heads = [(backlog.start, backlog.order, caller) for caller, backlog in live]
            heapq.heapify(self._heads)


def make_fair_queue(
    bounds: QueueBounds | None = None, *, by_deadline: bool = False
) -> FairQueue[T]:
    """Return an empty queue.

    Args:
        bounds: Bounds of the queue; ``None`` means the defaults of `QueueBounds`.
        by_deadline: Whether the requests of one caller are served by their latest start instead of
            in order of arrival.

    Since 0.1.
    """
    return FairQueue(bounds or QueueBounds(), by_deadline=by_deadline)
