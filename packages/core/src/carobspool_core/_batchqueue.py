"""Batch requests that wait at the sidecar: preempted ones at the front, then fresh ones.

Load pattern: online bursts preempt batch streams many times an hour. Without a place at the front a
preempted request would wait behind the whole backlog while the upstream holds its KV cache, and its
partial answer would grow old.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._fairqueue import FairQueue, make_fair_queue
from carobspool_core._messages import RequestId
from carobspool_core._tickets import QueueBounds
from carobspool_core._work import Work

_UNBOUNDED = 1 << 30
"""Credits bound what entries send here, so the queue itself refuses nothing."""


@dataclass(slots=True, kw_only=True)
class Waiting:
    """A request that waits.

    Attributes:
        work: What was offered.
        offered: When it was offered.
        tokens: Answer tokens that it holds.
        kept: Whether the upstream keeps its KV cache, so that resuming it needs no prefill.
        preemptions: How often it was preempted.
    """

    work: Work
    offered: Millis
    tokens: int = 0
    kept: bool = False
    preemptions: int = 0

    @property
    def prefill_tokens(self) -> int:
        """Tokens to compute before its next token."""
        return 0 if self.kept else self.work.prompt_tokens + self.tokens


class BatchQueue:
    """Waiting batch requests, in the order in which they are taken."""

    def __init__(self) -> None:
        bounds = QueueBounds(total=_UNBOUNDED, per_caller=_UNBOUNDED)
        self.fresh: FairQueue[Waiting] = make_fair_queue(bounds)
        self._parked: OrderedDict[RequestId, Waiting] = OrderedDict()
        self._lost: OrderedDict[RequestId, Waiting] = OrderedDict()
        self._preempted_cost = 0

    def __len__(self) -> int:
        return len(self.fresh) + len(self._parked) + len(self._lost)

    @property
    def parked(self) -> int:
        """Preempted requests whose KV cache is kept."""
        return len(self._parked)

    @property
    def cost(self) -> float:
        """Estimated tokens of all that wait."""
        return self.fresh.cost + self._preempted_cost

    def put_back(self, waiting: Waiting) -> None:
        """Queue a preempted request at the front."""
        place = self._parked if waiting.kept else self._lost
        place[waiting.work.id] = waiting
        self._preempted_cost += waiting.work.cost_tokens

    def take_parked(self) -> Waiting | None:
        """Take the parked request that has waited longest, or ``None``."""
        return self._take_from(self._parked)

    def peek_prompt(self) -> Waiting | None:
        """Return the next request that needs prefill, without taking it."""
        if self._lost:
            return next(iter(self._lost.values()))
        ticket = self.fresh.peek()
        return None if ticket is None else ticket.item

    def take_prompt(self) -> Waiting | None:
        """Take the next request that needs prefill, or ``None``."""
        if self._lost:
            return self._take_from(self._lost)
        ticket = self.fresh.pop()
        return None if ticket is None else ticket.item

    def remove(self, id: RequestId) -> Waiting | None:
        """Take out a request whose caller gave up; ``None`` if it is not here."""
        for place in (self._parked, self._lost):
            waiting = place.pop(id, None)
            if waiting is not None:
                self._preempted_cost -= waiting.work.cost_tokens
                return waiting
        ticket = self.fresh.remove(id)
        return None if ticket is None else ticket.item

    def expire(self, now: Millis) -> list[Waiting]:
        """Take out all requests whose deadline has passed."""
        expired = [ticket.item for ticket in self.fresh.expire(now)]
        for place in (self._parked, self._lost):
            for id in [id for id, waiting in place.items() if waiting.work.deadline < now]:
                waiting = place.pop(id)
                self._preempted_cost -= waiting.work.cost_tokens
                expired.append(waiting)
        return expired

    def _take_from(self, place: OrderedDict[RequestId, Waiting]) -> Waiting | None:
        if not place:
            return None
        _, waiting = place.popitem(last=False)
        self._preempted_cost -= waiting.work.cost_tokens
        return waiting
