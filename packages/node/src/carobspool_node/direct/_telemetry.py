"""Logs to standard output and metrics of a direct entry.

Lines go through a bounded queue to a task that writes them, so that a slow reader of standard
output never holds a request back; what does not fit is counted and the count is logged.
"""

from __future__ import annotations

import contextlib
import logging as standard_logging
import queue
import sys
import threading
from collections.abc import Callable
from logging.handlers import QueueHandler, QueueListener

from absl import logging

from carobspool_core import Millis
from carobspool_node.direct._metrics import Metrics
from carobspool_node.settings import LineFormatter

LOG_QUEUE_LINES = 2_000
"""Lines that may wait to be written: some seconds of an entry under five times its usual load."""
LAST_LINES_S = 0.5
"""How long an exit waits for its last lines. Without a limit a reader that had stopped held the
process until it was killed, and requests with it; writing 2,000 lines takes some 20 ms."""


class _DroppingHandler(QueueHandler):
    def __init__(
        self, lines: queue.Queue[standard_logging.LogRecord], on_dropped: Callable[[], None]
    ) -> None:
        super().__init__(lines)
        self._on_dropped = on_dropped

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._on_dropped()


class Telemetry:
    """Counters and latency histograms of one process, and its log."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self._listener: QueueListener | None = None

    def count(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._metrics.count(name, value, **labels)

    def time(self, name: str, duration: Millis) -> None:
        """Record a duration in milliseconds."""
        self._metrics.time(name, duration)

    def text(self) -> bytes:
        """Return all metrics as text."""
        return self._metrics.text()

    def start_logs(self, node: str, level: str) -> None:
        """Send the process's logs to standard output."""
        lines: queue.Queue[standard_logging.LogRecord] = queue.Queue(LOG_QUEUE_LINES)
        writer = standard_logging.StreamHandler(sys.stdout)
        writer.setFormatter(LineFormatter(node))
        logging.use_absl_handler()
        root = standard_logging.getLogger()
        for handler in list(root.handlers):
            root.removeHandler(handler)
        root.addHandler(_DroppingHandler(lines, lambda: self.count("log_lines_dropped")))
        logging.set_verbosity(level)
        self._listener = QueueListener(lines, writer)
        self._listener.start()

    def stop_logs(self) -> None:
        """Write what is queued, as far as its reader takes it within `LAST_LINES_S`."""
        writer = threading.Thread(target=self._write_last_lines, name="last-lines", daemon=True)
        writer.start()
        writer.join(LAST_LINES_S)

    def _write_last_lines(self) -> None:
        if self._listener is not None:
            # A full queue takes no mark of its end; its lines are lost with the process.
            with contextlib.suppress(queue.Full):
                self._listener.stop()
        sys.stdout.flush()
