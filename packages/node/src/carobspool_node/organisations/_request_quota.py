"""Enforces request limits at this entry, with counts shared among all entries."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

from carobspool_core import Clock, Millis
from carobspool_core.organisations import (
    Admission,
    KnownPeer,
    OrganisationDirectory,
    RequestLimits,
)

PEER_UPDATE_INTERVAL: Millis = 50.0
"""Shortest time between two updates of the known peers."""
HINT_RESEND_TIME: Millis = 200.0
"""How long hints repeat a count after it has changed; a later hint makes up for a lost one."""
HEARTBEAT_RESEND_TIME: Millis = 1_300.0
"""How long heartbeats, which are sent twice a second, repeat a count after it has changed."""
ANNOUNCEMENT_RESEND_TIME: Millis = 10_000.0
"""How long announcements repeat a count after it has changed. Announcements are sent every two
seconds and to each process that has just started."""
IDLE_TIME: Millis = 30_000.0
"""Age at which the time of an own count's last change is dropped; exceeds each resend time."""
IDLE_SWEEP_INTERVAL: Millis = 10_000.0
"""Shortest time between two sweeps for idle organisations; a sweep visits all active ones."""


class RequestQuota:
    """Serialises access to the request limits; thread-safe.

    Args:
        clock: The process's clock.
        known_peers: Returns the other entries.
    """

    def __init__(self, clock: Clock, *, known_peers: Callable[[], Iterable[KnownPeer]]) -> None:
        self._clock = clock
        self._known_peers = known_peers
        self._lock = threading.Lock()
        self._limits = RequestLimits(clock.now())
        self._peers_updated_at: Millis = float("-inf")
        self._has_limits = False
        self._has_changed_counts = False
        self._counts_sent_at: Millis = float("-inf")
        self._idle_swept_at: Millis = clock.now()

    @property
    def has_unsent_counts(self) -> bool:
        """Whether counts are to be sent to the other entries now."""
        if self._has_changed_counts:
            return True
        now = self._clock.now()
        return (
            self._limits.has_hot_organisation(now)
            and now - self._counts_sent_at >= self._limits.hot_hint_interval
        )

    @property
    def needs_direct_hints(self) -> bool:
        """Whether relays would delay counts so much that a limit may be exceeded; takes no lock.

        Counts that relays pass on are about 60 ms older than direct ones. At a limit, the requests
        of that time would be admitted beyond it.
        """
        return self._limits.needs_direct_hints(self._clock.now())

    def configure(self, directory: OrganisationDirectory | None) -> None:
        """Apply the limits of a new configuration."""
        limits = {} if directory is None else directory.limits()
        with self._lock:
            self._limits.configure(limits, self._clock.now())
            self._has_limits = bool(limits)

    def admit(self, organisation: str) -> Admission:
        """Count a request of an organisation, or refuse it with the time until the next token."""
        with self._lock:
            now = self._clock.now()
            self._update_peers(now)
            admission = self._limits.admit(organisation, now)
            self._has_changed_counts = self._has_changed_counts or (
                admission.granted and self._has_limits
            )
            return admission

    def refund(self, organisation: str) -> None:
        """Undo the count of a request that no upstream has run."""
        with self._lock:
            self._limits.refund(organisation, self._clock.now())
            self._has_changed_counts = self._has_limits

    def claim_unsent_counts(self, *, is_heartbeat: bool) -> Mapping[int, int]:
        """Return the counts for a hint to all other entries, and record that they are sent now."""
        within = HEARTBEAT_RESEND_TIME if is_heartbeat else HINT_RESEND_TIME
        with self._lock:
            now = self._clock.now()
            self._has_changed_counts = False
            self._counts_sent_at = now
            return self._limits.recent_counts(now, within=within)

    def recent_counts(self, within: Millis) -> Mapping[int, int]:
        """Return the counts that have changed within a time before now."""
        with self._lock:
            return self._limits.recent_counts(self._clock.now(), within=within)

    def apply_peer_counts(self, peer: str, incarnation: str, counts: Mapping[int, int]) -> None:
        """Charge the limits for requests that another entry has admitted."""
        with self._lock:
            if self._has_limits:
                now = self._clock.now()
                self._update_peers(now)
                self._limits.apply_peer_counts(peer, incarnation, counts, now)

    def drop_idle(self) -> None:
        """Drop the state of idle organisations, at most once in `IDLE_SWEEP_INTERVAL`."""
        now = self._clock.now()
        if now - self._idle_swept_at < IDLE_SWEEP_INTERVAL:
            return
        self._idle_swept_at = now
        with self._lock:
            self._limits.drop_idle(now, idle=IDLE_TIME)

    def _update_peers(self, now: Millis) -> None:
        if now - self._peers_updated_at < PEER_UPDATE_INTERVAL:
            return
        self._peers_updated_at = now
        self._limits.update_peers(self._known_peers(), now)
