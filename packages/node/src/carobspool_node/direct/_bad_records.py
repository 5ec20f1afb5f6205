"""Log and count records that cannot be used, with a limit on the rate of log lines.

Any process can write to the store, which may hold thousands of bad records that are read every few
seconds. A log line for each reading would cost more than serving the requests, and would push other
lines out of the log's queue. So a line is logged only when a record becomes bad, is bad for another
reason, or is valid again, and at most `MAX_LINES` in each `LOG_WINDOW`. The counter is not limited.
"""

from __future__ import annotations

import threading

from absl import logging
from xxhash import xxh3_64_intdigest

from carobspool_core import Clock, Millis
from carobspool_core.problems import printable_text
from carobspool_node.direct._telemetry import Telemetry

MAX_LINES = 50
LOG_WINDOW: Millis = 10_000.0
"""`MAX_LINES` in this time are five lines a second on average; the log's queue holds 2,000."""
MAX_TRACKED_RECORDS = 20_000
"""Bad records that are tracked, at about 150 bytes each. The oldest are dropped first, and are
logged and counted again if they are still bad."""
MAX_REASON_CHARS = 300
"""Longest reason in a line: two problems with their field, found and allowed values."""
MAX_NAME_CHARS = 80


class BadRecords:
    """Logs and counts the bad records of one kind.

    Args:
        clock: The process's clock.
        telemetry: Counts the bad records.
        kind: Kind of the records, for log lines and the counter.
        field: Key of the record's name in log lines.
    """

    def __init__(self, clock: Clock, telemetry: Telemetry, kind: str, field: str) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._kind = kind
        self._field = field
        self._lock = threading.Lock()
        self._reported: dict[int, int] = {}
        self._window_end: Millis = 0.0
        self._lines = 0
        self._unlogged = 0

    def report_if_changed(self, name: str, reason: object) -> None:
        """Log and count a bad record if it is new or bad for another reason than before."""
        digest = _digest(str(reason))
        with self._lock:
            key = _digest(name)
            if self._reported.get(key) == digest:
                return
            self._reported.pop(key, None)
            self._reported[key] = digest
            if len(self._reported) > MAX_TRACKED_RECORDS:
                del self._reported[next(iter(self._reported))]
        self.report(name, reason)

    def report(self, name: str, reason: object) -> None:
        """Count and log a bad record, such as a datagram, without tracking it."""
        self._telemetry.count("bad_records", kind=self._kind)
        unlogged = self._reserve_line()
        if unlogged is None:
            return
        logging.warning(
            "event=bad_%s %s=%s reason=%r unlogged=%d",
            self._kind,
            self._field,
            printable_text(name, MAX_NAME_CHARS),
            printable_text(str(reason), MAX_REASON_CHARS),
            unlogged,
        )

    def report_valid(self, name: str) -> None:
        """Log that a record is valid again or gone, if it was known as bad."""
        if not self._reported:
            return
        with self._lock:
            if self._reported.pop(_digest(name), None) is None:
                return
        unlogged = self._reserve_line()
        if unlogged is None:
            return
        logging.info(
            "event=%s_mended %s=%s unlogged=%d",
            self._kind,
            self._field,
            printable_text(name, MAX_NAME_CHARS),
            unlogged,
        )

    def _reserve_line(self) -> int | None:
        """Count a log line against the limit.

        Returns:
            How many lines were dropped since the last logged one, ``None`` to drop this line too.
        """
        now = self._clock.now()
        with self._lock:
            if now >= self._window_end:
                self._window_end = now + LOG_WINDOW
                self._lines = 0
            if self._lines >= MAX_LINES:
                self._unlogged += 1
                return None
            self._lines += 1
            unlogged = self._unlogged
            self._unlogged = 0
            return unlogged


def _digest(text: str) -> int:
    return xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
