"""Samples of the pauses between the events of one call."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock, Millis


class EventPauses:
    """Measures the pauses between events that one call receives.

    Only events are measured: an upstream that answers fast with failures sends none, so it does not
    look fast.

    Args:
        clock: The process's clock.
        on_first: Called at the first event.
        on_pause: Called with each later pause.
    """

    __slots__ = ("_clock", "_last", "_on_first", "_on_pause")

    def __init__(
        self, clock: Clock, on_first: Callable[[], None], on_pause: Callable[[Millis], None]
    ) -> None:
        self._clock = clock
        self._on_first = on_first
        self._on_pause = on_pause
        self._last: Millis | None = None

    def record(self, events: int) -> None:
        """Record the arrival of events; several at once share the pause before them."""
        if events <= 0:
            return
        now = self._clock.now()
        last, self._last = self._last, now
        if last is None:
            self._on_first()
            return
        self._on_pause((now - last) / events)
