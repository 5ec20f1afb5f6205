"""When an entry tells the others that its loads have changed.

Load pattern: dozens of entries place requests at the same upstreams. Until a placement is known to
the others they take the slot for free, and their requests queue behind it while slots are free
elsewhere. With many entries each one's loads change rarely, so that a change can be told at once;
with few entries, or under a rush, changes are told together, within a budget of datagrams.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

DATAGRAMS_A_SECOND = 2_000.0
"""Datagrams about loads that an entry sends in a second, to all others together."""
BURST = 10.0
"""Changes that are told one by one before the budget holds them back."""
SHORTEST_GAP: Millis = 4.0
"""Time between two tellings, in which the changes that one request causes come together."""
LONGEST_GAP: Millis = 250.0
"""Time between two tellings however many the others are: half of the time between heartbeats."""
CLOCK_STEP: Millis = 0.01
"""A wait that is shorter is none: added to the time it may not change it."""


class LoadPace:
    """A budget for telling loads. Not safe for threads; times are passed in."""

    __slots__ = ("_allowance", "_filled", "_last")

    def __init__(self) -> None:
        self._allowance = BURST
        self._filled: Millis = 0.0
        self._last: Millis = float("-inf")

    def wait(self, now: Millis, *, peers: int) -> Millis:
        """Return how long to wait before loads are told again, 0 for not at all."""
        self._fill(now, peers)
        gap = 0.0 if self._allowance >= 1.0 else (1.0 - self._allowance) * self._interval(peers)
        since = now - self._last
        wait = max(SHORTEST_GAP - since, min(gap, LONGEST_GAP - since))
        return wait if wait > CLOCK_STEP else 0.0

    def sent(self, now: Millis, *, peers: int) -> None:
        """Note that loads were told to all others."""
        self._fill(now, peers)
        self._allowance = max(0.0, self._allowance - 1.0)
        self._last = now

    def _fill(self, now: Millis, peers: int) -> None:
        earned = (now - self._filled) / self._interval(peers)
        self._allowance = min(BURST, self._allowance + earned)
        self._filled = now

    def _interval(self, peers: int) -> Millis:
        return max(1, peers) / DATAGRAMS_A_SECOND * 1000.0
