"""Decides when an entry may finally deny a request with an unknown key.

Failure: the operator adds a key, and its holder's first request reaches an entry that has not yet
received the new configuration. The caller takes a denial as final, though the key is valid. The
entry therefore first asks a peer for its configuration version. One such call serves all unknown
keys that arrive within `CONFIRMED_FOR`.

An entry that reaches no peer, and whose store does not answer, cannot distinguish an invalid key
from a new one. The entry answers that the key cannot be checked and asks the caller to retry; the
retry usually reaches another entry.
"""

from __future__ import annotations

import math

from carobspool_core._clock import Millis

CONFIRMED_FOR: Millis = 250.0
"""How long a confirmation by a peer stays valid. It bounds the cost of a flood of invalid keys to
four calls a second between entries, and none to the store."""


class UnknownKeys:
    """Records when a peer last confirmed the local configuration as current. Not thread-safe."""

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at: Millis = -math.inf

    def may_deny(self, now: Millis) -> bool:
        """Return whether an unknown key is invalid rather than too new to be known here."""
        return now - self._confirmed_at < CONFIRMED_FOR

    def confirm(self, asked_at: Millis) -> None:
        """Record that a peer knew no newer configuration when it was asked."""
        self._confirmed_at = max(self._confirmed_at, asked_at)
