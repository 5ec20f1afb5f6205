"""The order of the requests that wait at one entry for one service.

Load pattern: for seconds at a time more requests arrive than there are slots, from organisations of
different ranks, one of which may send many times its usual rate. Requests go by rank. Within a rank
come first the requests that can still be on time, those of callers that return after a refusal
before new ones, and then the late ones. Each of these three groups is a fair queue over the
organisations. If late requests of returned callers went before new ones, nearly all new requests
would be refused during a burst and come back late as well.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core._fairqueue import FairQueue, make_fair_queue
from carobspool_core._messages import RequestId
from carobspool_core._tickets import FairQueueItem, QueueBounds

STARTS_PER_TURN = 10
"""A rank with waiting requests gets at least one of this many starts: less urgent callers are
served slowly under a long overload, but their requests do not all reach their deadlines."""
MAX_WAITING = 256
"""Waiting requests of one process. Each occupies a thread of the 400 that serve callers."""
_BOUNDS = QueueBounds(total=4_096, per_caller=4_096)
"""Far above `MAX_WAITING`, which the adapter enforces over all services."""

RETURNED, ON_TIME, LATE = 0, 1, 2

WaitingClass = tuple[int, int]
"""Rank, and 0 for requests that can still be on time or 1 for late ones."""


class QueuedRequest(Struct, frozen=True, kw_only=True, eq=False):
    """A waiting request.

    Attributes:
        number: Number of the request, unique within the process.
        rank: Its rank; 0 is the most urgent.
        organisation: Name of the organisation that sent it, empty if there is none.
        cost: Its cost for fairness.
        on_time_until: Latest start with which the request is on time.
        latest_start: Latest start with which the request can end before its deadline.
        is_retry: Whether the caller has returned after a refusal.
    """

    number: int
    rank: int
    organisation: str
    cost: float
    on_time_until: Millis
    latest_start: Millis
    is_retry: bool


class EntryQueue:
    """The requests that wait for one service. Not thread-safe; callers pass in the time."""

    def __init__(self) -> None:
        self._ranks: dict[int, tuple[FairQueue[QueuedRequest], ...]] = {}
        self._passed_over: dict[int, int] = {}
        self._requests: dict[int, QueuedRequest] = {}
        # Requests whose latest start had passed when they were found to be late.
        self._overdue: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, number: int) -> bool:
        return number in self._requests

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._requests.values()))

    def counts(self) -> Mapping[WaitingClass, int]:
        """Return the number of waiting requests by rank and class."""
        found: dict[WaitingClass, int] = {}
        for rank, (returned, on_time, late) in self._ranks.items():
            if len(returned) + len(on_time):
                found[rank, 0] = len(returned) + len(on_time)
            if len(late):
                found[rank, 1] = len(late)
        return found

    def add(self, request: QueuedRequest, now: Millis) -> None:
        """Queue a request whose latest start has not passed."""
        group = RETURNED if request.is_retry else ON_TIME
        if request.on_time_until < now:
            group = LATE
        self._requests[request.number] = request
        self._push(request, group, now)

    def remove(self, number: int) -> QueuedRequest | None:
        """Remove and return a request, ``None`` if it does not wait."""
        request = self._requests.pop(number, None)
        if request is None:
            return None
        if request in self._overdue:
            self._overdue.remove(request)
            return request
        for group in self._ranks[request.rank]:
            if group.remove(_id(number)) is not None:
                break
        self._drop_if_empty(request.rank)
        return request

    def first(self, now: Millis) -> QueuedRequest | None:
        """Return the request to start next, and classify requests that have become late."""
        self._move_late(now)
        if not self._ranks:
            return None
        for group in self._ranks[self._next_rank()]:
            item = group.peek()
            if item is not None:
                return item.item
        return None

    def start(self, request: QueuedRequest) -> None:
        """Remove the request that `first` has returned and count its start."""
        for group in self._ranks[request.rank]:
            item = group.peek()
            if item is not None and item.item is request:
                group.pop()
                break
        del self._requests[request.number]
        for rank in self._ranks:
            self._passed_over[rank] = self._passed_over.get(rank, 0) + 1
        self._passed_over[request.rank] = 0
        self._drop_if_empty(request.rank)

    def expire(self, now: Millis) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer end before their deadlines."""
        self._move_late(now)
        expired, self._overdue = self._overdue, []
        for request in expired:
            del self._requests[request.number]
        for rank, (_, _, late) in list(self._ranks.items()):
            for item in late.expire(now):
                del self._requests[item.item.number]
                expired.append(item.item)
            self._drop_if_empty(rank)
        return expired

    def least_urgent(self) -> tuple[int, int]:
        """Return rank and group of the request that `evict` removes, (-1, -1) if none waits."""
        if not self._ranks:
            return -1, -1
        rank = max(self._ranks)
        return rank, max(number for number, group in enumerate(self._ranks[rank]) if len(group))

    def evict(self) -> QueuedRequest | None:
        """Remove and return the least urgent request."""
        rank, group = self.least_urgent()
        if rank < 0:
            return None
        item = self._ranks[rank][group].evict()
        assert item is not None
        del self._requests[item.item.number]
        self._drop_if_empty(rank)
        return item.item

    def requests_ahead(self, rank: int, organisation: str, *, is_retry: bool) -> tuple[float, int]:
        """Return what waits here before a new request, apart from more urgent ranks.

        Returns:
            The estimated number of requests of the rank that start before the new one, and the
            number of requests of the rank in class 0.
        """
        groups = self._ranks.get(rank)
        if groups is None:
            return 0.0, 0
        returned, on_time, _ = groups
        own = returned if is_retry else on_time
        ahead = 0.0 if is_retry else float(len(returned))
        if len(own):
            ahead += own.cost_ahead(organisation, 1.0) * len(own) / max(own.cost, 1e-9)
        return ahead, len(returned) + len(on_time)

    def _push(self, request: QueuedRequest, group: int, now: Millis) -> None:
        queues = self._ranks.get(request.rank)
        if queues is None:
            queues = (
                make_fair_queue(_BOUNDS),
                make_fair_queue(_BOUNDS),
                make_fair_queue(_BOUNDS, by_deadline=True),
            )
            self._ranks[request.rank] = queues
        start_by = request.latest_start
        if group != LATE:
            start_by = min(start_by, request.on_time_until)
        queues[group].push(
            FairQueueItem(
                id=_id(request.number),
                caller=request.organisation,
                weight=1.0,
                cost=request.cost,
                # A request whose time has just passed is queued too; `expire` removes it.
                start_by=max(now, start_by),
                item=request,
            ),
            now,
        ).unwrap()

    def _move_late(self, now: Millis) -> None:
        for rank, (returned, on_time, _) in list(self._ranks.items()):
            for item in (*returned.expire(now), *on_time.expire(now)):
                if item.item.latest_start < now:
                    self._overdue.append(item.item)
                    continue
                self._push(item.item, LATE, now)
            self._drop_if_empty(rank)

    def _next_rank(self) -> int:
        starved = [
            rank for rank in self._ranks if self._passed_over.get(rank, 0) >= STARTS_PER_TURN - 1
        ]
        return min(starved or self._ranks)

    def _drop_if_empty(self, rank: int) -> None:
        if not any(len(group) for group in self._ranks[rank]):
            del self._ranks[rank]
            self._passed_over.pop(rank, None)


def _id(number: int) -> RequestId:
    return RequestId("", number)
