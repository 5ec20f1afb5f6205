"""How far the stream of one request has come over all its runs."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from carobspool_core import Millis
from carobspool_node.stream_backups._backed_up_runs import BackedUpRun


class StreamProgress(Struct, kw_only=True):
    """Events, copy and failure of the current run of a stream.

    Attributes:
        run: The current run with its copy, ``None`` if it has none.
        first_event_at: When the first event of this run reached the caller, ``None`` before it.
        last_event_at: When the last event reached the caller.
        failed_at: When the call of this run failed after it was sent, ``None`` if it did not.
        is_refused: Whether the engine then refused connections, so that its process has ended.
        turned_away: Whether the engine answered that it did not run the request.
        continuations: How often the request was continued.
        on_first_event: Called with the time of the first event of this run.
    """

    run: BackedUpRun | None = None
    first_event_at: Millis | None = None
    last_event_at: Millis = 0.0
    failed_at: Millis | None = None
    is_refused: bool = False
    turned_away: bool = False
    continuations: int = 0
    on_first_event: Callable[[Millis], None] | None = None

    def begin_run(
        self, run: BackedUpRun | None, on_first_event: Callable[[Millis], None] | None = None
    ) -> None:
        """Record that the request is about to run at an engine."""
        self.run = run
        self.first_event_at = None
        self.failed_at = None
        self.is_refused = self.turned_away = False
        self.on_first_event = on_first_event

    def record_failure(self, failed_at: Millis, *, is_refused: bool) -> None:
        """Record that the call of the current run failed after it was sent."""
        self.failed_at = failed_at
        self.is_refused = is_refused

    def record_events(self, now: Millis) -> None:
        """Record that events of the current run have reached the caller."""
        self.last_event_at = now
        if self.first_event_at is None:
            self.first_event_at = now
            if self.on_first_event is not None:
                self.on_first_event(now)
