"""Answers of the object API: reading them and judging what they say about a call."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

from returns.result import Failure, Result, Success

from carobspool_core import (
    Json,
    ObjectChange,
    ObjectPage,
    StoredObject,
    StoreFailure,
    StoreFault,
    WatchBatch,
)
from carobspool_core.records import is_too_deep

_T = TypeVar("_T")
_UNDECODABLE = (ValueError, TypeError, RecursionError)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A whole HTTP answer."""

    status: int
    version: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """No whole answer came; ``sent`` tells whether the server may have acted on the request."""

    sent: bool
    detail: str


def encode_value(value: Json) -> bytes:
    """Return a JSON value as sent; in ASCII, for a string may hold half a surrogate pair."""
    return json.dumps(value, separators=(",", ":")).encode("ascii")


def _open_envelope(text: str) -> tuple[str, Json]:
    """Split a stored text into the write id and the value proper."""
    envelope = json.loads(text)
    if isinstance(envelope, dict) and envelope.keys() == {"w", "v"}:
        return envelope["w"], envelope["v"]
    return "", envelope


def stored_object(key: str, version: int, text: str) -> StoredObject:
    """Return the object that a stored text holds.

    Raises:
        ValueError, RecursionError: The text is no JSON, or nested too deep.
    """
    value = _open_envelope(text)[1]
    if is_too_deep(value):
        raise ValueError("a value that is nested too deep")
    return StoredObject(key=key, version=version, value=value)


def object_page(answer: Mapping[str, Json]) -> ObjectPage:
    """Return the page that a listing answered."""
    listed = [_listed_object(item) for item in answer["objects"]]
    objects = [each for each in listed if each is not None]
    return ObjectPage(
        revision=answer["revision"],
        objects=objects,
        more=answer["more"],
        unreadable=len(listed) - len(objects),
    )


def watch_batch(answer: Mapping[str, Json]) -> WatchBatch:
    """Return the changes that a watch answered."""
    changes = []
    for event in answer["events"]:
        stored = _listed_object(event)
        if stored is not None:
            changes.append(ObjectChange(object=stored, deleted=event.get("deleted") is True))
    unreadable = len(answer["events"]) - len(changes)
    return WatchBatch(revision=answer["revision"], changes=changes, unreadable=unreadable)


def _listed_object(item: Json) -> StoredObject | None:
    """Return an object among others.

    Its value is ``None`` if it is deleted or cannot be read, so that one object of another writer
    does not spoil the others.

    Returns:
        ``None`` if not even its key can be read.
    """
    match item:
        case {"key": str() as key, "version": int() as version}:
            pass
        case _:
            return None
    text: Json = None if item.get("deleted") is True else item.get("value")
    try:
        return stored_object(key, version, text)
    except _UNDECODABLE:
        return StoredObject(key=key, version=version, value=None)


def decoded(key: str, decode: Callable[[], _T]) -> Result[_T, StoreFailure]:
    """Decode an answer; a malformed one counts as none."""
    try:
        return Success(decode())
    except (KeyError, *_UNDECODABLE):
        return failed(StoreFault.UNAVAILABLE, key, "malformed answer")


def present_object(reply: Reply | Broken) -> tuple[int, str, str] | None:
    """Return version, write id and text as read back, version 0 if absent, ``None`` if unread."""
    if isinstance(reply, Broken):
        return None
    if reply.status == HTTPStatus.NOT_FOUND:
        return 0, "", ""
    if reply.status != HTTPStatus.OK:
        return None
    try:
        text = reply.body.decode()
        return reply.version, _open_envelope(text)[0], text
    except _UNDECODABLE:
        return None


def may_have_acted(reply: Reply | Broken) -> bool:
    """Tell whether a write without a plain answer may have taken effect."""
    if isinstance(reply, Broken):
        return reply.sent
    return reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR and (
        reply.status != HTTPStatus.SERVICE_UNAVAILABLE
    )


def fault_of(status: int) -> StoreFault:
    """Return the fault that a status other than 200 stands for on a read."""
    if status == HTTPStatus.NOT_FOUND:
        return StoreFault.NOT_FOUND
    return StoreFault.UNAVAILABLE


def detail_of(reply: Reply | Broken) -> str:
    """Return what to log of a call that failed."""
    if isinstance(reply, Broken):
        return reply.detail
    return f"status {reply.status}"


def failed(fault: StoreFault, key: str, detail: str) -> Result[_T, StoreFailure]:
    """Return a failure of the store."""
    return Failure(StoreFailure(fault=fault, key=key, detail=detail))
