"""Start-time fair queueing of waiting requests over their callers.

Load pattern: one caller sends far more than the others, or everybody sends more than the upstream
serves. Without it a first-come queue lets the heaviest caller set everyone's wait, and requests
wait past their deadline only to fail then.

Each caller's requests stay in their order. The caller whose head has the lowest start tag is next;
serving a request of ``c`` tokens moves the caller's tag on by ``c / weight``. Tags are charged when
a request is served, so one that is cancelled in the queue costs its caller nothing. An idle caller
is forgotten as soon as the virtual time has passed its tag; nothing is kept for it.

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
from carobspool_core._tickets import QueueBounds, Ticket

_SLACK_ENTRIES = 64
"""Stale heap entries tolerated before a rebuild, so that small heaps are never rebuilt."""

_WAIT_MARGIN = 2.0
"""Requests of lighter callers that come later are served first and delay those that wait. Without
the margin one refusal in ten comes only after seconds in the queue; with it one in thirty, at the
same goodput (docs/design/fair-queueing.md)."""

T = TypeVar("T")


@dataclass(slots=True)
class _Backlog(Generic[T]):
    """The waiting requests of one caller; ``order`` names its only valid entry in the heap."""

    weight: float
    start: float
    order: int
    cost: float = 0.0
    tickets: OrderedDict[RequestId, Ticket[T]] = field(default_factory=OrderedDict)

    @property
    def load(self) -> float:
        return self.cost / self.weight


class FairQueue(Generic[T]):
    """A bounded queue, fair over callers by weighted cost. Made by `make_fair_queue`.

    Since 0.1.
    """

    def __init__(self, bounds: QueueBounds) -> None:
        self._bounds = bounds
        self._backlogs: dict[str, _Backlog[T]] = {}
        self._callers: dict[RequestId, str] = {}
        self._heads: list[tuple[float, int, str]] = []
        self._deadlines: list[tuple[Millis, int, RequestId]] = []
        self._loads: list[tuple[float, int, str]] = []
        self._tags: dict[str, float] = {}
        self._idle: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._order = 0
        self._cost = 0.0
        self._weight = 0.0
        self._rate = 0.0

    def __len__(self) -> int:
        return len(self._callers)

    def __contains__(self, id: RequestId) -> bool:
        return id in self._callers

    @property
    def cost(self) -> float:
        """Estimated tokens of all that wait."""
        return self._cost

    @property
    def callers_held(self) -> int:
        """Callers of whom anything is kept, waiting or not."""
        return len(self._backlogs) + len(self._tags)

    def set_rate(self, tokens_per_ms: float) -> None:
        """Set the rate at which waiting tokens are served; 0 while it is unknown."""
        self._rate = tokens_per_ms

    def predicted_wait(self, caller: str, weight: float) -> Millis:
        """Return how long a new request of ``caller`` would wait, in milliseconds.

        The virtual time reaches its start tag after the busy callers have each been served up to
        that tag, which takes at least a round of one request each and at most as long as everything
        that waits. 0 while the rate is unknown.
        """
        if self._rate <= 0.0 or not self._callers:
            return 0.0
        backlog = self._backlogs.get(caller)
        if backlog is None:
            tag = self._tags.get(caller, self._virtual)
            weights = self._weight + weight
        else:
            tag = backlog.start + backlog.cost / backlog.weight
            weights = self._weight
        round_cost = self._cost * len(self._backlogs) / len(self._callers)
        ahead = max(round_cost, (tag - self._virtual) * weights)
        return min(self._cost, ahead) * _WAIT_MARGIN / self._rate

    def push(self, ticket: Ticket[T], now: Millis) -> Result[tuple[Ticket[T], ...], Failure]:
        """Queue a request.

        Args:
            ticket: The request.
            now: The present instant.

        Returns:
            Requests pushed out to make room, each of which is to be refused at once; or the
            refusal of this one.
        """
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return Failed(refusal)
        pushed_out: tuple[Ticket[T], ...] = ()
        if len(self._callers) >= self._bounds.total:
            heaviest = self._heaviest()
            if not self._is_lighter(ticket, heaviest):
                return Failed(queue_full(self.predicted_wait(ticket.caller, ticket.weight)))
            pushed_out = (self._push_out(heaviest),)
        self._insert(ticket)
        return Success(pushed_out)

    def peek(self) -> Ticket[T] | None:
        """Return the next request to serve without taking it, or ``None`` when none waits."""
        while self._heads:
            _, order, caller = self._heads[0]
            backlog = self._backlogs.get(caller)
            if backlog is not None and backlog.order == order:
                return next(iter(backlog.tickets.values()))
            heapq.heappop(self._heads)
        return None

    def pop(self) -> Ticket[T] | None:
        """Take the next request to serve, or ``None`` when none waits."""
        ticket = self.peek()
        if ticket is None:
            return None
        backlog = self._backlogs[ticket.caller]
        self._virtual = max(self._virtual, backlog.start)
        backlog.start += ticket.cost / backlog.weight
        self._take(ticket, backlog)
        self._forget_idle()
        return ticket

    def remove(self, id: RequestId) -> Ticket[T] | None:
        """Take a request out, for example when its caller gave up; ``None`` if it is not here."""
        caller = self._callers.get(id)
        if caller is None:
            return None
        backlog = self._backlogs[caller]
        ticket = backlog.tickets[id]
        self._take(ticket, backlog)
        return ticket

    def expire(self, now: Millis) -> list[Ticket[T]]:
        """Take out all requests that can no longer start in time."""
        expired: list[Ticket[T]] = []
        while self._deadlines and self._deadlines[0][0] < now:
            _, _, id = heapq.heappop(self._deadlines)
            ticket = self.remove(id)
            if ticket is not None:
                expired.append(ticket)
        return expired

    def next_expiry(self) -> Millis | None:
        """Return when the next request becomes too late to start, or ``None``."""
        while self._deadlines and self._deadlines[0][2] not in self._callers:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _refusal(self, ticket: Ticket[T], now: Millis) -> Failure | None:
        backlog = self._backlogs.get(ticket.caller)
        if backlog is not None and len(backlog.tickets) >= self._bounds.per_caller:
            return queue_full(self.predicted_wait(ticket.caller, ticket.weight))
        late = now + self.predicted_wait(ticket.caller, ticket.weight) - ticket.start_by
        return deadline_unreachable(late) if late > 0.0 else None

    def _insert(self, ticket: Ticket[T]) -> None:
        backlog = self._backlogs.get(ticket.caller)
        if backlog is None:
            backlog = self._open_backlog(ticket)
        backlog.tickets[ticket.id] = ticket
        backlog.cost += ticket.cost
        self._cost += ticket.cost
        self._callers[ticket.id] = ticket.caller
        self._order += 1
        heapq.heappush(self._deadlines, (ticket.start_by, self._order, ticket.id))
        heapq.heappush(self._loads, (-backlog.load, self._order, ticket.caller))
        self._drop_stale()

    def _open_backlog(self, ticket: Ticket[T]) -> _Backlog[T]:
        tag = self._tags.pop(ticket.caller, 0.0)
        start = max(self._virtual, tag)
        self._order += 1
        backlog: _Backlog[T] = _Backlog(weight=ticket.weight, start=start, order=self._order)
        self._backlogs[ticket.caller] = backlog
        self._weight += ticket.weight
        heapq.heappush(self._heads, (start, self._order, ticket.caller))
        return backlog

    def _take(self, ticket: Ticket[T], backlog: _Backlog[T]) -> None:
        del backlog.tickets[ticket.id]
        del self._callers[ticket.id]
        backlog.cost -= ticket.cost
        self._cost -= ticket.cost
        if not self._callers:
            self._end_busy_period()
            return
        if not backlog.tickets:
            self._close_backlog(ticket.caller, backlog)
            return
        self._order += 1
        backlog.order = self._order
        heapq.heappush(self._heads, (backlog.start, self._order, ticket.caller))

    def _close_backlog(self, caller: str, backlog: _Backlog[T]) -> None:
        del self._backlogs[caller]
        self._weight -= backlog.weight
        if backlog.start <= self._virtual:
            return
        self._tags[caller] = backlog.start
        heapq.heappush(self._idle, (backlog.start, caller))

    def _end_busy_period(self) -> None:
        self._backlogs.clear()
        self._tags.clear()
        self._heads.clear()
        self._deadlines.clear()
        self._loads.clear()
        self._idle.clear()
        self._virtual = self._cost = self._weight = 0.0

    def _forget_idle(self) -> None:
        while self._idle and self._idle[0][0] <= self._virtual:
            tag, caller = heapq.heappop(self._idle)
            if self._tags.get(caller) == tag:
                del self._tags[caller]

    def _heaviest(self) -> str:
        while True:
            load, order, caller = self._loads[0]
            backlog = self._backlogs.get(caller)
            if backlog is not None and -backlog.load == load:
                return caller
            heapq.heappop(self._loads)
            if backlog is not None:
                heapq.heappush(self._loads, (-backlog.load, order, caller))

    def _is_lighter(self, ticket: Ticket[T], heaviest: str) -> bool:
        backlog = self._backlogs.get(ticket.caller)
        held = 0.0 if backlog is None else backlog.cost
        return (held + ticket.cost) / ticket.weight < self._backlogs[heaviest].load

    def _push_out(self, caller: str) -> Ticket[T]:
        backlog = self._backlogs[caller]
        newest = next(reversed(backlog.tickets.values()))
        self._take(newest, backlog)
        return newest

    def _drop_stale(self) -> None:
        # Removed requests leave entries behind. Without a rebuild a queue that never empties would
        # grow without end; rebuilding when half the entries are stale keeps the cost amortised.
        if len(self._deadlines) > 2 * len(self._callers) + _SLACK_ENTRIES:
            self._deadlines = [entry for entry in self._deadlines if entry[2] in self._callers]
            heapq.heapify(self._deadlines)
        if len(self._loads) > 2 * len(self._backlogs) + _SLACK_ENTRIES:
            held = enumerate(self._backlogs.items())
            self._loads = [(-backlog.load, index, caller) for index, (caller, backlog) in held]
            heapq.heapify(self._loads)
        if len(self._heads) > 2 * len(self._backlogs) + _SLACK_ENTRIES:
            live = self._backlogs.items()
            self._heads = [(backlog.start, backlog.order, caller) for caller, backlog in live]
            heapq.heapify(self._heads)


def make_fair_queue(bounds: QueueBounds | None = None) -> FairQueue[T]:
    """Return an empty queue.

    Args:
        bounds: Its bounds; the defaults of `QueueBounds` when ``None``.

    Since 0.1.
    """
    return FairQueue(bounds or QueueBounds())
