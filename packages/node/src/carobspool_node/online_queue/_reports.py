"""Encode and decode what entries report in their hints: waiting requests, and handovers."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping

from carobspool_core.online_queue import Handover, WaitingClass

_RECORD = struct.Struct(">BBH")
_HANDOVER = struct.Struct(">IIHH")
_MAX_BYTE = 0xFF
_MAX_COUNT = 0xFFFF


def pack_handovers(handovers: Iterable[Handover]) -> bytes:
    """Pack handovers with their ages."""
    return b"".join(
        _HANDOVER.pack(each.upstream, each.receiver, each.number, min(int(each.age), _MAX_COUNT))
        for each in handovers
    )


def unpack_handovers(packed: bytes) -> list[Handover]:
    """Unpack handovers; bytes that are no whole records count as none."""
    if len(packed) % _HANDOVER.size:
        return []
    return [
        Handover(upstream=upstream, receiver=receiver, number=number, age=float(age))
        for upstream, receiver, number, age in _HANDOVER.iter_unpack(packed)
    ]


def pack_waiting(counts: Mapping[WaitingClass, int]) -> bytes:
    """Pack the numbers of waiting requests by rank and class, the most urgent first."""
    return b"".join(
        _RECORD.pack(min(rank, _MAX_BYTE), is_late, min(counts[rank, is_late], _MAX_COUNT))
        for rank, is_late in sorted(counts)
    )


def unpack_waiting(packed: bytes) -> dict[WaitingClass, int]:
    """Unpack the numbers of waiting requests.

    Bytes that are no whole records, and classes that this version does not know, count as nothing
    that waits: a later version may report more.
    """
    if len(packed) % _RECORD.size:
        return {}
    found: dict[WaitingClass, int] = {}
    for rank, is_late, count in _RECORD.iter_unpack(packed):
        if is_late in (0, 1) and count:
            found[rank, is_late] = found.get((rank, is_late), 0) + count
    return found
