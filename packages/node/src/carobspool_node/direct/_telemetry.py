"""Logs to standard output, and metrics, of a direct entry or a keeper.

A separate thread writes the log lines, which it receives through a bounded queue. A slow reader of
standard output therefore never delays a request. Lines that do not fit into the queue are dropped
and counted in a metric.
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
"""Capacity of the queue of log lines: some seconds of output under five times the usual load."""
FLUSH_TIMEOUT_S = 0.5
"""How long the exit waits for the last log lines to be written. Without a limit, a reader that has
stopped blocks the process, and the requests in progress, until the process is killed. Writing 2,000
lines takes some 20 ms."""


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
    """The metrics and the log of one process."""

    def __init__(self) -> None:
        self._metrics = Metrics()
        self._listener: QueueListener | None = None

    def count(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self._metrics.count(name, value, **labels)

    def observe_duration(self, name: str, duration: Millis) -> None:
        """Record a duration in milliseconds."""
        self._metrics.observe_duration(name, duration)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._metrics.set_gauge(name, value)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.text()

    def start_logs(self, node: str, level: str) -> None:
        """Start to write the process's log to standard output."""
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
        """Write the queued lines; stop waiting after `FLUSH_TIMEOUT_S`."""
        writer = threading.Thread(target=self._flush, name="last-lines", daemon=True)
        writer.start()
        writer.join(FLUSH_TIMEOUT_S)

    def _flush(self) -> None:
        if self._listener is not None:
            # A full queue has no space for the end marker; its lines are lost with the process.
            with contextlib.suppress(queue.Full):
                self._listener.stop()
        sys.stdout.flush()
