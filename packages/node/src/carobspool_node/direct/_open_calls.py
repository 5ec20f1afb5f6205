"""Calls that wait for an upstream, ended when the upstream starts again under its id.

Failure: an upstream is cut off with calls on its connections, crashes unseen and starts again. No
reset arrives, so its callers would wait out their time limit and batch items their silence, for a
process that is gone. The new start's registration shows that nothing will come, and ends them.

A registration is known some 0.3 s after the start it tells of. What was sent in between on a new
connection has reached the new start, and must not be cut: a call on which something has just
arrived is left alone until it falls silent, for a process that is gone sends nothing.
"""

from __future__ import annotations

import threading

from msgspec import Struct, field

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream
from carobspool_node.direct._channel import Cancellation

SILENCE: Millis = 300.0
"""Pause after which a call to an earlier start is taken for dead: ten events of a stream."""


class OpenCall(Struct, eq=False):
    """A call under way.

    Attributes:
        upstream: Whom it was sent to.
        cancellation: Ends it.
        heard: When something last arrived, ``None`` before that.
        outlived: Whether it was ended because its upstream has started again.
    """

    upstream: Upstream
    cancellation: Cancellation = field(default_factory=Cancellation)
    heard: Millis | None = None
    outlived: bool = False


class OpenCalls:
    """The calls of one process that are under way."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: set[OpenCall] = set()

    def add(self, call: OpenCall) -> None:
        """Take a call that begins."""
        with self._lock:
            self._calls.add(call)

    def remove(self, call: OpenCall) -> None:
        """Drop a call that has ended."""
        with self._lock:
            self._calls.discard(call)

    def end_earlier(self, upstream: Upstream) -> int:
        """End the silent calls to earlier starts of an upstream, now and until none is left.

        Args:
            upstream: Its new start.

        Returns:
            How many were ended now.
        """
        now = self._clock.now()
        with self._lock:
            earlier = [call for call in self._calls if upstream.replaces(call.upstream)]
        ended = 0
        for call in earlier:
            if call.heard is not None and now - call.heard < SILENCE:
                continue
            call.outlived = True
            call.cancellation.cancel("the upstream has started again")
            ended += 1
        if ended < len(earlier):
            again = threading.Timer(SILENCE / 1000.0, self.end_earlier, (upstream,))
            again.daemon = True
            again.start()
        return ended
