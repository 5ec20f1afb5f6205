"""The small hint: what an entry has in flight, told at each change, and the heartbeat.

It is most of what entries send each other, so it names upstreams by a key of four bytes and the
sender by what its announcements have told. Loads of an upstream that the reader does not know, or
whose key two of its upstreams share, are left out until the next announcement, which names them in
full.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping, Sequence

import cbor2
from msgspec import Struct, field

from carobspool_core import Json
from carobspool_core.direct import Load, WaitingGroup, key_of
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_node.organisations import pack_counts, unpack_counts

_KIND = "l"
_COUNTS_KIND = "u"
_LOADS = struct.Struct(">IHH")
_GROUPS = struct.Struct(">IH")
_MOST = 0xFFFF
_LONGEST = 0xFFFFFFFF
MAX_SEQUENCE = 2**53


class LoadHint(Struct, frozen=True, kw_only=True):
    """What another entry has in flight.

    Attributes:
        name: Its name.
        incarnation: Of its process.
        sequence: Grows with each hint of the process; an older one that comes late says nothing.
        loads: By the upstream's key.
        backlog: The batch items that wait there.
        counts: Requests that it has admitted, by the organisation's key; only what has changed.
    """

    name: str
    incarnation: str
    sequence: int
    loads: Mapping[int, Load]
    backlog: Sequence[WaitingGroup]
    counts: Mapping[int, int] = field(default_factory=dict)


class CountsHint(Struct, frozen=True, kw_only=True):
    """What another entry has admitted, told to entries that share no upstream with it."""

    name: str
    incarnation: str
    sequence: int
    counts: Mapping[int, int]


def pack_loads(loads: Mapping[str, Load]) -> bytes:
    """Return loads by the upstream's identity as bytes."""
    return b"".join(
        _LOADS.pack(key_of(identity), min(load.online, _MOST), min(load.batch, _MOST))
        for identity, load in loads.items()
    )


def unpack_loads(packed: bytes) -> dict[int, Load]:
    """Return loads by the upstream's key.

    Raises:
        UnusableRecordError: The bytes are no loads.
    """
    if len(packed) % _LOADS.size:
        raise _unusable("loads", f"{len(packed)} bytes", f"records of {_LOADS.size} bytes")
    return {key: Load(online, batch) for key, online, batch in _LOADS.iter_unpack(packed)}


def encode_load_hint(
    *,
    name: str,
    incarnation: str,
    sequence: int,
    loads: Mapping[str, Load],
    backlog: Iterable[WaitingGroup],
    counts: Mapping[int, int] | None = None,
) -> bytes:
    """Return a datagram; entries of the version before read none that tells counts."""
    groups = b"".join(
        _GROUPS.pack(min(int(group.turn), _LONGEST), min(group.items, _MOST)) for group in backlog
    )
    message = [_KIND, name, incarnation, sequence, pack_loads(loads), groups]
    if counts:
        message.append(pack_counts(counts))
    return cbor2.dumps(message)


def encode_counts_hint(
    *, name: str, incarnation: str, sequence: int, counts: Mapping[int, int]
) -> bytes:
    """Return a datagram that tells counts alone."""
    return cbor2.dumps([_COUNTS_KIND, name, incarnation, sequence, pack_counts(counts)])


def read_load_hint(message: Json) -> LoadHint | None:
    """Return a decoded datagram as a load hint, ``None`` when it is of another kind.

    Raises:
        UnusableRecordError: It is a load hint that cannot be used.
    """
    match message:
        case [str() as kind, *_] if kind == _KIND:
            pass
        case _:
            return None
    match message:
        case [
            _,
            str() as name,
            str() as incarnation,
            int() as sequence,
            bytes() as loads,
            bytes() as groups,
            *counts,
        ] if (
            0 <= sequence <= MAX_SEQUENCE and len(groups) % _GROUPS.size == 0
        ):
            backlog = [
                WaitingGroup(float(turn), items) for turn, items in _GROUPS.iter_unpack(groups)
            ]
            return LoadHint(
                name=name,
                incarnation=incarnation,
                sequence=sequence,
                loads=unpack_loads(loads),
                backlog=backlog,
                counts=_counts(counts),
            )
    raise _unusable("(body)", repr(message)[:80], "a load hint")


def read_counts_hint(message: Json) -> CountsHint | None:
    """Return a decoded datagram as counts alone, ``None`` when it is of another kind.

    Raises:
        UnusableRecordError: It tells counts that cannot be used.
    """
    match message:
        case [str() as kind, str() as name, str() as incarnation, int() as sequence, packed] if (
            kind == _COUNTS_KIND and 0 <= sequence <= MAX_SEQUENCE
        ):
            return CountsHint(
                name=name, incarnation=incarnation, sequence=sequence, counts=_counts([packed])
            )
    return None


def _counts(rest: Sequence[Json]) -> dict[int, int]:
    match rest:
        case []:
            return {}
        case [bytes() as packed, *_]:
            return unpack_counts(packed)
    raise _unusable("counts", repr(rest)[:80], "counts of requests")


def _unusable(path: str, found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path=path, found=found, allowed=allowed)])
