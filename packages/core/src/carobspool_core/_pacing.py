"""When a batch prompt may start while online requests are present.

Load pattern: online bursts over a standing backlog of batch work. Decoding batch streams slow an
online token by a fraction of a millisecond each; a batch prompt in prefill stalls every online
stream for a hundred milliseconds. Without pacing the starts, between-token times grow fourfold.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._streams import Streams

INTERVAL_MS: Millis = 500.0
"""Time between batch prompts while online requests are present; see docs/design/admission.md."""


class Pacer:
    """Paces batch prompts by a fixed interval."""

    def __init__(self) -> None:
        self._next = 0.0

    def may_start(self, streams: Streams, now: Millis) -> bool:
        """Tell whether a batch prompt may start now."""
        if streams.batch_prefill or streams.online_prefill:
            return False
        return now >= self._next

    def started(self, now: Millis) -> None:
        """Note that a batch prompt was started."""
        self._next = now + INTERVAL_MS

    def wake_at(self, now: Millis) -> Millis | None:
        """Return when a start may become possible without any event, or ``None``."""
        return self._next if self._next > now else None
