"""Which upstreams are avoided: they could not be reached, or failed of late here or elsewhere."""

from __future__ import annotations

from collections.abc import Mapping

from absl import logging

from carobspool_core import Millis
from carobspool_core.direct import FailureReports, Upstream, latest_starts

SUSPECT_TIME: Millis = 1_000.0
"""How long an upstream is avoided after it could not be reached. A crashed server is back after
some seconds or drops from the list after three heartbeats; one try a second finds out."""
PROBATION: Millis = 4_000.0
"""How long after that an upstream gets only first tries. Somebody has to find out whether it is
well again, but not a request that has met a failure already and may not be tried a third time."""


class Suspects:
    """Upstreams with failures. Not safe for threads; times are passed in."""

    __slots__ = ("_avoided", "_failures", "_restarts", "_until")

    def __init__(self) -> None:
        self._until: dict[str, Millis] = {}
        self._failures = FailureReports()
        self._restarts: dict[str, int] = {}
        self._avoided: set[str] = set()

    def note(self, upstream: Upstream, now: Millis) -> None:
        """Take a failure that this entry met; one of a start that is over counts for nothing."""
        if upstream.started < self._restarts.get(upstream.instance, upstream.started):
            # Entries of the version before would hold it against the new start.
            return
        self._until[upstream.identity] = now + SUSPECT_TIME
        self._failures.note(upstream.identity, now)
        self._note_avoided(now)

    def take(self, peer: str, failures: Mapping[str, int], now: Millis) -> None:
        """Take the failures that another entry has met since its start."""
        self._failures.take(peer, failures, now)
        self._note_avoided(now)

    def restarted(self, upstream: Upstream) -> None:
        """Note that an upstream has started again."""
        self._restarts[upstream.instance] = upstream.started

    def has_restarted(self, instance: str) -> bool:
        """Whether an upstream was seen to start again."""
        return instance in self._restarts

    def own_failures(self) -> dict[str, int]:
        """Return the failures that this entry has met at each upstream, for its hints."""
        return self._failures.own()

    def current(self, now: Millis, *, first_try: bool) -> set[str]:
        """Return the identities of the upstreams that are avoided now.

        Args:
            now: The time.
            first_try: Whether for a request that has not met a failure yet.
        """
        found = self._failures.failing(now)
        longer = 0.0 if first_try else PROBATION
        found.update(identity for identity, until in self._until.items() if now < until + longer)
        return found

    def forget(self, identities: set[str], peers: set[str], now: Millis) -> None:
        """Keep what is known of these upstreams and peers only."""
        self._until = {key: at for key, at in self._until.items() if at + PROBATION > now}
        known = latest_starts(identities)
        self._restarts = {key: at for key, at in self._restarts.items() if key in known}
        self._failures.keep_only(identities, peers)
        self._note_avoided(now)

    def _note_avoided(self, now: Millis) -> None:
        failing = self._failures.failing(now)
        for identity in failing - self._avoided:
            logging.info("event=upstream_avoided upstream=%s reason='failures of late'", identity)
        for identity in self._avoided - failing:
            logging.info("event=upstream_used_again upstream=%s", identity)
        self._avoided = failing
