"""One organisation's token bucket, as one entry keeps it for the whole deployment."""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.organisations._directory import RateLimit

SILENT_AFTER: Millis = 700.0
"""Silence after which an entry's part is held back: one heartbeat and the way of the next."""


class TokenBucket(Struct):
    """Tokens of one organisation, and how many were taken of late.

    Attributes:
        limit: The organisation's limit.
        level: Tokens that are left; negative in debt.
        filled: When tokens were last added.
        taken: Tokens taken since ``taken_since``.
        taken_before: Tokens taken in the span before that.
        taken_since: When the present span began.
    """

    limit: RateLimit
    level: float
    filled: Millis
    taken: float = 0.0
    taken_before: float = 0.0
    taken_since: Millis = 0.0

    def take(self, requests: float, now: Millis) -> None:
        """Take tokens, and remember how many of late."""
        since = now - self.taken_since
        if since >= SILENT_AFTER:
            self.taken_before = self.taken if since < 2 * SILENT_AFTER else 0.0
            self.taken, self.taken_since = 0.0, now
        self.level -= requests
        self.taken += requests

    def taken_of_late(self, now: Millis) -> float:
        """Return the tokens taken in about the time after which an entry counts as silent."""
        if now - self.taken_since >= 2 * SILENT_AFTER:
            return 0.0
        return self.taken + self.taken_before
