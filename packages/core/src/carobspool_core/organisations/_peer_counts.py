"""Counts of admitted requests that entries tell each other."""

from __future__ import annotations

from msgspec import Struct, field
from xxhash import xxh32_intdigest

from carobspool_core._clock import Millis

COUNT_MODULUS = 1 << 16
"""Counts are told modulo this; nobody admits half as many between two hints."""


class PeerCount(Struct):
    """What another entry has admitted of one organisation.

    Attributes:
        value: The count that it told last.
        heard: When.
        is_stale: Whether the entry fell silent since, and its part was held back.
    """

    value: int
    heard: Millis
    is_stale: bool = False


class PeerCounts(Struct):
    """What is known of another entry's admissions.

    Attributes:
        incarnation: Of the process that counts.
        counts: By organisation.
        listed_at: When the entry was first known.
        is_silent: Whether it has not been heard of late.
    """

    incarnation: str = ""
    counts: dict[str, PeerCount] = field(default_factory=dict)
    listed_at: Millis = 0.0
    is_silent: bool = False


def organisation_key(name: str) -> int:
    """Return a key of four bytes, short enough for hints; two organisations may share one."""
    return xxh32_intdigest(name.encode())


def count_difference(value: int, before: int) -> int:
    """Return how far a count has moved, which goes back when requests are given back."""
    half = COUNT_MODULUS // 2
    return (value - before + half) % COUNT_MODULUS - half
