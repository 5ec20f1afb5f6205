"""When a sidecar tells its load to the entries.

Load pattern: a burst that comes through several entries at once. Each knows only its own part until
the next report; with reports once a second two random choices are hardly better than a blind one.

A report goes out at once when the sidecar stops or starts to take work, and otherwise when the load
has moved to another band, as often as the sidecar's share of control traffic allows: with 3 entries
every 120 ms, with 22 every 0.9 s. Without a change the heartbeat carries it.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._membership import (
    HEARTBEAT_BYTES,
    HEARTBEAT_BYTES_PER_SECOND,
    heartbeat_interval,
)
from carobspool_core._messages import Load

BANDS_OF_SLOTS = 8
"""Bands in which requests are counted against slots; full or not full is always told apart."""
MIN_REPORT_INTERVAL: Millis = 20.0
"""An eighth of a burst's requests comes in about this time; reports lag by 10 ms anyway."""


def report_interval(connections: int) -> Millis:
    """Return the least time between reports of a change to each of the connected entries.

    Args:
        connections: Entries connected to the sidecar.

    Since 0.1.
    """
    affordable = connections * HEARTBEAT_BYTES / HEARTBEAT_BYTES_PER_SECOND * 1000.0
    return max(MIN_REPORT_INTERVAL, affordable)


class LoadReporter:
    """What was last told to the entries, by one sidecar.

    Since 0.1.
    """

    __slots__ = ("_sent", "_sent_at")

    def __init__(self) -> None:
        self._sent: Load | None = None
        self._sent_at: Millis = 0.0

    def is_due(self, load: Load, connections: int, now: Millis) -> bool:
        """Return whether ``load`` is to be sent to all entries now, and remember it if so.

        Call it on each change and at least every `report_interval`.

        Args:
            load: The load as it stands.
            connections: Entries connected.
            now: The instant.
        """
        if not self._must_send(load, connections, now):
            return False
        self._sent = load
        self._sent_at = now
        return True

    def _must_send(self, load: Load, connections: int, now: Millis) -> bool:
        sent = self._sent
        if sent is None:
            return True
        if (sent.state, sent.targets) != (load.state, load.targets):
            return True
        passed = now - self._sent_at
        if passed >= heartbeat_interval(connections):
            return True
        return passed >= report_interval(connections) and _band(load) != _band(sent)


def _band(load: Load) -> tuple[int, bool, int]:
    requests = load.running + load.queued
    slots = max(1, load.slots)
    return requests * BANDS_OF_SLOTS // slots, requests < slots, load.batch_credits.bit_length()


def make_load_reporter() -> LoadReporter:
    """Return the state of a sidecar that has told nothing yet.

    Since 0.1.
    """
    return LoadReporter()
