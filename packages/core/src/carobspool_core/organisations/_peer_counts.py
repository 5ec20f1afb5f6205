"""Counts of admitted requests that entries send each other in hints."""

from __future__ import annotations

from msgspec import Struct, field
from xxhash import xxh32_intdigest

from carobspool_core._clock import Millis

COUNT_MODULUS = 1 << 16
"""Counts are sent modulo this value; no entry admits half as many requests between two hints."""


class PeerCount(Struct):
    """A peer's count of the requests that it has admitted for one organisation.

    Attributes:
        value: The count as last received.
        received_at: When it was received.
        is_stale: Whether the peer has fallen silent since, so that its share was withheld.
    """

    value: int
    received_at: Millis
    is_stale: bool = False


class PeerCounts(Struct):
    """The known counts of one peer.

    Attributes:
        incarnation: Identifies the process that counts.
        counts: The counts by organisation name.
        listed_at: When the peer became known.
        is_silent: Whether no hint of the peer has arrived recently.
    """

    incarnation: str = ""
    counts: dict[str, PeerCount] = field(default_factory=dict)
    listed_at: Millis = 0.0
    is_silent: bool = False


def organisation_key(name: str) -> int:
    """Return the four-byte hash that stands for an organisation in hints; hashes may collide."""
    return xxh32_intdigest(name.encode())


def count_difference(value: int, before: int) -> int:
    """Return the change of a count; the change is negative when requests are refunded."""
    half = COUNT_MODULUS // 2
    return (value - before + half) % COUNT_MODULUS - half
