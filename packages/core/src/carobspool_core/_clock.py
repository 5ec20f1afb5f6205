"""Clocks: milliseconds since an arbitrary origin, which never decrease."""

from __future__ import annotations

import time
from collections.abc import Callable

Millis = float
"""A duration or an instant in milliseconds."""


class Clock:
    """A monotonic clock read in milliseconds.

    Args:
        read: Returns the current instant in milliseconds. Its results must never decrease.

    Since 0.1.
    """

    __slots__ = ("_read",)

    def __init__(self, read: Callable[[], Millis]) -> None:
        self._read = read

    def now(self) -> Millis:
        """Return the current instant in milliseconds."""
        return self._read()


class ManualClock(Clock):
    """A clock that advances only by calls of `advance`, for tests and for replaying decisions.

    Since 0.1.
    """

    __slots__ = ("_now",)

    def __init__(self, start: Millis = 0.0) -> None:
        self._now = start
        super().__init__(lambda: self._now)

    def advance(self, by: Millis) -> None:
        """Move the clock forward.

        Args:
            by: Milliseconds to add; not negative.

        Raises:
            ValueError: If ``by`` is negative.
        """
        if by < 0:
            raise ValueError(f"a clock never goes back: {by} ms")
        self._now += by


def monotonic_clock() -> Clock:
    """Return the clock of this process, backed by the operating system's monotonic clock."""
    return Clock(lambda: time.monotonic() * 1000.0)


def boottime_clock() -> Clock:
    """Return a clock that also advances while the host is suspended.

    The monotonic clock does not advance during a suspension: a process that resumes after five
    seconds would treat its leases and deadlines as unexpired, although they have expired for the
    other processes.
    """
    return Clock(lambda: time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0)


def wall_millis() -> int:
    """Return the wall-clock time as milliseconds since the Unix epoch.

    Only for records that people read (audit records, ``created_at``), never for decisions.
    """
    return int(time.time() * 1000.0)
