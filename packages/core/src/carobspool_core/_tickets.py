"""Items and bounds of a fair queue."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId

T = TypeVar("T")


@dataclass(frozen=True, slots=True, kw_only=True)
class QueueBounds:
    """Bounds of a queue.

    Attributes:
        total: Maximum number of waiting requests. When this number is exceeded, the newest
            request of the heaviest caller is evicted.
        per_caller: Maximum number of waiting requests of one caller.
    """

    total: int = 2048
    per_caller: int = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class FairQueueItem(Generic[T]):
    """One waiting request.

    Attributes:
        id: Identity of the request.
        caller: Caller whose share the request uses.
        weight: Weight of the caller; positive.
        cost: Estimated tokens, prompt and answer together.
        start_by: Latest start with which the request still meets its deadline.
        item: Payload returned to the owner of the queue.
    """

    id: RequestId
    caller: str
    weight: float
    cost: float
    start_by: Millis
    item: T
