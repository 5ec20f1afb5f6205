"""Recent failures of upstreams, counted across all entries.

Load pattern: an upstream fails part of its requests quickly while it reports good health. It looks
idle because it completes few requests, so placement by load sends it more than its share. In a
fleet of eighteen entries each entry sees one such failure every few seconds; all entries together
see several a second. Entries therefore exchange their failure counts, and an upstream with two
recent failures is used only if the other upstreams are full.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from carobspool_core._clock import Millis

FAILURE_THRESHOLD = 2
"""Number of failures within `FAILURE_WINDOW` at which an upstream is avoided. One failure may be a
lost answer: at times half of the upstreams lose 2 or 3 in 100 answers. At five requests a second
two lost answers in one window are then rare, and two failures are certain if half of the requests
fail."""
FAILURE_WINDOW: Millis = 2_000.0
"""How long a failure counts. Afterwards the upstream is tried again; if it still fails, it is
avoided again after two more failures."""
PEER_COUNTS_TTL: Millis = 30_000.0
"""How long the counts of a peer are kept after its last report. Entries that share no upstream
report every six seconds; the first report after the counts were dropped adds no failures."""
_MAX_FAILURES_KEPT = 16


class FailureReports:
    """Failures that this entry and its peers observed, by identity of the upstream."""

    __slots__ = ("_failure_times", "_own_counts", "_peer_counts")

    def __init__(self) -> None:
        self._own_counts: dict[str, int] = {}
        self._peer_counts: dict[str, tuple[Millis, Mapping[str, int]]] = {}
        self._failure_times: dict[str, deque[Millis]] = {}

    def record_failure(self, identity: str, now: Millis) -> None:
        """Record a failure that this entry observed."""
        self._own_counts[identity] = self._own_counts.get(identity, 0) + 1
        self._add(identity, 1, now)

    def own_counts(self) -> dict[str, int]:
        """Return the failures that this entry observed since its start, to report to peers."""
        return dict(self._own_counts)

    def update_peer(self, peer: str, counts: Mapping[str, int], now: Millis) -> None:
        """Record the failures that another entry observed since its start.

        The first report of a peer is only a baseline and adds no failures: it covers the time
        before this entry first received the counts of the peer.
        """
        previous_report = self._peer_counts.get(peer)
        self._peer_counts[peer] = (now, counts)
        if previous_report is None:
            return
        _, previous_counts = previous_report
        for identity, count in counts.items():
            previous = previous_counts.get(identity, 0)
            # A peer that has restarted counts from 0 again and reports a lower number.
            self._add(identity, count - previous if count >= previous else count, now)

    def upstreams_to_avoid(self, now: Millis) -> set[str]:
        """Return the upstreams to avoid."""
        failing_upstreams = set()
        for identity, times in self._failure_times.items():
            while times and now - times[0] > FAILURE_WINDOW:
                times.popleft()
            if len(times) >= FAILURE_THRESHOLD:
                failing_upstreams.add(identity)
        return failing_upstreams

    def retain_only(self, identities: set[str], now: Millis) -> None:
        """Drop the failures of all other upstreams, and counts older than `PEER_COUNTS_TTL`."""
        self._own_counts = {
            key: count for key, count in self._own_counts.items() if key in identities
        }
        self._failure_times = {
            key: times for key, times in self._failure_times.items() if key in identities
        }
        self._peer_counts = {
            key: (received_at, counts)
            for key, (received_at, counts) in self._peer_counts.items()
            if now - received_at < PEER_COUNTS_TTL
        }

    def _add(self, identity: str, count: int, now: Millis) -> None:
        times = self._failure_times.setdefault(identity, deque(maxlen=_MAX_FAILURES_KEPT))
        times.extend([now] * min(count, _MAX_FAILURES_KEPT))
