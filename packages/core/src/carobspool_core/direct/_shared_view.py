"""Detects that a process has missed a change of a list which it watches.

A broken watch, which receives no events, looks like a working watch of a list that does not change.
Processes therefore exchange the versions of their views. A process whose view stays behind, or
differs, for longer than a change takes to reach every process reads the list again.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

PROPAGATION_TIME: Millis = 400.0
"""Longest time in which a change reaches every process if nothing is lost: a slow store answers
within 300 ms, and hints are sent twenty times a second."""
REREAD_INTERVAL: Millis = 1_000.0
"""Least time between two reads while the difference lasts, since each read is a billed call."""


class ViewVersion:
    """Compares the version of this process's view of a list with the versions of its peers.

    Args:
        propagation_time: Longest time in which a change reaches every process if nothing is lost.
        reread_interval: Least time between two reads while the difference lasts.

    Attributes:
        version: Version of this process's view: an increasing number or a digest.
    """

    __slots__ = (
        "_differs_since",
        "_last_reread_at",
        "_propagation_time",
        "_reread_interval",
        "version",
    )

    def __init__(
        self,
        *,
        propagation_time: Millis = PROPAGATION_TIME,
        reread_interval: Millis = REREAD_INTERVAL,
    ) -> None:
        self._propagation_time = propagation_time
        self._reread_interval = reread_interval
        self.version = 0
        self._differs_since: Millis | None = None
        self._last_reread_at: Millis = float("-inf")

    def should_reread_for_version(self, version: int, now: Millis) -> bool:
        """Whether to read the list again because a peer reports a higher version."""
        return self._reread_is_due(version > self.version, now)

    def should_reread_for_digest(self, digest: int, now: Millis) -> bool:
        """Whether to read the list again because a peer reports a different digest.

        Only a lasting difference counts. A single peer that agrees does not end the difference,
        since most peers may have missed the same change.
        """
        return self._reread_is_due(digest != self.version, now)

    def _reread_is_due(self, is_different: bool, now: Millis) -> bool:
        if not is_different:
            if (
                self._differs_since is not None
                and now - self._differs_since > 2 * self._propagation_time
            ):
                self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if (
            now - self._differs_since < self._propagation_time
            or now - self._last_reread_at < self._reread_interval
        ):
            return False
        self._differs_since = None
        self._last_reread_at = now
        return True
