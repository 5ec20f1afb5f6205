"""Track upstreams to avoid: unreachable from this entry, or failing recently at any entry."""

from __future__ import annotations

from collections.abc import Mapping

from absl import logging

from carobspool_core import Millis
from carobspool_core.direct import FailureReports, Upstream, latest_starts

SUSPECT_TIME: Millis = 1_000.0
"""Time for which an upstream is avoided after a failed call. A crashed server restarts within a few
seconds or leaves the list after three missed heartbeats; one attempt a second detects either."""
PROBATION_TIME: Millis = 4_000.0
"""Time after `SUSPECT_TIME` in which an upstream gets only first attempts. Some request has to
probe the upstream, but not one that has already failed and may not be tried a third time."""


class Suspects:
    """Upstreams that recently failed. Not thread-safe; callers pass the current time."""

    __slots__ = ("_failures", "_logged_as_avoided", "_restarts", "_suspect_until")

    def __init__(self) -> None:
        self._suspect_until: dict[str, Millis] = {}
        self._failures = FailureReports()
        self._restarts: dict[str, int] = {}
        self._logged_as_avoided: set[str] = set()

    def record_failure(self, upstream: Upstream, now: Millis) -> None:
        """Record a failure seen by this entry, unless the upstream has restarted since."""
        if upstream.started < self._restarts.get(upstream.instance, upstream.started):
            # Entries of the previous version would attribute the failure to the new start.
            return
        self._suspect_until[upstream.identity] = now + SUSPECT_TIME
        self._failures.record_failure(upstream.identity, now)
        self._log_avoided_changes(now)

    def merge_peer_failures(self, peer: str, failures: Mapping[str, int], now: Millis) -> None:
        """Merge the failures that a peer has counted since its start."""
        self._failures.update_peer(peer, failures, now)
        self._log_avoided_changes(now)

    def record_restart(self, upstream: Upstream) -> None:
        """Record that an upstream has restarted."""
        self._restarts[upstream.instance] = upstream.started

    def has_restarted(self, instance: str) -> bool:
        """Whether a restart of the upstream was recorded."""
        return instance in self._restarts

    def own_failures(self) -> dict[str, int]:
        """Return the failures that this entry has seen, by the upstream's identity."""
        return self._failures.own_counts()

    def avoided(self, now: Millis, *, first_try: bool) -> set[str]:
        """Return the identities of the upstreams to avoid.

        Args:
            now: Current time.
            first_try: Whether the request to place is on its first attempt.
        """
        found = self._failures.upstreams_to_avoid(now)
        probation = 0.0 if first_try else PROBATION_TIME
        found.update(
            identity for identity, until in self._suspect_until.items() if now < until + probation
        )
        return found

    def retain_only(self, identities: set[str], now: Millis) -> None:
        """Drop the records of upstreams other than the given ones, and old reports of peers."""
        self._suspect_until = {
            key: at for key, at in self._suspect_until.items() if at + PROBATION_TIME > now
        }
        known = latest_starts(identities)
        self._restarts = {key: at for key, at in self._restarts.items() if key in known}
        self._failures.retain_only(identities, now)
        self._log_avoided_changes(now)

    def _log_avoided_changes(self, now: Millis) -> None:
        failing = self._failures.upstreams_to_avoid(now)
        for identity in failing - self._logged_as_avoided:
            logging.info("event=upstream_avoided upstream=%s reason='recent failures'", identity)
        for identity in self._logged_as_avoided - failing:
            logging.info("event=upstream_used_again upstream=%s", identity)
        self._logged_as_avoided = failing
