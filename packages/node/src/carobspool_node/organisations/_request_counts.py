"""Counts of admitted requests as they stand in hints."""

from __future__ import annotations

import struct
from collections.abc import Mapping

from carobspool_core.problems import Problem, UnusableRecordError

_COUNT = struct.Struct(">IH")


def pack_counts(counts: Mapping[int, int]) -> bytes:
    """Return counts by the organisation's key as bytes, six for each."""
    return b"".join(_COUNT.pack(key, count) for key, count in counts.items())


def unpack_counts(packed: bytes) -> dict[int, int]:
    """Return counts by the organisation's key.

    Raises:
        UnusableRecordError: The bytes are no counts.
    """
    if len(packed) % _COUNT.size:
        problem = Problem(
            file="",
            path="counts",
            found=f"{len(packed)} bytes",
            allowed=f"records of {_COUNT.size} bytes",
        )
        raise UnusableRecordError([problem])
    return dict(_COUNT.iter_unpack(packed))
