"""Logs to standard output and metrics over HTTP of a direct entry.

Lines go through a bounded queue to a task that writes them, so that a slow reader of standard
output never holds a request back; what does not fit is counted and the count is logged.
"""

from __future__ import annotations

import contextlib
import logging as standard_logging
import queue
import sys
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer
from logging.handlers import QueueHandler, QueueListener

from absl import logging
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from carobspool_core import Millis
from carobspool_node.settings import LineFormatter

LOG_QUEUE_LINES = 2_000
"""Lines that may wait to be written: some seconds of an entry under five times its usual load."""
LAST_LINES_S = 0.5
"""How long an exit waits for its last lines. Without a limit a reader that had stopped held the
process until it was killed, and requests with it; writing 2,000 lines takes some 20 ms."""
_LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
_LABELS = {
    "requests": ("route", "outcome"),
    "upstream_failures": ("service",),
    "upstream_restarts": ("service",),
    "job_calls": ("call", "outcome"),
    "items": ("outcome",),
    "job_proofs": ("outcome",),
    "job_owners": ("change",),
    "store_calls": ("call", "outcome"),
    "bad_records": ("kind",),
    "log_lines_dropped": (),
}
_TIMES = ("request", "first_event", "job_commit", "item_run", "job_orphan")


class _DroppingHandler(QueueHandler):
    def __init__(self, lines: queue.Queue[standard_logging.LogRecord], dropped: Counter) -> None:
        super().__init__(lines)
        self._dropped = dropped

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self._dropped.inc()


class Telemetry:
    """Counters and latency histograms of one process, and its log."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters = {
            name: Counter(f"carobspool_{name}", name, labels, registry=self._registry)
            for name, labels in _LABELS.items()
        }
        self._times = {
            name: Histogram(
                f"carobspool_{name}_seconds",
                name,
                buckets=_LATENCY_BUCKETS_S,
                registry=self._registry,
            )
            for name in _TIMES
        }
        self._listener: QueueListener | None = None

    def count(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters[name]
        (counter.labels(**labels) if labels else counter).inc(value)

    def time(self, name: str, duration: Millis) -> None:
        """Record a duration in milliseconds."""
        self._times[name].observe(duration / 1000.0)

    def text(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)

    def start_logs(self, node: str, level: str) -> None:
        """Send the process's logs to standard output."""
        lines: queue.Queue[standard_logging.LogRecord] = queue.Queue(LOG_QUEUE_LINES)
        writer = standard_logging.StreamHandler(sys.stdout)
        writer.setFormatter(LineFormatter(node))
        logging.use_absl_handler()
        root = standard_logging.getLogger()
        for handler in list(root.handlers):
            root.removeHandler(handler)
        root.addHandler(_DroppingHandler(lines, self._counters["log_lines_dropped"]))
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

    def serve(self, address: str, port: int) -> None:
        """Serve the metrics as text over HTTP."""
        telemetry = self

        class _Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                body = telemetry.text()
                self.send_response(200)
                self.send_header("Content-Type", "text/plain; version=0.0.4")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: object) -> None:  # noqa: A002
                """Leave these requests out of the log."""

        server = HTTPServer((address, port), _Handler)
        threading.Thread(target=server.serve_forever, name="metrics", daemon=True).start()
