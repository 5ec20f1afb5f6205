"""Records that cannot be used: one log line for each and its change, within bounds, and a count.

Any process can write to the store, and thousands of bad records may lie there, read every few
seconds. A line for each reading would cost more than the requests and push other lines out of the
log's queue; so a line comes when a record turns bad, is bad in another way, or has mended, and no
more than `LINES` in `WINDOW`. The counter holds all.
"""

from __future__ import annotations

import threading

from absl import logging
from xxhash import xxh3_64_intdigest

from carobspool_core import Clock, Millis
from carobspool_node.direct._telemetry import Telemetry

LINES = 50
WINDOW: Millis = 10_000.0
"""Five lines a second on average, of the 2,000 that the log's queue holds."""
TRACKED = 20_000
"""Bad records that are remembered, at some 150 bytes each; the oldest go first, and are told and
counted once more if they are still there."""
SHOWN = 300
"""Characters of a reason in a line: two problems with their field, found and allowed."""
NAME_SHOWN = 80


class BadRecords:
    """Tells of the bad records of one kind.

    Args:
        clock: The process's clock.
        telemetry: Counts them.
        kind: What they should be, for log and counter.
        field: Name of the pair that tells which record, in a line.
    """

    def __init__(self, clock: Clock, telemetry: Telemetry, kind: str, field: str) -> None:
        self._clock = clock
        self._telemetry = telemetry
        self._kind = kind
        self._field = field
        self._lock = threading.Lock()
        self._told: dict[int, int] = {}
        self._window_end: Millis = 0.0
        self._lines = 0
        self._unlogged = 0

    def note(self, name: str, reason: object) -> None:
        """Take a record that cannot be used; only a change is told and counted."""
        digest = _key(str(reason))
        with self._lock:
            key = _key(name)
            if self._told.get(key) == digest:
                return
            self._told.pop(key, None)
            self._told[key] = digest
            if len(self._told) > TRACKED:
                del self._told[next(iter(self._told))]
        self.tell(name, reason)

    def tell(self, name: str, reason: object) -> None:
        """Count and log one that is gone again, as a datagram is."""
        self._telemetry.count("bad_records", kind=self._kind)
        unlogged = self._take_line()
        if unlogged is None:
            return
        logging.warning(
            "event=bad_%s %s=%s reason=%r unlogged=%d",
            self._kind,
            self._field,
            shown(name, NAME_SHOWN),
            shown(str(reason), SHOWN),
            unlogged,
        )

    def mended(self, name: str) -> None:
        """Take that a record can be used, or is gone."""
        if not self._told:
            return
        with self._lock:
            if self._told.pop(_key(name), None) is None:
                return
        unlogged = self._take_line()
        if unlogged is None:
            return
        logging.info(
            "event=%s_mended %s=%s unlogged=%d",
            self._kind,
            self._field,
            shown(name, NAME_SHOWN),
            unlogged,
        )

    def _take_line(self) -> int | None:
        """Return how many lines were left out since the last one, ``None`` to leave this out."""
        now = self._clock.now()
        with self._lock:
            if now >= self._window_end:
                self._window_end = now + WINDOW
                self._lines = 0
            if self._lines >= LINES:
                self._unlogged += 1
                return None
            self._lines += 1
            unlogged = self._unlogged
            self._unlogged = 0
            return unlogged


def shown(text: str, limit: int) -> str:
    """Return a foreign text for a line of the log: printable ASCII, and not long."""
    found = text[: limit + 1].encode("ascii", "backslashreplace").decode()
    found = "".join(each if each.isprintable() else "?" for each in found)
    return found if len(found) <= limit else f"{found[:limit]}..."


def _key(text: str) -> int:
    return xxh3_64_intdigest(text.encode("utf-8", "surrogatepass"))
