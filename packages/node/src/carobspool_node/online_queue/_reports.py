"""Encode and decode what entries report in their hints: waiting requests, and handovers."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from carobspool_core.direct import UNKNOWN_SERVICE
from carobspool_core.online_queue import Handover, WaitingByService, WaitingClass

_RECORD = struct.Struct(">BBH")
_KEY = struct.Struct(">I")
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


def pack_keys(keys: Sequence[int]) -> bytes:
    """Pack the keys of the services of a list: one for each element, or one if all are equal."""
    if len(set(keys)) == 1:
        keys = keys[:1]
    return b"".join(_KEY.pack(key) for key in keys)


def unpack_keys(packed: bytes, count: int) -> list[int]:
    """Unpack the services of ``count`` elements; without a key for each, all are unknown."""
    if len(packed) % _KEY.size:
        return [UNKNOWN_SERVICE] * count
    keys = [key for (key,) in _KEY.iter_unpack(packed)]
    if len(keys) == 1:
        return keys * count
    return keys if len(keys) == count else [UNKNOWN_SERVICE] * count


def pack_waiting(counts: WaitingByService) -> tuple[bytes, bytes]:
    """Pack the numbers of waiting requests by rank and class, the most urgent first.

    Returns:
        The numbers, and the keys of their services. Entries of the previous version read the
        numbers only and add up those of one class.
    """
    found = sorted(
        (waiting, key, number)
        for key, numbers in counts.items()
        for waiting, number in numbers.items()
    )
    packed = [
        _RECORD.pack(min(rank, _MAX_BYTE), is_late, min(number, _MAX_COUNT))
        for (rank, is_late), _, number in found
    ]
    return b"".join(packed), pack_keys([key for _, key, _ in found])


def unpack_waiting(packed: bytes, services: bytes = b"") -> WaitingByService:
    """Unpack the numbers of waiting requests.

    Bytes that are no whole records, and classes that this version does not know, count as nothing
    that waits: a later version may report more.
    """
    if len(packed) % _RECORD.size:
        return {}
    found: dict[int, dict[WaitingClass, int]] = {}
    keys = unpack_keys(services, len(packed) // _RECORD.size)
    for key, (rank, is_late, count) in zip(keys, _RECORD.iter_unpack(packed), strict=True):
        if is_late in (0, 1) and count:
            numbers = found.setdefault(key, {})
            numbers[rank, is_late] = numbers.get((rank, is_late), 0) + count
    return found
