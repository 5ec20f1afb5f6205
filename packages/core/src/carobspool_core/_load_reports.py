"""Decides when a sidecar sends its load to the entries.

Load pattern: a burst arrives through several entries at once. Each entry knows only its own part
until the next report. With one report a second, two random choices are hardly better than a
single random choice.

A report is sent at once when the sidecar starts or stops accepting work. Otherwise it is sent when
the load has moved to another band, as often as the sidecar's share of control traffic allows: every
120 ms with 3 entries, every 0.9 s with 22. Without a change, the heartbeat carries the report.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._failure_detector import (
    HEARTBEAT_BYTES,
    HEARTBEAT_BYTES_PER_SECOND,
    heartbeat_interval,
)
from carobspool_core._messages import Load

LOAD_BANDS = 8
"""Number of bands into which the ratio of requests to slots is divided. Becoming full or no longer
full also counts as a change, and so does a change in the bit length of the batch credits."""
MIN_REPORT_INTERVAL: Millis = 20.0
"""About an eighth of a burst's requests arrives in this time; reports lag by 10 ms anyway."""


def report_interval(connections: int) -> Millis:
    """Return the minimum time between reports of a changed load.

    Args:
        connections: Number of entries connected to the sidecar.

    Since 0.1.
    """
    affordable = connections * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND * 1000.0
    return max(MIN_REPORT_INTERVAL, affordable)


class LoadReporter:
    """Stores the last load report of one sidecar and decides when the next is due.

    Since 0.1.
    """

    __slots__ = ("_sent", "_sent_at")

    def __init__(self) -> None:
        self._sent: Load | None = None
        self._sent_at: Millis = 0.0

    def record_if_due(self, load: Load, connections: int, now: Millis) -> bool:
        """Return whether to send ``load`` to all entries now, and record it as sent if so.

        Call this method on each change and at least every `report_interval`.

        Args:
            load: The current load.
            connections: Number of connected entries.
            now: The current time.
        """
        if not self._should_send(load, connections, now):
            return False
        self._sent = load
        self._sent_at = now
        return True

    def _should_send(self, load: Load, connections: int, now: Millis) -> bool:
        sent = self._sent
        if sent is None:
            return True
        if (sent.state, sent.targets) != (load.state, load.targets):
            return True
        elapsed = now - self._sent_at
        if elapsed >= heartbeat_interval(connections):
            return True
        return elapsed >= report_interval(connections) and _load_band(load) != _load_band(sent)


def _load_band(load: Load) -> tuple[int, bool, int]:
    """Return the band of the load, whether a slot is free, and the bit length of the credits."""
    requests = load.running + load.queued
    slots = max(1, load.slots)
    return requests * LOAD_BANDS // slots, requests < slots, load.batch_credits.bit_length()


def make_load_reporter() -> LoadReporter:
    """Return a reporter that has not sent a report yet.

    Since 0.1.
    """
    return LoadReporter()
