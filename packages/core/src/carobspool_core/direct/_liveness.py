"""Which peers are lost, by their silence, and what an owner has to doubt meanwhile.

Load pattern: entries are killed, frozen, cut off and restarted, one or many at a time. A silent
peer may be dead, or alive and taking over the jobs of this entry, which it does not hear either.
Whoever judges too early takes jobs from a living owner; whoever does not doubt its own jobs runs
items of one that was taken over or ended elsewhere.
"""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis

SILENT_AFTER: Millis = 900.0
"""A peer unheard for this long is reported as silent, long before its jobs are taken over."""
DEAD_AFTER: Millis = 2_200.0
"""A peer unheard for this long has lost its jobs to others: four full hints in a row, and longer
than the pause of a process restart."""
GONE_AFTER: Millis = 5_000.0
"""A peer unheard for this long does not come back at once; a restart takes two seconds."""
FORGET_AFTER: Millis = 30_000.0
"""A peer unheard for this long is no longer sent hints by what it last told."""
DOUBT_TIME: Millis = 4_000.0
"""How long after a sign of separation an owner checks with the store before it works on a job or
answers for it: a takeover happens within `DEAD_AFTER` of the separation, and is seen in this time.
A peer that stays silent is such a sign until it is forgotten, since it may act all the while."""


class Silence(Struct, frozen=True, kw_only=True):
    """What a peer's silence means.

    Attributes:
        is_lost: Its jobs may be taken over.
        is_gone: It does not come back; told once.
        is_forgotten: Nothing is known of it any more.
    """

    is_lost: bool
    is_gone: bool
    is_forgotten: bool


class Liveness:
    """Judges peers by their silence. Not safe for threads; its owner locks.

    Args:
        now: When the process started. It may have followed one that others still speak of, so all
            is in doubt at first.
    """

    __slots__ = ("_doubt_until", "_gone", "_last_look", "_left")

    def __init__(self, now: Millis) -> None:
        self._doubt_until = now + DOUBT_TIME
        self._last_look = now
        self._left: set[str] = set()
        self._gone: set[str] = set()

    @property
    def doubt_until(self) -> Millis:
        """Until when others may have acted on jobs of this entry without its knowledge."""
        return self._doubt_until

    def look(self, now: Millis) -> Millis:
        """Note that the process runs; return for how long it had stood still, 0 if it had not."""
        gap = now - self._last_look
        self._last_look = now
        if gap <= SILENT_AFTER:
            return 0.0
        self._doubt_until = now + DOUBT_TIME
        return gap

    def heard(self, silence: Millis | None, now: Millis) -> None:
        """Note that a peer was heard.

        Args:
            silence: For how long it had not been; ``None`` for a process not heard before, whose
                predecessor may have told nobody what it did last.
            now: The time.
        """
        if silence is None or silence > SILENT_AFTER:
            self._doubt_until = max(self._doubt_until, now)

    def reported_silent(self, now: Millis) -> None:
        """Note that a peer does not hear this entry."""
        self._doubt_until = now + DOUBT_TIME

    def judge(self, identity: str, silence: Millis, *, leaving: bool, now: Millis) -> Silence:
        """Return what the silence of a peer means.

        Args:
            identity: Its name and incarnation.
            silence: For how long it has not been heard.
            leaving: Whether it said that it leaves.
            now: The time.
        """
        if silence > SILENT_AFTER and not leaving:
            self._doubt_until = now + DOUBT_TIME
        if silence > SILENT_AFTER and leaving and identity not in self._left:
            # What it did last it may have told nobody, and it may never start again.
            self._left.add(identity)
            self._doubt_until = max(self._doubt_until, now)
        is_gone = silence >= GONE_AFTER and identity not in self._gone
        if is_gone:
            self._gone.add(identity)
        is_forgotten = silence >= FORGET_AFTER
        if is_forgotten:
            self._left.discard(identity)
            self._gone.discard(identity)
        return Silence(is_lost=silence >= DEAD_AFTER, is_gone=is_gone, is_forgotten=is_forgotten)
