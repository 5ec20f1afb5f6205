"""Define the messages between entries, and validate each message before its content is used.

Any process can send a datagram or make a call, and entries of other versions send both. Without
validation a single hint with a field of the wrong type ended the thread that receives hints; the
entry then declared every peer dead and ran their jobs again.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Sequence
from functools import lru_cache
from typing import Annotated, Any, Literal

import cbor2

from carobspool_core import Json, StoreFault
from carobspool_core.direct import ItemResult, results_from_json
from carobspool_core.problems import Problem, UnusableRecordError
from carobspool_core.records import (
    JSON_VALUE,
    Bounds,
    Record,
    UnionBy,
    ValidatedBy,
    field,
    read_record,
)

MAX_NAME_CHARS = 200
"""Longest name of an entry, an upstream or a job."""
MAX_COUNT = 2**53
"""Largest integer that every reader represents exactly; counts stay far below this bound."""
MAX_DIGEST = 2**64 - 1
MAX_WAIT_MS = 86_400_000.0
"""Longest wait that a peer may request for a read: one day, which a thread can sleep."""
HIGHEST_PORT = 65_535
MAX_JOBS_ASKED = 500
"""Jobs in one question to a peer, which then has at most 100 kB."""
MAX_CAPACITY = 1e6
"""Largest processor capacity of a host, in cores."""

Name = Annotated[str, Bounds(min_length=1, max_length=MAX_NAME_CHARS)]
Count = Annotated[int, Bounds(ge=0, le=MAX_COUNT)]


def is_hint(message: Json, kind: str) -> bool:
    """Return whether a decoded datagram is a hint of a kind, which is its first element."""
    return isinstance(message, list) and message[:1] == [kind]


def unusable_hint(message: Json, allowed: str) -> UnusableRecordError:
    """Return the error for a hint that has the right kind and another form than ``allowed``."""
    found = repr(message)[:MAX_NAME_CHARS]
    return UnusableRecordError([Problem(file="", path="(body)", found=found, allowed=allowed)])


def _read_address(value: Any) -> tuple[str, int]:
    match value:
        case [str() as host, int() as port] if 1 <= port <= HIGHEST_PORT:
            return _parse_ipv4(host), int(port)
    raise ValueError("a list of an IPv4 number and a port")


@lru_cache(maxsize=4_096)
def _parse_ipv4(host: str) -> str:
    return str(ipaddress.IPv4Address(host))


Address = Annotated[tuple[str, int], ValidatedBy(_read_address)]


class EntryRecord(Record):
    """An entry's registration in the store."""

    address: Address


class Announcement(Record):
    """State of an entry, sent periodically and at once when urgent state changes.

    Entries of the previous version key loads by the upstream's instance id, send start times in a
    separate field, and omit the fields that have a default.
    """

    name: Name = field(alias="n")
    incarnation: Name = field(alias="i")
    address: Address = field(alias="a")
    loads: dict[Name, Annotated[list[Count], Bounds(min_length=2, max_length=2)]] = field(
        alias="l", default={}
    )
    failures: dict[Name, Count] = field(alias="e")
    versions: dict[Name, Annotated[int, Bounds(ge=0, le=MAX_DIGEST)]] = field(alias="v")
    starts: dict[Name, Count] | None = field(alias="b", default=None)
    leaving: bool = field(alias="x")
    released: list[Name] | None = field(alias="r", default=None)
    store_ok: bool = field(alias="s")
    backlog: list[Annotated[list[Count], Bounds(min_length=2, max_length=2)]] = field(
        alias="p", default=[]
    )
    open_jobs: list[Name] | None = field(alias="j", default=None)
    done_jobs: list[Name] = field(alias="f", default=[])
    waiting: dict[str, Count] = field(alias="w", default={})
    silent: list[Name] = field(alias="q", default=[])
    ended: list[Name] = field(alias="d", default=[])
    sequence: Count | None = field(alias="c", default=None)
    packed_loads: bytes = field(alias="k", default=b"")
    answer_age: Count = field(alias="o", default=0)
    packed_counts: bytes | None = field(alias="g", default=None)
    failure_domain: Name | None = field(alias="z", default=None)
    host_capacity: Annotated[float, Bounds(ge=0, le=MAX_CAPACITY)] | None = field(
        alias="h", default=None
    )
    packed_paces: bytes = field(alias="m", default=b"")
    packed_waiting: bytes = field(alias="u", default=b"")
    waiting_services: bytes = field(alias="us", default=b"")
    packed_services: bytes = field(alias="t", default=b"")
    separates_kinds: bool = field(alias="y", default=False)


class ResultsCall(Record):
    """A peer's call to read results of a job that this entry owns."""

    id: Name
    after: Count
    wait: Annotated[float, Bounds(ge=0, le=MAX_WAIT_MS)]


class EndCall(Record):
    """A peer's call to end a job that this entry owns."""

    id: Name


class JobsCall(Record):
    """A peer's question which of some jobs, whose records name this entry, this entry runs."""

    ids: Annotated[list[Name], Bounds(max_length=MAX_JOBS_ASKED)]


class JobsAnswer(Record):
    """A peer's answer with the jobs that it runs."""

    running: list[Name]


class _GetCall(Record):
    op: Literal["get"]
    key: Name


class _ListCall(Record):
    op: Literal["list"]
    key: Name
    after: str
    limit: Count


class _CreateCall(Record):
    op: Literal["create"]
    key: Name
    value: Annotated[Any, JSON_VALUE]


class _UpdateCall(Record):
    op: Literal["update"]
    key: Name
    value: Annotated[Any, JSON_VALUE]
    version: Count


StoreCall = _GetCall | _ListCall | _CreateCall | _UpdateCall


class _StoreEnvelope(Record):
    call: Annotated[StoreCall, UnionBy("op")]


class _ResultsAnswer(Record):
    total: Count
    results: list[Any]


class StoreObjectAnswer(Record):
    """A peer's answer with an object that it has read or written."""

    version: Count
    value: Annotated[Any, JSON_VALUE]


class StorePageAnswer(Record):
    """A peer's answer with a page of objects, each as a list of key, version and value."""

    revision: Count
    more: bool
    objects: list[Any]
    unreadable: Count = 0


class StoreFaultAnswer(Record):
    """A peer's answer for a failed call, with the current object as version and value."""

    fault: Literal[tuple(each.value for each in StoreFault)]  # type: ignore[valid-type]
    detail: str
    current: list[Any] | None


def decode_cbor(data: bytes) -> Json:
    """Decode the CBOR of a peer's message.

    Raises:
        UnusableRecordError: The data is not valid CBOR.
    """
    try:
        return cbor2.loads(data)
    except Exception as error:  # noqa: BLE001
        # Besides its own errors, the decoder raises those of the parsers for dates, numbers and
        # patterns in tagged values.
        problem = Problem(
            file="", path="(body)", found=repr(error)[:MAX_NAME_CHARS], allowed="CBOR"
        )
        raise UnusableRecordError([problem]) from error


def read_store_call(value: Json) -> StoreCall:
    """Read a peer's request for a store call."""
    return read_record(_StoreEnvelope, {"call": value}).call


def read_results(value: Json) -> tuple[int, Sequence[ItemResult]]:
    """Return the number of a job's items and the results in a peer's answer."""
    model = read_record(_ResultsAnswer, value)
    return model.total, results_from_json(model.results)
