"""All requests that wait in one process, with their bounds and the answers that are still due."""

from __future__ import annotations

import threading
from collections.abc import Sequence
from typing import Generic

from carobspool_core.online_queue import MAX_WAITING
from carobspool_node.online_queue._requests import P, Ticket

MAX_BODY_BYTES = 8_000_000
"""Bytes of the bodies of waiting requests in one process."""


class WaitingTickets(Generic[P]):
    """The waiting requests of all services. The caller holds the lock.

    Args:
        lock: The lock, which `wait_answered` releases while it waits.
    """

    def __init__(self, lock: threading.Lock) -> None:
        self._tickets: dict[int, Ticket[P]] = {}
        self._body_bytes = 0
        self._unanswered = 0
        self._answered = threading.Condition(lock)

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def exceed_bounds(self) -> bool:
        """Whether more requests wait than the process may hold."""
        return len(self._tickets) > MAX_WAITING or self._body_bytes > MAX_BODY_BYTES

    def share_of(self, tickets: Sequence[Ticket[P]]) -> float:
        """Return the share of some of the requests in the bound that is exceeded, 0 to 1."""
        if len(self._tickets) > MAX_WAITING:
            return len(tickets) / len(self._tickets)
        return sum(each.request.body_bytes for each in tickets) / max(1, self._body_bytes)

    def all(self) -> list[Ticket[P]]:
        """Return all waiting requests."""
        return list(self._tickets.values())

    def add(self, ticket: Ticket[P]) -> None:
        """Add a request whose wait begins."""
        self._tickets[ticket.number] = ticket
        self._body_bytes += ticket.request.body_bytes
        self._unanswered += 1

    def remove(self, ticket: Ticket[P]) -> None:
        """Remove a request whose wait has ended."""
        if self._tickets.pop(ticket.number, None) is not None:
            self._body_bytes -= ticket.request.body_bytes

    def count_answered(self) -> None:
        """Record that a request has gone on, or that its caller has the refusal."""
        self._unanswered -= 1
        if not self._unanswered:
            self._answered.notify_all()

    def wait_answered(self, timeout_s: float) -> None:
        """Wait until no answer to a request that has waited is due."""
        self._answered.wait_for(lambda: not self._unanswered, timeout_s)
