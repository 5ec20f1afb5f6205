"""What an owner knows for certain of its job: when the store last showed it, and since when it may
be wrong.

Other entries take over a job whose owner they have not heard, and end one whose owner they cannot
ask. Both are writes to the store; only a read or a write of the owner shows them to it.
"""

from __future__ import annotations

import math

from carobspool_core import Clock, Millis

UNVERIFIED_GRACE: Millis = 1_500.0
"""How long a job goes on without a proof after the store could not be asked for one; the length of
one call to a store that does not answer."""


class OwnershipProof:
    """The last proof that a job is ours and has not been ended.

    Args:
        clock: The process's clock.
        asked: When the store was asked for what it showed: the time of the question, since the
            answer may have come late and others may have acted meanwhile.
    """

    __slots__ = ("_clock", "_end_reported_at", "_grace_until", "_requested_at")

    def __init__(self, clock: Clock, *, requested_at: Millis) -> None:
        self._clock = clock
        self._requested_at = requested_at
        self._end_reported_at: Millis = -math.inf
        self._grace_until: Millis = 0.0

    @property
    def age(self) -> Millis:
        """Time since the store was last asked."""
        return self._clock.now() - self._requested_at

    @property
    def is_end_unverified(self) -> bool:
        """Whether a peer said that the job was ended, and the store has not been asked since."""
        return self._requested_at <= self._end_reported_at

    @property
    def is_in_grace(self) -> bool:
        """Whether the job goes on without a proof, since the store could not be asked for one.

        Waiting would stop all batch work in each outage of the store, and in most of them nobody
        else reaches it either. What is started wrongly meanwhile is cancelled by the first proof
        that succeeds.
        """
        return not self.is_end_unverified and not self.may_verify

    @property
    def may_verify(self) -> bool:
        """Whether it is time to ask, after the store could not be asked."""
        return self._clock.now() >= self._grace_until

    def renew(self, requested_at: Millis) -> None:
        """Take that the store, asked at a moment, showed the job as ours."""
        self._requested_at = max(self._requested_at, requested_at)

    def record_store_failure(self) -> None:
        """Note that the store could not be asked."""
        self._grace_until = self._clock.now() + UNVERIFIED_GRACE

    def report_ended(self) -> None:
        """Note that a peer says that it has ended the job in the store."""
        self._end_reported_at = self._clock.now()

    def is_valid(self, *, doubt_until: Millis, max_age: Millis) -> bool:
        """Whether nobody else can have taken over or ended the job unnoticed.

        Args:
            doubt_until: Until when others may have done so. A proof that is older says nothing,
                however long ago the doubt was: the job may have gone on elsewhere all the while.
            max_age: Age up to which a proof is good enough all the same.
        """
        if self.is_end_unverified:
            return False
        return self._requested_at >= doubt_until or self.age < max_age
