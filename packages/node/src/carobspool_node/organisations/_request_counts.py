"""Binary encoding of the counts of admitted requests in hints."""

from __future__ import annotations

import struct
from collections.abc import Mapping

from carobspool_core.problems import Problem, UnusableRecordError

_COUNT = struct.Struct(">IH")


def pack_counts(counts: Mapping[int, int]) -> bytes:
    """Encode counts by organisation key, six bytes for each."""
    return b"".join(_COUNT.pack(key, count) for key, count in counts.items())


def unpack_counts(packed: bytes) -> dict[int, int]:
    """Decode counts by organisation key.

    Raises:
        UnusableRecordError: The length is not a whole number of counts.
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
