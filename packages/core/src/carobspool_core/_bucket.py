"""Token bucket with a variable rate.

Load pattern: a caller sends in short bursts or continuously. A plain counter per minute would let
the caller use the whole limit in the first second and refuse it for the rest of the minute.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

MINUTE_MS: Millis = 60_000.0

_FILL_TIME: Millis = 5_000.0
"""Time in which an empty bucket fills. Five seconds are a twelfth of a minute, so that a minute
beginning with a full bucket stays within 10% of the limit."""


class Bucket:
    """A token bucket.

    Args:
        rate: Units per minute.
        min_capacity: Lower bound of the capacity; without it, a small rate would admit nothing.
        now: The current time; the bucket is full at first.
    """

    __slots__ = ("_level", "_min_capacity", "_rate", "_updated")

    def __init__(self, rate: float, min_capacity: float, now: Millis) -> None:
        self._rate = rate
        self._min_capacity = min_capacity
        self._updated = now
        self._level = self._capacity()

    @property
    def rate(self) -> float:
        """Units per minute."""
        return self._rate

    def set_rate(self, rate: float, now: Millis) -> None:
        """Change the rate; units above the new capacity are lost."""
        self._refill(now)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def time_until_available(self, cost: float, now: Millis) -> Millis:
        """Return the time until ``cost`` units can be consumed; 0 if they are available now.

        A cost above the capacity requires only a full bucket, and makes the level negative.
        """
        self._refill(now)
        missing = min(cost, self._capacity()) - self._level
        if missing <= 0.0:
            return 0.0
        return missing * MINUTE_MS / self._rate if self._rate > 0.0 else MINUTE_MS

    def consume(self, cost: float) -> None:
        """Remove units; the level may become negative."""
        self._level -= cost

    def refund(self, units: float) -> None:
        """Add units that were consumed but not used."""
        self._level = min(self._capacity(), self._level + units)

    def is_full(self, now: Millis) -> bool:
        """Return whether the bucket is full."""
        self._refill(now)
        return self._level >= self._capacity()

    def _capacity(self) -> float:
        return max(self._min_capacity, self._rate * _FILL_TIME / MINUTE_MS)

    def _refill(self, now: Millis) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._level = min(self._capacity(), self._level + elapsed * self._rate / MINUTE_MS)
