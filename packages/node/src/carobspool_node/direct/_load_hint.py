"""Encode and decode load hints and counts hints.

A load hint carries an entry's requests in flight. It is sent at each change and as the heartbeat.
Most of the traffic between entries consists of load hints, so they name an upstream by a key of
four bytes and the sender only by its name and incarnation. The recipient ignores a load
whose key belongs to none of its upstreams, or to two of them.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping, Sequence

import cbor2
from msgspec import Struct, field

from carobspool_core import Json
from carobspool_core.direct import Load, WaitingGroup, short_key_of
from carobspool_core.online_queue import NOTHING_QUEUED, QueueReport
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_node.direct._peer_messages import is_hint
from carobspool_node.online_queue import pack_keys, unpack_keys
from carobspool_node.organisations import pack_counts, unpack_counts

_LOAD_HINT_KIND = "l"
_COUNTS_HINT_KIND = "u"
_LOAD_STRUCT = struct.Struct(">IHH")
_GROUP_STRUCT = struct.Struct(">IH")
_MAX_UINT16 = 0xFFFF
_MAX_UINT32 = 0xFFFFFFFF
MAX_SEQUENCE = 2**53


class LoadHint(Struct, frozen=True, kw_only=True):
    """Requests in flight at another entry.

    Attributes:
        name: Name of the sender.
        incarnation: Incarnation of the sender's process.
        sequence: Increases with each hint of the process; a hint that arrives after a newer hint is
            ignored.
        loads: Requests in flight, by the upstream's key.
        backlog: Batch items that wait at the sender.
        counts: Changed counts of the requests that the sender has admitted, by the organisation's
            key.
        waiting: Numbers of the online requests that wait at the sender, packed.
        waiting_services: Keys of the services of these numbers, packed.
        handovers: Slots that the sender hands over, packed; ``None`` if the sender reports none.
    """

    name: str
    incarnation: str
    sequence: int
    loads: Mapping[int, Load]
    backlog: Sequence[WaitingGroup]
    counts: Mapping[int, int] = field(default_factory=dict)
    waiting: bytes = b""
    waiting_services: bytes = b""
    handovers: bytes | None = None


class CountsHint(Struct, frozen=True, kw_only=True):
    """Request counts of another entry, for entries that share no upstream with the sender."""

    name: str
    incarnation: str
    sequence: int
    counts: Mapping[int, int]


def pack_loads(loads: Mapping[str, Load]) -> bytes:
    """Pack loads, which are given by the upstream's identity, into bytes."""
    return b"".join(
        _LOAD_STRUCT.pack(
            short_key_of(identity), min(load.online, _MAX_UINT16), min(load.batch, _MAX_UINT16)
        )
        for identity, load in loads.items()
    )


def unpack_loads(packed: bytes) -> dict[int, Load]:
    """Unpack loads by the upstream's key.

    Raises:
        UnusableRecordError: The length is not a multiple of a record's length.
    """
    if len(packed) % _LOAD_STRUCT.size:
        raise _unusable("loads", f"{len(packed)} bytes", f"records of {_LOAD_STRUCT.size} bytes")
    return {key: Load(online, batch) for key, online, batch in _LOAD_STRUCT.iter_unpack(packed)}


def pack_service_keys(groups: Sequence[WaitingGroup]) -> bytes:
    """Pack the services of waiting items."""
    return pack_keys([group.service_key for group in groups])


def encode_load_hint(
    *,
    name: str,
    incarnation: str,
    sequence: int,
    loads: Mapping[str, Load],
    backlog: Sequence[WaitingGroup],
    counts: Mapping[int, int] | None = None,
    queue: QueueReport = NOTHING_QUEUED,
) -> bytes:
    """Encode a load hint.

    Entries that do not read counts reject a load hint with counts. Entries that read counts accept
    what follows the counts. Handovers are added to each report of waiting requests, even if there
    are none: they show that this entry reads handovers. The services of the waiting items and of
    the waiting requests come last, since entries of the previous version do not read them.
    """
    groups = b"".join(
        _GROUP_STRUCT.pack(min(int(group.start_order), _MAX_UINT32), min(group.items, _MAX_UINT16))
        for group in backlog
    )
    message = [_LOAD_HINT_KIND, name, incarnation, sequence, pack_loads(loads), groups]
    services = pack_service_keys(backlog)
    if counts or queue.is_reported or services:
        message.append(pack_counts(counts or {}))
    if queue.is_reported or services:
        message += [queue.waiting, queue.handovers if queue.is_reported else None]
    if services or queue.services:
        message.append(services)
    if queue.services:
        message.append(queue.services)
    return cbor2.dumps(message)


def encode_counts_hint(
    *, name: str, incarnation: str, sequence: int, counts: Mapping[int, int]
) -> bytes:
    """Encode a counts hint."""
    return cbor2.dumps([_COUNTS_HINT_KIND, name, incarnation, sequence, pack_counts(counts)])


def read_load_hint(message: Json) -> LoadHint | None:
    """Read a decoded datagram as a load hint.

    Returns:
        The load hint, or ``None`` if the datagram is of another kind.

    Raises:
        UnusableRecordError: The load hint is invalid.
    """
    if not is_hint(message, _LOAD_HINT_KIND):
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
            0 <= sequence <= MAX_SEQUENCE and len(groups) % _GROUP_STRUCT.size == 0
        ):
            services = unpack_keys(_read_bytes(counts, 3) or b"", len(groups) // _GROUP_STRUCT.size)
            backlog = [
                WaitingGroup(float(start_order), items, service)
                for (start_order, items), service in zip(
                    _GROUP_STRUCT.iter_unpack(groups), services, strict=True
                )
            ]
            return LoadHint(
                name=name,
                incarnation=incarnation,
                sequence=sequence,
                loads=unpack_loads(loads),
                backlog=backlog,
                counts=_read_counts(counts),
                waiting=_read_bytes(counts, 1) or b"",
                waiting_services=_read_bytes(counts, 4) or b"",
                handovers=_read_bytes(counts, 2),
            )
    raise _unusable("(body)", repr(message)[:80], "a load hint")


def read_counts_hint(message: Json) -> CountsHint | None:
    """Read a decoded datagram as a counts hint.

    Returns:
        The counts hint, or ``None`` if the datagram is of another kind or form.

    Raises:
        UnusableRecordError: The counts are invalid.
    """
    match message:
        case [str() as kind, str() as name, str() as incarnation, int() as sequence, packed] if (
            kind == _COUNTS_HINT_KIND and 0 <= sequence <= MAX_SEQUENCE
        ):
            return CountsHint(
                name=name, incarnation=incarnation, sequence=sequence, counts=_read_counts([packed])
            )
    return None


def _read_counts(rest: Sequence[Json]) -> dict[int, int]:
    match rest:
        case []:
            return {}
        case [bytes() as packed, *_]:
            return unpack_counts(packed)
    raise _unusable("counts", repr(rest)[:80], "counts of requests")


def _read_bytes(rest: Sequence[Json], index: int) -> bytes | None:
    """Return an element after the counts, ``None`` if it is absent or of a later version."""
    found = rest[index] if index < len(rest) else None
    return found if isinstance(found, bytes) else None


def _unusable(path: str, found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path=path, found=found, allowed=allowed)])
