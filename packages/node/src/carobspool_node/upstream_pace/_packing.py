"""Packed pace estimates in announcements."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping

from carobspool_core import Millis
from carobspool_core.direct import short_key_of

_RECORD = struct.Struct(">IHH")
_MAX_UINT16 = 0xFFFF
_UNITS_PER_MS = 10.0
MAX_RECORDS = 2_000
"""16 KB, a quarter of a datagram; an entry receives events of far fewer upstreams."""


def pack_paces(estimates: Mapping[str, tuple[Millis, int]]) -> bytes:
    """Pack pause and number of samples by the upstream's identity, those with most samples first.

    A record holds the upstream's key, the pause in tenths of a millisecond, and the samples.
    """
    ordered = sorted(estimates.items(), key=lambda each: -each[1][1])[:MAX_RECORDS]
    return b"".join(
        _RECORD.pack(
            short_key_of(identity),
            min(max(1, round(pause * _UNITS_PER_MS)), _MAX_UINT16),
            min(samples, _MAX_UINT16),
        )
        for identity, (pause, samples) in ordered
    )


def unpack_paces(packed: bytes) -> Iterator[tuple[int, Millis, int]]:
    """Yield key, pause and number of samples; an incomplete last record is ignored."""
    whole = len(packed) - len(packed) % _RECORD.size
    for key, pause, samples in _RECORD.iter_unpack(packed[:whole]):
        yield key, pause / _UNITS_PER_MS, samples
