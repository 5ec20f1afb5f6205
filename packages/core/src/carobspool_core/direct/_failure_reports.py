"""Failures at upstreams as all entries saw them.

Load pattern: an upstream fails part of its requests, fast, while its health is good. It looks idle
just because it finishes few, so the choice by load sends it more than its share. Each entry alone
sees one failure in some seconds there, of a fleet's eighteen entries; together they see several a
second. So entries tell each other how many they have seen, and an upstream with two failures of
late is used only when the others are full.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from carobspool_core._clock import Millis

FAILURES_TO_AVOID = 2
"""One failure may be a lost answer, of which 2 or 3 in 100 occur on half of the upstreams at times;
at five requests a second two in one window are rare then, and certain where half of them fail."""
WINDOW: Millis = 2_000.0
"""How long a failure counts. When it is over the upstream is tried again; one that still fails is
avoided again after two more."""
_KEPT = 16


class FailureReports:
    """Failures by an upstream's identity, of this entry and of the others."""

    __slots__ = ("_known", "_own", "_times")

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._known: dict[str, Mapping[str, int]] = {}
        self._times: dict[str, deque[Millis]] = {}

    def note(self, identity: str, now: Millis) -> None:
        """Take a failure that this entry saw."""
        self._own[identity] = self._own.get(identity, 0) + 1
        self._add(identity, 1, now)

    def own(self) -> dict[str, int]:
        """Return how many failures this entry has seen since its start, for the others."""
        return dict(self._own)

    def take(self, peer: str, counts: Mapping[str, int], now: Millis) -> None:
        """Take what another entry has seen since its start.

        The first report of a peer tells of its past and counts for nothing.
        """
        known = self._known.get(peer)
        self._known[peer] = counts
        if known is None:
            return
        for identity, count in counts.items():
            before = known.get(identity, 0)
            # A smaller number comes from a peer that has started again.
            self._add(identity, count - before if count >= before else count, now)

    def failing(self, now: Millis) -> set[str]:
        """Return the upstreams that are to be avoided."""
        found = set()
        for identity, times in self._times.items():
            while times and now - times[0] > WINDOW:
                times.popleft()
            if len(times) >= FAILURES_TO_AVOID:
                found.add(identity)
        return found

    def keep_only(self, identities: set[str], peers: set[str]) -> None:
        """Forget upstreams and peers that are gone."""
        self._own = {key: count for key, count in self._own.items() if key in identities}
        self._times = {key: times for key, times in self._times.items() if key in identities}
        self._known = {key: counts for key, counts in self._known.items() if key in peers}

    def _add(self, identity: str, count: int, now: Millis) -> None:
        times = self._times.setdefault(identity, deque(maxlen=_KEPT))
        times.extend([now] * min(count, _KEPT))
