"""Comparing what processes know of the same list, to find the one that has missed something.

A watch that hears nothing looks just like one with nothing to hear. Processes tell each other a
version of what they know; one that stays behind, or apart, for longer than a change takes to reach
everybody reads the list again.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

CHANGE_TIME: Millis = 400.0
"""Longest time in which a change reaches every process in order: an answer of the store takes up to
300 ms when it is slow, and hints come twenty times a second."""
READ_AGAIN: Millis = 1_000.0
"""Time between two readings while the difference stays, for each is a priced call."""


class SharedView:
    """What this process knows, as one number, against what others tell of theirs.

    Args:
        change_time: Longest time in which a change reaches every process in order.
        read_again: Time between two readings while the difference stays.

    Attributes:
        version: Of this process's view: a growing number or a digest.
    """

    __slots__ = ("_change_time", "_read", "_read_again", "_since", "version")

    def __init__(
        self, *, change_time: Millis = CHANGE_TIME, read_again: Millis = READ_AGAIN
    ) -> None:
        self._change_time = change_time
        self._read_again = read_again
        self.version = 0
        self._since: Millis | None = None
        self._read: Millis = float("-inf")

    def is_behind(self, version: int, now: Millis) -> bool:
        """Whether to read again since another process knows a higher version."""
        return self._is_due(version > self.version, now)

    def differs(self, digest: int, now: Millis) -> bool:
        """Whether to read again since another process knows something else.

        A difference counts when it stays; one peer that agrees does not end it, since most may
        have missed the same change.
        """
        return self._is_due(digest != self.version, now)

    def _is_due(self, apart: bool, now: Millis) -> bool:
        if not apart:
            if self._since is not None and now - self._since > 2 * self._change_time:
                self._since = None
            return False
        if self._since is None:
            self._since = now
        if now - self._since < self._change_time or now - self._read < self._read_again:
            return False
        self._since = None
        self._read = now
        return True
