"""The token bucket of one organisation, which each entry keeps for the whole deployment."""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.organisations._directory import RateLimit

SILENT_AFTER: Millis = 700.0
"""Silence after which an entry's share is withheld: one heartbeat interval and the transit time of
the next heartbeat."""


class TokenBucket(Struct):
    """The tokens of one organisation, and how many were consumed recently.

    Attributes:
        limit: The organisation's limit.
        level: Tokens that are left; negative when the bucket is in debt.
        refilled_at: When tokens were last added.
        consumed: Tokens consumed in the current window.
        consumed_before: Tokens consumed in the window before that.
        window_started: When the current window began.
    """

    limit: RateLimit
    level: float
    refilled_at: Millis
    consumed: float = 0.0
    consumed_before: float = 0.0
    window_started: Millis = 0.0

    def consume(self, tokens: float, now: Millis) -> None:
        """Remove tokens and count them in the current window; start a new window when due."""
        since = now - self.window_started
        if since >= SILENT_AFTER:
            self.consumed_before = self.consumed if since < 2 * SILENT_AFTER else 0.0
            self.consumed, self.window_started = 0.0, now
        self.level -= tokens
        self.consumed += tokens

    def recently_consumed(self, now: Millis) -> float:
        """Return the tokens consumed in about the time after which an entry counts as silent."""
        if now - self.window_started >= 2 * SILENT_AFTER:
            return 0.0
        return self.consumed + self.consumed_before
