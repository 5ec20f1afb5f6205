"""Requests suspected of crashing upstreams, which never run two at a time.

Load pattern: a request crashes each upstream that runs it, and its caller sends it again. Run
beside another suspect, a crash would not tell which of the two it was, and the innocent one would
be quarantined too. With one at a time, what was running at two crashes is the culprit.
"""

from __future__ import annotations

from collections import OrderedDict

from carobspool_core._batchqueue import Waiting
from carobspool_core._clock import Millis
from carobspool_core._messages import Priority, RequestId


class SuspectQueue:
    """Suspects that wait, in order of arrival.

    Args:
        bound: How many may wait.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._waiting: OrderedDict[RequestId, Waiting] = OrderedDict()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def cost(self) -> int:
        """Estimated tokens of all that wait."""
        return sum(waiting.work.cost_tokens for waiting in self._waiting.values())

    def push(self, waiting: Waiting) -> bool:
        """Queue a suspect; tell whether there was room."""
        if len(self._waiting) >= self._bound:
            return False
        self._waiting[waiting.work.id] = waiting
        return True

    def put_back(self, waiting: Waiting) -> None:
        """Queue a preempted suspect before the others."""
        self._waiting[waiting.work.id] = waiting
        self._waiting.move_to_end(waiting.work.id, last=False)

    def pop(self, *, batch: bool) -> Waiting | None:
        """Take the next suspect, or ``None``.

        Args:
            batch: Whether a batch request may be taken; an online one may always be.
        """
        for id, waiting in self._waiting.items():
            if batch or waiting.work.priority is Priority.ONLINE:
                del self._waiting[id]
                return waiting
        return None

    @property
    def online(self) -> bool:
        """Whether an online suspect waits."""
        return any(entry.work.priority is Priority.ONLINE for entry in self._waiting.values())

    def remove(self, id: RequestId) -> None:
        """Take out a suspect whose caller gave up, if it is here."""
        self._waiting.pop(id, None)

    def expire(self, now: Millis) -> list[Waiting]:
        """Take out all suspects whose deadline has passed."""
        late = [entry for entry in self._waiting.values() if entry.work.deadline < now]
        for waiting in late:
            del self._waiting[waiting.work.id]
        return late

    def next_expiry(self) -> Millis | None:
        """Return the earliest deadline, or ``None``."""
        return min((entry.work.deadline for entry in self._waiting.values()), default=None)
