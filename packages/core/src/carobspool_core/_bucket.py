"""A token bucket whose rate may change at any time.

Load pattern: a caller sends in short bursts or without end. A plain counter over a minute would let
it use the whole minute's limit in the first second and be refused for the rest.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

MINUTE: Millis = 60_000.0

BURST: Millis = 5_000.0
"""A full bucket holds five seconds of its rate: a twelfth of a minute, so that a minute beginning
with a full bucket stays within 10% of the limit."""


class Bucket:
    """A token bucket.

    Args:
        rate: Units a minute.
        least: The bucket holds at least so many units, or a small rate would admit nothing.
        now: When it begins, full.
    """

    __slots__ = ("_least", "_level", "_rate", "_updated")

    def __init__(self, rate: float, least: float, now: Millis) -> None:
        self._rate = rate
        self._least = least
        self._updated = now
        self._level = self._capacity()

    @property
    def rate(self) -> float:
        """Units a minute."""
        return self._rate

    def set_rate(self, rate: float, now: Millis) -> None:
        """Go on at another rate; what was gathered above the new capacity is lost."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def wait(self, cost: float, now: Millis) -> Millis:
        """Return the time until ``cost`` units can be taken; 0 when they can now.

        A cost above the capacity needs a full bucket only, and leaves a debt behind.
        """
        self._refill(now)
        missing = min(cost, self._capacity()) - self._level
        if missing <= 0.0:
            return 0.0
        return missing * MINUTE / self._rate if self._rate > 0.0 else MINUTE

    def take(self, cost: float) -> None:
        """Take units; the level may fall below zero."""
        self._level -= cost

    def give_back(self, units: float) -> None:
        """Return units that were taken and not used."""
        self._level = min(self._capacity(), self._level + units)

    def is_full(self, now: Millis) -> bool:
        """Tell whether nothing is left to be refilled."""
        self._refill(now)
        return self._level >= self._capacity()

    def _capacity(self) -> float:
        return max(self._least, self._rate * BURST / MINUTE)

    def _refill(self, now: Millis) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._level = min(self._capacity(), self._level + elapsed * self._rate / MINUTE)
