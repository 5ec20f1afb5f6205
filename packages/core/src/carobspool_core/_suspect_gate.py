"""The sidecar's side of isolation: one suspect at its upstream at a time.

Load pattern: an upstream with many requests in flight crashes, all become suspects, and all entries
retry theirs at once. Entries know of each other's suspects with a lag, so two may send to the same
upstream; if one of them crashes it, both would count as culprits. The sidecar sees all requests of
its upstream, so its answer has no lag.
"""

from __future__ import annotations

from collections.abc import Hashable

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure, unavailable

GATE_RETRY_AFTER: Millis = 1_000.0
"""When to come back while another suspect runs here; another upstream may be free at once."""


class SuspectGate:
    """Which suspect runs at this sidecar's upstream.

    Since 0.1.
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: Hashable | None = None

    def enter(self, id: Hashable) -> Failure | None:
        """Let a suspect in, or return the failure (503, not run) when another is running."""
        if self._running is not None and self._running != id:
            message = "another suspected request runs at this upstream"
            return unavailable("fellow_suspect", message, retry_after_ms=GATE_RETRY_AFTER)
        self._running = id
        return None

    def leave(self, id: Hashable) -> None:
        """Note that a request ended, whether or not it was a suspect."""
        if self._running == id:
            self._running = None


def make_suspect_gate() -> SuspectGate:
    """Return the gate of an upstream that runs no suspect.

    Since 0.1.
    """
    return SuspectGate()
