"""Tracks calls in progress, and ends them when their upstream restarts under the same id.

An upstream can lose its network while calls are in progress, then crash and restart. No
reset arrives, so online requests would wait until their time limit, and batch items until their
silence limit, for a process that no longer exists. The registration of the new start shows that no
answer will come, and these calls are ended.

A registration is known some 0.3 s after the start that it describes. Calls sent in the meantime on
a new connection have reached the new start and must not be ended. Therefore a call that has just
received data continues until it is silent: a process that has ended sends nothing.
"""

from __future__ import annotations

import threading

from msgspec import Struct, field

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream
from carobspool_node.direct._channel import Cancellation

SILENCE_LIMIT: Millis = 300.0
"""Time without data after which a call to an earlier start is ended: ten events of a stream."""


class OpenCall(Struct, eq=False):
    """A call in progress.

    Attributes:
        upstream: The upstream that was called.
        cancellation: Cancels the call.
        last_received: When data last arrived, ``None`` if none has arrived.
        upstream_restarted: Whether the call was ended because its upstream restarted.
    """

    upstream: Upstream
    cancellation: Cancellation = field(default_factory=Cancellation)
    last_received: Millis | None = None
    upstream_restarted: bool = False


class OpenCalls:
    """The calls in progress of one process."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: set[OpenCall] = set()

    def add(self, call: OpenCall) -> None:
        """Add a call that starts."""
        with self._lock:
            self._calls.add(call)

    def remove(self, call: OpenCall) -> None:
        """Remove a call that has ended."""
        with self._lock:
            self._calls.discard(call)

    def end_calls_to_earlier_starts(self, upstream: Upstream) -> int:
        """End the silent calls to earlier starts of an upstream.

        Calls that still receive data are checked again after `SILENCE_LIMIT`, until none is left.

        Args:
            upstream: The new start of the upstream.

        Returns:
            Number of calls that were ended immediately.
        """
        now = self._clock.now()
        with self._lock:
            earlier = [call for call in self._calls if upstream.replaces(call.upstream)]
        ended = 0
        for call in earlier:
            if call.last_received is not None and now - call.last_received < SILENCE_LIMIT:
                continue
            call.upstream_restarted = True
            call.cancellation.cancel("the upstream has started again")
            ended += 1
        if ended < len(earlier):
            timer = threading.Timer(
                SILENCE_LIMIT / 1000.0, self.end_calls_to_earlier_starts, (upstream,)
            )
            timer.daemon = True
            timer.start()
        return ended
