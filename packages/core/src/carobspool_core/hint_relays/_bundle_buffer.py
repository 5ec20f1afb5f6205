"""The hints that a relay has received and not yet passed on.

Load pattern: a relay receives some hundred load hints a second, several from the same entry within
a few milliseconds. Only the newest of an entry matters, and passing each one on separately would
cost the relay a datagram for each hint and each domain.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal

from msgspec import Struct

from carobspool_core._clock import Millis

PASS_ON_INTERVAL: Millis = 20.0
"""Shortest time between two bundles to the same entries. A hint passes two relays, so the delay
stays below the 50 ms that placement tolerates."""
COUNTS_PASS_ON_INTERVAL: Millis = 200.0
"""The same for counts hints, which go to the many entries that share no upstream. Two such waits
are shorter than the 500 ms after which heartbeats report all counts directly."""
RELAYED_HINT_AGE: Millis = 60.0
"""Age of a relayed hint on arrival, about the waits in two relays and in three receivers. Request
limits count a relayed hint as heard so much earlier: they reserve the share of peers that are not
heard for some 200 ms, and a partition must not be noticed later than with direct hints."""
MAX_BUNDLE_BYTES = 32_000
"""Most bytes of a bundle, well under the longest datagram that entries receive."""
BUNDLE_OVERHEAD_BYTES = 600
"""Bytes of a bundle beside its hints: the names of the relay and its process at their longest."""
HINT_OVERHEAD_BYTES = 3
"""Bytes that the encoding of a bundle adds to a hint."""
PAUSE_LIMIT: Millis = 150.0
"""A process that did not run for this time has paused: the entries of its domain have begun to
send directly, and what it holds is older than what they sent."""
DISCARD_TIME: Millis = 50.0
"""Time after a pause in which received hints are not passed on; they waited in the socket."""
MAX_ORIGINS = 4_096
"""Most entries whose sequence numbers are kept, ten times the largest fleet."""

HintKind = Literal["load", "counts"]


class WaitingHint(Struct, frozen=True, kw_only=True):
    """A hint of an entry, as it was received.

    Attributes:
        name: Name of the entry that the hint is about.
        incarnation: Incarnation of that entry's process.
        sequence: Sequence number of the hint.
        kind: Whether it is a load hint or a counts hint.
        data: The encoded hint.
    """

    name: str
    incarnation: str
    sequence: int
    kind: HintKind
    data: bytes


class BundleBuffer:
    """Keeps the newest hint of each entry until it is passed on; a buffer holds hints of one kind.

    Not thread-safe; callers pass in the time.

    Args:
        now: Current time.
        interval: Shortest time between two takes.
    """

    __slots__ = (
        "_discards_until",
        "_has_paused",
        "_interval",
        "_newest",
        "_ran_at",
        "_taken_at",
        "_waiting",
    )

    def __init__(self, now: Millis, interval: Millis = PASS_ON_INTERVAL) -> None:
        self._interval = interval
        self._waiting: dict[str, WaitingHint] = {}
        self._newest: dict[str, tuple[str, int]] = {}
        self._taken_at: Millis = float("-inf")
        self._ran_at = now
        self._has_paused = False
        self._discards_until: Millis = float("-inf")

    def record_tick(self, now: Millis) -> bool:
        """Record that the process runs.

        Returns:
            Whether it has paused since the last call, so that its hints were dropped.
        """
        self._drop_after_pause(now)
        has_paused, self._has_paused = self._has_paused, False
        return has_paused

    def add(self, hint: WaitingHint, now: Millis) -> bool:
        """Keep a hint unless an equally new one of its entry was kept before.

        Returns:
            Whether the hint will be passed on.
        """
        self._drop_after_pause(now)
        if now < self._discards_until:
            return False
        incarnation, sequence = self._newest.get(hint.name, ("", -1))
        if incarnation == hint.incarnation and hint.sequence <= sequence:
            return False
        if len(self._newest) >= MAX_ORIGINS:
            self._newest.clear()
        self._newest[hint.name] = (hint.incarnation, hint.sequence)
        self._waiting[hint.name] = hint
        return True

    def delay_before_take(self, now: Millis) -> Millis | None:
        """Return the time until hints may be passed on, ``None`` while no hint waits."""
        if not self._waiting:
            return None
        return max(0.0, self._taken_at + self._interval - now)

    def take(self, now: Millis) -> list[WaitingHint]:
        """Return and remove the hints to be passed on now."""
        self._drop_after_pause(now)
        if self.delay_before_take(now) != 0.0:
            return []
        found = list(self._waiting.values())
        self._waiting.clear()
        self._taken_at = now
        return found

    def _drop_after_pause(self, now: Millis) -> None:
        gap = now - self._ran_at
        self._ran_at = now
        if gap > PAUSE_LIMIT:
            self._waiting.clear()
            self._discards_until = now + DISCARD_TIME
            self._has_paused = True


def split_by_size(hints: Iterable[WaitingHint]) -> Iterator[list[bytes]]:
    """Yield the encoded hints in parts that each fit into one bundle.

    A hint that fits into no bundle is left out; its entry's heartbeat reports the same directly.
    """
    part: list[bytes] = []
    size = BUNDLE_OVERHEAD_BYTES
    for hint in hints:
        length = len(hint.data) + HINT_OVERHEAD_BYTES
        if BUNDLE_OVERHEAD_BYTES + length > MAX_BUNDLE_BYTES:
            continue
        if size + length > MAX_BUNDLE_BYTES:
            yield part
            part, size = [], BUNDLE_OVERHEAD_BYTES
        part.append(hint.data)
        size += length
    if part:
        yield part
