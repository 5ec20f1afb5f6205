"""Clocks: milliseconds since an arbitrary origin, which never decrease."""

from __future__ import annotations

import time
from collections.abc import Callable

Millis = float
"""A duration or an instant in milliseconds."""
SMALLEST_STEP: Millis = 20.0
"""Smaller differences come from the time between two reads."""
CORRECTION: Millis = 60_000.0
"""Step from which on the clock was wrong before: hosts jump by seconds."""
STEP_LASTS: Millis = 600_000.0
"""Time after which a smaller step counts as lasting."""


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


class SteadyWallClock:
    """The time of day without the jumps that hosts make and take back.

    For durations between moments of two processes, such as the age of a job at its next owner. A
    step of the clock is followed at once if it is long, which corrects a clock that was wrong, and
    otherwise after it has lasted. Not thread-safe in the strict sense: two threads may both follow
    a step, with the same result.

    Args:
        clock: A clock that does not jump.
        read_wall: Returns the time of day in milliseconds since the Unix epoch.

    Since 0.3.
    """

    __slots__ = ("_clock", "_differs_since", "_offset", "_read_wall")

    def __init__(
        self, clock: Clock, read_wall: Callable[[], Millis] = lambda: time.time() * 1000.0
    ) -> None:
        self._clock = clock
        self._read_wall = read_wall
        self._offset: Millis = read_wall() - clock.now()
        self._differs_since: Millis | None = None

    def millis(self) -> int:
        """Return the time as milliseconds since the Unix epoch."""
        now = self._clock.now()
        offset = self._read_wall() - now
        step = abs(offset - self._offset)
        if step < SMALLEST_STEP:
            self._differs_since = None
            return int(now + self._offset)
        since = self._differs_since
        if since is None:
            since = self._differs_since = now
        if step >= CORRECTION or now - since >= STEP_LASTS:
            self._offset = offset
            self._differs_since = None
        return int(now + self._offset)


_STEADY = SteadyWallClock(boottime_clock())


def steady_wall_millis() -> int:
    """Return the time of day of this process without jumps, see `SteadyWallClock`."""
    return _STEADY.millis()
