"""Failure detection of peers, and when an owner must verify the ownership of its jobs.

Load pattern: entries are killed, frozen, partitioned and restarted, one or many at a time. A silent
peer may be dead. It may also be alive, receive no hints of this entry either, and take over the
jobs of this entry. An entry that declares a peer dead too early takes jobs from a live owner. An
entry that does not verify its own jobs runs items of a job that was taken over or ended elsewhere.
"""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis

SILENT_AFTER: Millis = 900.0
"""Time without a hint after which a peer is reported as silent, long before its jobs are taken
over."""
DEAD_AFTER: Millis = 2_200.0
"""Time without a hint after which other entries take over the jobs of a peer: four missed full
hints in a row, and longer than the pause of a process restart."""
GONE_AFTER: Millis = 5_000.0
"""Time without a hint after which a peer is not expected back soon; a restart takes two seconds."""
FORGET_AFTER: Millis = 30_000.0
"""Time without a hint after which hints are no longer sent to the last known address of a peer."""
OWNERSHIP_UNCERTAIN_TIME: Millis = 4_000.0
"""How long after a sign of a partition an owner checks with the store before it works on a job or
answers calls on it. A takeover happens within `DEAD_AFTER` of the partition and is noticed within
this time. A peer that stays silent is such a sign until it is forgotten, since it may act during
all of that time."""

RECENT_PAUSE: Millis = 5_000.0
"""How long a pause of this process is reported after it has ended."""


class PeerStatus(Struct, frozen=True, kw_only=True):
    """Conclusions from the time since the last hint of a peer.

    Attributes:
        is_lost: Whether other entries may take over the jobs of the peer.
        is_gone: Whether the peer is not expected back soon; reported once.
        is_forgotten: Whether all state of the peer can be dropped.
    """

    is_lost: bool
    is_gone: bool
    is_forgotten: bool


class Liveness:
    """Detects failed peers by the time since their last hint. Not thread-safe; callers hold a lock.

    Args:
        now: Time at which the process started. Peers may still have state of a previous process of
            this entry, so the ownership of all jobs is uncertain at first.
    """

    __slots__ = (
        "_last_pause",
        "_last_tick",
        "_ownership_uncertain_until",
        "_reported_gone",
        "_shut_down",
    )

    def __init__(self, now: Millis) -> None:
        self._ownership_uncertain_until = now + OWNERSHIP_UNCERTAIN_TIME
        self._last_tick = now
        self._last_pause: tuple[Millis, Millis] = (float("-inf"), 0.0)
        self._shut_down: set[str] = set()
        self._reported_gone: set[str] = set()

    @property
    def ownership_uncertain_until(self) -> Millis:
        """Time until which other entries may have acted on this entry's jobs unnoticed."""
        return self._ownership_uncertain_until

    def record_tick(self, now: Millis) -> Millis:
        """Record that the process is running; return how long it was suspended, 0 if it was not."""
        gap = now - self._last_tick
        self._last_tick = now
        if gap <= SILENT_AFTER:
            return 0.0
        self._ownership_uncertain_until = now + OWNERSHIP_UNCERTAIN_TIME
        self._last_pause = (now, gap)
        return gap

    def recent_pause(self, now: Millis) -> Millis:
        """Return how long the process was suspended, 0 if it was not within `RECENT_PAUSE`.

        A pause counts as soon as it is over, also before the next tick has found it.
        """
        gap = now - self._last_tick
        if gap > SILENT_AFTER:
            return gap
        ended_at, gap = self._last_pause
        return gap if now - ended_at < RECENT_PAUSE else 0.0

    def record_hint(self, silence: Millis | None, now: Millis) -> None:
        """Record a hint of a peer.

        Args:
            silence: Time since the previous hint; ``None`` for the first hint of a process, whose
                predecessor may not have reported its last actions on jobs to any entry.
            now: Current time.
        """
        if silence is None or silence > SILENT_AFTER:
            self._ownership_uncertain_until = max(self._ownership_uncertain_until, now)

    def record_reported_silent(self, now: Millis) -> None:
        """Record that a peer reports this entry as silent."""
        self._ownership_uncertain_until = now + OWNERSHIP_UNCERTAIN_TIME

    def evaluate_peer(
        self, identity: str, silence: Millis, *, leaving: bool, now: Millis
    ) -> PeerStatus:
        """Evaluate the time since the last hint of a peer.

        Args:
            identity: Name and incarnation of the peer.
            silence: Time since its last hint.
            leaving: Whether its last hint reported that the peer is shutting down.
            now: Current time.
        """
        if silence > SILENT_AFTER and not leaving:
            self._ownership_uncertain_until = now + OWNERSHIP_UNCERTAIN_TIME
        if silence > SILENT_AFTER and leaving and identity not in self._shut_down:
            # The peer may not have reported its last actions on jobs to any entry, and it may never
            # start again.
            self._shut_down.add(identity)
            self._ownership_uncertain_until = max(self._ownership_uncertain_until, now)
        is_gone = silence >= GONE_AFTER and identity not in self._reported_gone
        if is_gone:
            self._reported_gone.add(identity)
        is_forgotten = silence >= FORGET_AFTER
        if is_forgotten:
            self._shut_down.discard(identity)
            self._reported_gone.discard(identity)
        return PeerStatus(is_lost=silence >= DEAD_AFTER, is_gone=is_gone, is_forgotten=is_forgotten)
