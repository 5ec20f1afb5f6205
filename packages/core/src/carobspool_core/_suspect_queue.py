"""Queue of the requests suspected of crashing upstreams, which run one at a time.

Load pattern: a request crashes each upstream that runs it, and its caller resends it. If two
suspects ran at the same upstream, a crash would not show which of them caused it, and the innocent
request would be quarantined too. With one suspect at a time, the suspect that was running at both
crashes is the culprit.
"""

from __future__ import annotations

from collections import OrderedDict

from carobspool_core._batchqueue import QueuedRequest
from carobspool_core._clock import Millis
from carobspool_core._messages import Priority, RequestId


class SuspectQueue:
    """Queued suspects, in order of arrival.

    Args:
        bound: Maximum number of queued suspects.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._waiting: OrderedDict[RequestId, QueuedRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def cost(self) -> int:
        """Estimated tokens of all queued suspects."""
        return sum(waiting.work.cost_tokens for waiting in self._waiting.values())

    def try_push(self, waiting: QueuedRequest) -> bool:
        """Queue a suspect and return ``True``; return ``False`` if the queue is full."""
        if len(self._waiting) >= self._bound:
            return False
        self._waiting[waiting.work.id] = waiting
        return True

    def requeue(self, waiting: QueuedRequest) -> None:
        """Queue a preempted suspect at the head."""
        self._waiting[waiting.work.id] = waiting
        self._waiting.move_to_end(waiting.work.id, last=False)

    def pop(self, *, batch: bool) -> QueuedRequest | None:
        """Remove and return the next suspect, or return ``None``.

        Args:
            batch: Whether batch requests are eligible; online requests always are.
        """
        for id, waiting in self._waiting.items():
            if batch or waiting.work.priority is Priority.ONLINE:
                del self._waiting[id]
                return waiting
        return None

    @property
    def has_online(self) -> bool:
        """Whether an online suspect is queued."""
        return any(entry.work.priority is Priority.ONLINE for entry in self._waiting.values())

    def remove(self, id: RequestId) -> None:
        """Remove a suspect whose caller cancelled it, if it is queued."""
        self._waiting.pop(id, None)

    def expire(self, now: Millis) -> list[QueuedRequest]:
        """Remove and return all suspects whose deadline has passed."""
        expired = [entry for entry in self._waiting.values() if entry.work.deadline < now]
        for waiting in expired:
            del self._waiting[waiting.work.id]
        return expired

    def next_expiry(self) -> Millis | None:
        """Return the earliest deadline, or ``None`` if no suspect is queued."""
        return min((entry.work.deadline for entry in self._waiting.values()), default=None)
