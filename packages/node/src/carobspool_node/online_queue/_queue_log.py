"""Log lines and metrics of the requests that wait."""

from __future__ import annotations

from typing import Any, Protocol

from absl import logging

from carobspool_core import Millis
from carobspool_node.online_queue._requests import QueueRefusedError, Ticket


class QueueTelemetry(Protocol):
    """Counters and histograms of a process."""

    def count(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to a counter."""

    def observe_duration(self, name: str, duration: Millis) -> None:
        """Record a duration in milliseconds."""


class QueueLog:
    """Logs and counts what happens to requests that wait; one line for each event.

    Args:
        telemetry: Counters and histograms.
    """

    def __init__(self, telemetry: QueueTelemetry) -> None:
        self._telemetry = telemetry

    def handed(self, identity: str, receiver: str, rank: int, number: int) -> None:
        """Record that a slot was handed over."""
        logging.info(
            "event=slot_handed upstream=%s to=%s rank=%d number=%d",
            identity,
            receiver,
            rank,
            number,
        )

    def handovers_ended(self, outcome: str, count: int) -> None:
        """Count handovers of this entry that have ended, ``used`` or ``expired``."""
        if count:
            self._telemetry.count("slots_handed", count, outcome=outcome)

    def placed_at_once(self) -> None:
        """Record a request that did not wait."""
        self._telemetry.observe_duration("queue_wait", 0.0)

    def queued(self, ticket: Ticket[Any], place: int, report_age: Millis) -> None:
        """Record a request that begins to wait, with the number of requests that wait now."""
        self._telemetry.count("queued", rank=str(ticket.rank))
        logging.info(
            "event=queued request=%s service=%s rank=%d place=%d returned=%s predicted_ms=%.0f"
            " report_age_ms=%.0f",
            ticket.request.request_id,
            ticket.request.service,
            ticket.rank,
            place,
            ticket.request.is_retry,
            ticket.predicted,
            report_age,
        )

    def dequeued(self, ticket: Ticket[Any], now: Millis, report_age: Millis) -> None:
        """Record a request that has waited and was placed."""
        waited = now - ticket.queued_at
        self._telemetry.count("dequeued", rank=str(ticket.rank))
        self._telemetry.observe_duration("queue_wait", waited)
        logging.info(
            "event=dequeued request=%s service=%s rank=%d placed=%s predicted_ms=%.0f"
            " waited_ms=%.0f report_age_ms=%.0f",
            ticket.request.request_id,
            ticket.request.service,
            ticket.rank,
            ticket.placement is not None,
            ticket.predicted,
            waited,
            report_age,
        )

    def refused(
        self, ticket: Ticket[Any], refusal: QueueRefusedError, now: Millis, report_age: Millis
    ) -> None:
        """Record a refusal, with or without a wait before it."""
        self._telemetry.count("queue_refused", rank=str(ticket.rank), status=str(refusal.status))
        logging.info(
            "event=queue_refused request=%s service=%s rank=%d status=%d predicted_ms=%.0f"
            " waited_ms=%.0f retry_after_ms=%.0f report_age_ms=%.0f reason=%r",
            ticket.request.request_id,
            ticket.request.service,
            ticket.rank,
            refusal.status,
            ticket.predicted,
            now - ticket.queued_at,
            refusal.retry_after or 0.0,
            report_age,
            refusal.reason,
        )
