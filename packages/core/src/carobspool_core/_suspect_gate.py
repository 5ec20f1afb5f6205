"""Isolation of suspects at the sidecar: its upstream runs one suspect at a time.

Load pattern: an upstream with many requests in flight crashes, all of them become suspects, and all
entries retry theirs at once. Entries learn of each other's suspects with a delay, so two entries
may send suspects to the same upstream. If one of the two crashes the upstream, both would count
as culprits. The sidecar sees all requests of its upstream, so its decision has no delay.
"""

from __future__ import annotations

from collections.abc import Hashable

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure, unavailable

GATE_RETRY_AFTER: Millis = 1_000.0
"""Retry delay while another suspect runs here. Another upstream may accept the request at once."""


class SuspectGate:
    """Admits one suspect at a time to this sidecar's upstream.

    Since 0.1.
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: Hashable | None = None

    def admit(self, id: Hashable) -> Failure | None:
        """Admit a suspect.

        Returns:
            ``None``, or a failure (503, not run) if another suspect is running.
        """
        if self._running is not None and self._running != id:
            message = "another suspected request runs at this upstream"
            return unavailable("fellow_suspect", message, retry_after_ms=GATE_RETRY_AFTER)
        self._running = id
        return None

    def release(self, id: Hashable) -> None:
        """Record the end of a request; call this method for every request, suspect or not."""
        if self._running == id:
            self._running = None


def make_suspect_gate() -> SuspectGate:
    """Return the gate of an upstream that runs no suspect.

    Since 0.1.
    """
    return SuspectGate()
