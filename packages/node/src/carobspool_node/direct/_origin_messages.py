"""Messages between entries about the service and software version at which streams began."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import cbor2
from msgspec import Struct

from carobspool_core import Json, Millis
from carobspool_core.records import Bounds, Record, read_record
from carobspool_core.stream_versions import OriginAnswer, StreamOrigin, VersionsView
from carobspool_node.direct._peer_messages import (
    MAX_NAME_CHARS,
    Count,
    Name,
    is_hint,
    unusable_hint,
)

_ORIGINS_HINT_KIND = "o"
MAX_STREAMS_SENT = 64
"""Streams in one hint, which then has at most 13 kB."""
MAX_VERSIONS = 1_000
"""Far above the versions of one service that serve at a time."""

Version = Annotated[str, Bounds(max_length=MAX_NAME_CHARS)]


class OriginsHint(Struct, frozen=True, kw_only=True):
    """The origin of streams, from the entry at which they began.

    Attributes:
        name: Name of that entry.
        incarnation: Incarnation of its process.
        origin: Where the streams began.
        streams: Ids of the streams.
    """

    name: str
    incarnation: str
    origin: StreamOrigin
    streams: Sequence[str]


class OriginCall(Record):
    """A peer's call for the origin of a stream, and for the versions of a service."""

    stream: Annotated[str, Bounds(max_length=MAX_NAME_CHARS)]
    service: Name


class _OriginRecord(Record):
    service: Name
    version: Version

    @property
    def origin(self) -> StreamOrigin:
        return StreamOrigin(service=self.service, version=self.version)


class _OriginsRecord(Record):
    origin: _OriginRecord
    streams: Annotated[list[Name], Bounds(max_length=MAX_STREAMS_SENT)]


class _OriginAnswer(Record):
    origin: _OriginRecord | None
    age: Count
    versions: Annotated[list[Version], Bounds(max_length=MAX_VERSIONS)]
    is_complete: bool


def encode_origins_hint(
    *, name: str, incarnation: str, origin: StreamOrigin, streams: Sequence[str]
) -> bytes:
    """Encode a hint about the origin of at most `MAX_STREAMS_SENT` streams."""
    return cbor2.dumps(
        [_ORIGINS_HINT_KIND, name, incarnation, origin.service, origin.version, list(streams)]
    )


def read_origins_hint(message: Json) -> OriginsHint | None:
    """Read a decoded datagram as a hint about the origin of streams.

    Returns:
        The hint, or ``None`` if the datagram is of another kind.

    Raises:
        UnusableRecordError: The hint is invalid.
    """
    if not is_hint(message, _ORIGINS_HINT_KIND):
        return None
    match message:
        case [_, str() as name, str() as incarnation, service, version, streams]:
            record = read_record(
                _OriginsRecord,
                {"origin": {"service": service, "version": version}, "streams": streams},
            )
            return OriginsHint(
                name=name,
                incarnation=incarnation,
                origin=record.origin.origin,
                streams=record.streams,
            )
    raise unusable_hint(message, "a hint about streams")


def origin_answer_to_record(answer: OriginAnswer) -> Json:
    """Return the answer to a call as it is sent."""
    origin = answer.origin
    return {
        "origin": (
            None if origin is None else {"service": origin.service, "version": origin.version}
        ),
        "age": max(0, int(answer.age)),
        "versions": sorted(answer.view.versions),
        "is_complete": answer.view.is_complete,
    }


def read_origin_answer(message: Json) -> OriginAnswer:
    """Read a peer's answer.

    Raises:
        UnusableRecordError: The answer is invalid.
    """
    record = read_record(_OriginAnswer, message)
    return OriginAnswer(
        origin=None if record.origin is None else record.origin.origin,
        age=Millis(record.age),
        view=VersionsView(versions=frozenset(record.versions), is_complete=record.is_complete),
    )
