"""Tracks when the object store last confirmed that this entry owns a job, and whether that
confirmation can be out of date.

Another entry takes over a job when it receives no hints from the job's owner, and ends a job in the
store when it cannot call the owner. Both are writes to the store. The owner learns of them only
when it reads or writes the job's progress itself. Silence and hints of peers show when it has to.
"""

from __future__ import annotations

import math

from carobspool_core import Clock, Millis

UNVERIFIED_GRACE: Millis = 1_500.0
"""How long a job continues without a valid proof after a failed call to the store: the duration of
one call to a store that does not answer."""


class OwnershipProof:
    """The last confirmation by the store that this entry owns a job and the job has not been ended.

    Args:
        clock: The process's clock.
        requested_at: When the confirming call to the store was sent. The time of the answer would
            be too late: other entries may have written between the store's answer and its arrival.
    """

    __slots__ = ("_claimed_at", "_clock", "_end_reported_at", "_grace_until", "_requested_at")

    def __init__(self, clock: Clock, *, requested_at: Millis) -> None:
        self._clock = clock
        self._requested_at = requested_at
        self._end_reported_at: Millis = -math.inf
        self._claimed_at: Millis = -math.inf
        self._grace_until: Millis = 0.0

    @property
    def age(self) -> Millis:
        """Time since the last confirming call to the store was sent."""
        return self._clock.now() - self._requested_at

    @property
    def is_end_unverified(self) -> bool:
        """Whether a peer has reported an end that no later call to the store has checked."""
        return self._requested_at <= self._end_reported_at

    @property
    def is_in_grace(self) -> bool:
        """Whether the job continues without a valid proof because the store is unreachable.

        Waiting for the store would stop all batch work during each of its outages, and in most
        outages no other entry reaches the store either. The first successful verification cancels
        items that should not have been started.
        """
        return not self.is_end_unverified and not self.may_verify

    @property
    def may_verify(self) -> bool:
        """Whether enough time has passed since the last failed call to try the store again."""
        return self._clock.now() >= self._grace_until

    def renew(self, requested_at: Millis) -> None:
        """Record that a call to the store confirmed the ownership.

        Args:
            requested_at: When the call was sent.
        """
        self._requested_at = max(self._requested_at, requested_at)

    def record_store_failure(self) -> None:
        """Record that a call to the store failed, which starts the grace period."""
        self._grace_until = self._clock.now() + UNVERIFIED_GRACE

    def report_ended(self) -> None:
        """Record that a peer reports to have ended the job in the store."""
        self._end_reported_at = self._clock.now()

    def report_claimed(self) -> None:
        """Record that a peer works on the job or holds its results.

        One of the two entries has missed that the other took the job over.
        """
        self._claimed_at = self._clock.now()

    def is_valid(self, *, ownership_uncertain_until: Millis, max_age: Millis) -> bool:
        """Whether the proof rules out a takeover or an end by another entry.

        Args:
            ownership_uncertain_until: Until when other entries may have taken over or ended the
                job. A proof from before that time stays invalid however long ago it was: the job
                may have been running at another entry since.
            max_age: Age up to which a proof is accepted regardless of
                ``ownership_uncertain_until``.
        """
        if self.is_end_unverified or self._requested_at <= self._claimed_at:
            return False
        return self._requested_at >= ownership_uncertain_until or self.age < max_age
