"""The signal to stop, taken without a lock.

Failure: a handler runs on the main task, wherever that stands. One that set the event on which the
main task waits could come while the main task held that event's lock; both then waited for ever,
and the process was killed with all that it served. Putting into a simple queue takes no such lock.
"""

from __future__ import annotations

import queue
import signal


class StopSignal:
    """Waits for SIGTERM on the main task."""

    def __init__(self) -> None:
        self._asked: queue.SimpleQueue[int] = queue.SimpleQueue()

    def listen(self) -> None:
        """Take SIGTERM as the word to stop."""
        signal.signal(signal.SIGTERM, lambda number, _: self._asked.put(number))

    def wait(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` seconds; return whether the process is to stop."""
        try:
            self._asked.get(timeout=timeout_s)
        except queue.Empty:
            return False
        return True
