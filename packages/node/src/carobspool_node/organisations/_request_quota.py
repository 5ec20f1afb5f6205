"""The request limits of organisations at this entry, counted together with the other entries."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

from carobspool_core import Clock, Millis
from carobspool_core.organisations import (
    Admission,
    Neighbour,
    OrganisationDirectory,
    RequestLimits,
)

LOOK_INTERVAL: Millis = 50.0
"""Time between two looks at which entries are heard."""
TOLD_FOR: Millis = 200.0
"""How long a count is told after it has changed: hints get lost, and the next ones make up."""
TOLD_IN_HEARTBEATS_FOR: Millis = 1_300.0
"""How long heartbeats tell it, which come twice a second."""
TOLD_IN_ANNOUNCEMENTS_FOR: Millis = 10_000.0
"""How long announcements tell it, which come every two seconds and to whoever has just started."""
IDLE_TIME: Millis = 30_000.0
TIDY_INTERVAL: Millis = 10_000.0
"""Time between two looks for idle organisations, which go through all that are active."""


class RequestQuota:
    """Serialises the use of the limits; safe for threads.

    Args:
        clock: The process's clock.
        neighbours: Returns the other entries.
    """

    def __init__(self, clock: Clock, *, neighbours: Callable[[], Iterable[Neighbour]]) -> None:
        self._clock = clock
        self._neighbours = neighbours
        self._lock = threading.Lock()
        self._limits = RequestLimits(clock.now())
        self._looked: Millis = float("-inf")
        self._has_limits = False
        self._untold = False
        self._told: Millis = float("-inf")
        self._tidied: Millis = clock.now()

    @property
    def has_untold(self) -> bool:
        """Whether the others are to be told counts now."""
        if self._untold:
            return True
        now = self._clock.now()
        return self._limits.is_hot(now) and now - self._told >= self._limits.hot_heartbeat

    def configure(self, directory: OrganisationDirectory | None) -> None:
        """Take the organisations of a new configuration."""
        limits = {} if directory is None else directory.limits()
        with self._lock:
            self._limits.configure(limits, self._clock.now())
            self._has_limits = bool(limits)

    def admit(self, organisation: str) -> Admission:
        """Count a request of an organisation, or return when it may come again."""
        with self._lock:
            now = self._clock.now()
            self._look(now)
            admission = self._limits.admit(organisation, now)
            self._untold = self._untold or (admission.granted and self._has_limits)
            return admission

    def give_back(self, organisation: str) -> None:
        """Take back the count of a request that no upstream has run."""
        with self._lock:
            self._limits.give_back(organisation, self._clock.now())
            self._untold = self._has_limits

    def counts_to_tell(self, *, is_heartbeat: bool) -> Mapping[int, int]:
        """Return the counts for a hint that goes to all other entries now."""
        within = TOLD_IN_HEARTBEATS_FOR if is_heartbeat else TOLD_FOR
        with self._lock:
            now = self._clock.now()
            self._untold = False
            self._told = now
            return self._limits.counts(now, within=within)

    def recent_counts(self, within: Millis) -> Mapping[int, int]:
        """Return the counts that have changed within some time."""
        with self._lock:
            return self._limits.counts(self._clock.now(), within=within)

    def receive(self, peer: str, incarnation: str, counts: Mapping[int, int]) -> None:
        """Take what another entry has admitted."""
        with self._lock:
            if self._has_limits:
                now = self._clock.now()
                self._look(now)
                self._limits.receive(peer, incarnation, counts, now)

    def tidy(self) -> None:
        """Drop what is kept of organisations that are idle, now and then."""
        now = self._clock.now()
        if now - self._tidied < TIDY_INTERVAL:
            return
        self._tidied = now
        with self._lock:
            self._limits.forget_idle(now, idle=IDLE_TIME)

    def _look(self, now: Millis) -> None:
        if now - self._looked < LOOK_INTERVAL:
            return
        self._looked = now
        self._limits.set_entries(self._neighbours(), now)
