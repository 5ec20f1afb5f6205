"""What waits in a fair queue, and the bounds of one."""

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
        total: Requests that wait at once. Beyond it the newest request of the heaviest caller goes.
        per_caller: Requests of one caller that wait at once.
    """

    total: int = 2048
    per_caller: int = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket(Generic[T]):
    """One waiting request.

    Attributes:
        id: The request.
        caller: Whose share it uses.
        weight: The caller's share; positive.
        cost: Estimated tokens, prompt and answer together.
        start_by: Latest instant at which starting it still meets its deadline.
        item: What the owner of the queue wants back.
    """

    id: RequestId
    caller: str
    weight: float
    cost: float
    start_by: Millis
    item: T
