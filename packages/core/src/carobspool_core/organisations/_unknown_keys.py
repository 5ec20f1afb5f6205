"""When an unknown key may be denied for good.

Failure: a key is added, and its holder's first request meets an entry that has not heard of the new
configuration yet. A denial is final for the caller, though the key is good. So an entry asks
another one for its version first, once for all the unknown keys of a moment.

An entry that can ask nobody, and whose store does not answer, cannot tell a false key from a new
one. It says so and has the caller come back, at another entry as a rule.
"""

from __future__ import annotations

import math

from carobspool_core._clock import Millis

CONFIRMED_FOR: Millis = 250.0
"""How long the answer of another entry counts. It bounds what a flood of false keys costs to four
calls a second between entries, and none to the store."""


class UnknownKeys:
    """Whether the configuration known here was the newest a moment ago. Not safe for threads."""

    __slots__ = ("_confirmed",)

    def __init__(self) -> None:
        self._confirmed: Millis = -math.inf

    def may_deny(self, now: Millis) -> bool:
        """Whether an unknown key is a false one."""
        return now - self._confirmed < CONFIRMED_FOR

    def confirm(self, asked: Millis) -> None:
        """Note that another entry knew nothing newer when it was asked."""
        self._confirmed = max(self._confirmed, asked)
