"""Messages between entries about requests that are suspected of crashing upstreams."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, Any

import cbor2
from msgspec import Struct

from carobspool_core import Json, Millis, SuspectUpdate
from carobspool_core.records import Bounds, Record, field, read_record
from carobspool_node.direct._peer_messages import Count, Name, is_hint, unusable_hint

_SUSPECTS_HINT_KIND = "s"
MAX_CRASHES_SENT = 64
"""Crashes in one record, far more than a quarantine needs; copies that run at the same time add
some."""


class SuspectState(Struct, frozen=True, kw_only=True):
    """The evidence against one request, as another process or the store tells it.

    Attributes:
        fingerprint: The request's fingerprint.
        values: The values for `SuspectTable.merge`.
        age: Time since the last change.
    """

    fingerprint: str
    values: dict[str, str]
    age: Millis = 0.0


class SuspectsHint(Struct, frozen=True, kw_only=True):
    """Changed evidence, from the entry that has observed it."""

    name: str
    incarnation: str
    suspects: Sequence[SuspectState]


class _SuspectRecord(Record):
    fingerprint: Name = field(alias="f")
    crashes: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)] = field(alias="c")
    cleared: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)] = field(
        alias="k", default=[]
    )
    confirmed: Annotated[list[Name], Bounds(max_length=MAX_CRASHES_SENT)] = field(
        alias="q", default=[]
    )
    age: Count = field(alias="o", default=0)


class _Suspects(Record):
    suspects: list[_SuspectRecord]


def encode_suspects_hint(*, name: str, incarnation: str, updates: Iterable[SuspectUpdate]) -> bytes:
    """Encode a hint about changed evidence."""
    suspects = [suspect_to_record(each) for each in updates]
    return cbor2.dumps([_SUSPECTS_HINT_KIND, name, incarnation, suspects])


def read_suspects_hint(message: Json) -> SuspectsHint | None:
    """Read a decoded datagram as a hint about suspects.

    Returns:
        The hint, or ``None`` if the datagram is of another kind.

    Raises:
        UnusableRecordError: The hint is invalid.
    """
    if not is_hint(message, _SUSPECTS_HINT_KIND):
        return None
    match message:
        case [_, str() as name, str() as incarnation, list() as suspects]:
            states = read_suspects({"suspects": suspects})
            return SuspectsHint(name=name, incarnation=incarnation, suspects=states)
    raise unusable_hint(message, "a hint about suspects")


def suspect_to_record(update: SuspectUpdate, age: Millis = 0.0) -> dict[str, Any]:
    """Return a fingerprint's state as it is sent; ``age`` is the time since its last change."""
    found: dict[str, Any] = {
        "f": update.fingerprint,
        "c": update.values.get("crashes", "").split()[:MAX_CRASHES_SENT],
        "k": update.values.get("cleared", "").split()[:MAX_CRASHES_SENT],
        "o": max(0, int(age)),
    }
    if "confirmed" in update.values:
        found["q"] = update.values["confirmed"].split()[:MAX_CRASHES_SENT]
    return found


def read_suspects(message: Json) -> list[SuspectState]:
    """Read the ``suspects`` of a peer's message.

    Raises:
        UnusableRecordError: The message is invalid.
    """
    return [
        SuspectState(
            fingerprint=each.fingerprint,
            values={
                "crashes": " ".join(each.crashes),
                "cleared": " ".join(each.cleared),
                "confirmed": " ".join(each.confirmed),
            },
            age=float(each.age),
        )
        for each in read_record(_Suspects, message).suspects
    ]
