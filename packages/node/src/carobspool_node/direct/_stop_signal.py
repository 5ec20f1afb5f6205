"""Handles the signal to stop without acquiring a lock.

A signal handler runs on the main task, between any two of its instructions. A handler that sets a
`threading.Event` can run while the main task holds the lock of that event. It then deadlocks, and
the process is killed with all requests in progress. `queue.SimpleQueue.put` acquires no such lock.
"""

from __future__ import annotations

import queue
import signal


class StopSignal:
    """Waits for SIGTERM on the main task."""

    def __init__(self) -> None:
        self._stop_requests: queue.SimpleQueue[int] = queue.SimpleQueue()

    def listen(self) -> None:
        """Install the SIGTERM handler."""
        signal.signal(signal.SIGTERM, lambda number, _: self._stop_requests.put(number))

    def wait(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` seconds for SIGTERM; return whether it has arrived."""
        try:
            self._stop_requests.get(timeout=timeout_s)
        except queue.Empty:
            return False
        return True
