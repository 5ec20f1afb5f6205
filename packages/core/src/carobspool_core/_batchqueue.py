"""Queue of batch requests at the sidecar: preempted requests first, then new requests.

Load pattern: online bursts preempt batch streams many times an hour. Queued at the back, a
preempted request would wait behind the whole backlog while the upstream holds its KV cache, and
its partial answer would become outdated.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._fairqueue import FairQueue, make_fair_queue
from carobspool_core._messages import RequestId
from carobspool_core._tickets import QueueBounds
from carobspool_core._work import AdmissionRequest

_UNBOUNDED = 1 << 30
"""Credits limit what entries send to the sidecar, so the queue itself refuses no request."""


@dataclass(slots=True, kw_only=True)
class QueuedRequest:
    """A queued request.

    Attributes:
        work: The request as offered.
        submitted_at: When the request was submitted.
        tokens: Number of answer tokens received so far.
        kv_kept: Whether the upstream keeps the request's KV cache, so that resuming the request
            needs no prefill.
        preemptions: How often the request was preempted.
    """

    work: AdmissionRequest
    submitted_at: Millis
    tokens: int = 0
    kv_kept: bool = False
    preemptions: int = 0

    @property
    def prefill_tokens(self) -> int:
        """Tokens to compute before the request's next token."""
        return 0 if self.kv_kept else self.work.prompt_tokens + self.tokens


class BatchQueue:
    """Queued batch requests, in the order in which they start."""

    def __init__(self) -> None:
        bounds = QueueBounds(total=_UNBOUNDED, per_caller=_UNBOUNDED)
        self.fresh: FairQueue[QueuedRequest] = make_fair_queue(bounds)
        self._parked: OrderedDict[RequestId, QueuedRequest] = OrderedDict()
        self._without_kv: OrderedDict[RequestId, QueuedRequest] = OrderedDict()
        self._preempted_cost = 0

    def __len__(self) -> int:
        return len(self.fresh) + len(self._parked) + len(self._without_kv)

    @property
    def parked(self) -> int:
        """Number of preempted requests whose KV cache the upstream keeps."""
        return len(self._parked)

    @property
    def cost(self) -> float:
        """Estimated tokens of all waiting requests."""
        return self.fresh.cost + self._preempted_cost

    def requeue(self, waiting: QueuedRequest) -> None:
        """Queue a preempted request ahead of new requests."""
        queue = self._parked if waiting.kv_kept else self._without_kv
        queue[waiting.work.id] = waiting
        self._preempted_cost += waiting.work.cost_tokens

    def pop_parked(self) -> QueuedRequest | None:
        """Remove and return the parked request that has waited longest, or ``None``."""
        return self._pop_oldest(self._parked)

    def peek_prefill(self) -> QueuedRequest | None:
        """Return the next request that needs prefill, without removing it, or ``None``."""
        if self._without_kv:
            return next(iter(self._without_kv.values()))
        ticket = self.fresh.peek()
        return None if ticket is None else ticket.item

    def pop_prefill(self) -> QueuedRequest | None:
        """Remove and return the next request that needs prefill, or ``None``."""
        if self._without_kv:
            return self._pop_oldest(self._without_kv)
        ticket = self.fresh.pop()
        return None if ticket is None else ticket.item

    def remove(self, id: RequestId) -> QueuedRequest | None:
        """Remove and return a cancelled request; ``None`` if it is not queued here."""
        for queue in (self._parked, self._without_kv):
            waiting = queue.pop(id, None)
            if waiting is not None:
                self._preempted_cost -= waiting.work.cost_tokens
                return waiting
        ticket = self.fresh.remove(id)
        return None if ticket is None else ticket.item

    def expire(self, now: Millis) -> list[QueuedRequest]:
        """Remove and return all requests whose deadline has passed."""
        expired = [ticket.item for ticket in self.fresh.expire(now)]
        for queue in (self._parked, self._without_kv):
            for id in [id for id, waiting in queue.items() if waiting.work.deadline < now]:
                waiting = queue.pop(id)
                self._preempted_cost -= waiting.work.cost_tokens
                expired.append(waiting)
        return expired

    def _pop_oldest(self, queue: OrderedDict[RequestId, QueuedRequest]) -> QueuedRequest | None:
        if not queue:
            return None
        _, waiting = queue.popitem(last=False)
        self._preempted_cost -= waiting.work.cost_tokens
        return waiting
