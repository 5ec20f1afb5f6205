"""Cases for the decoders of what others send: structure with faults, and raw bytes.

Run by hand for longer, with the count of cases of each decoder at the end:

    .venv/bin/python tests/adapter/border_cases.py --seconds 60 --seed 7
"""

from __future__ import annotations

import argparse
import json
import time
from collections.abc import Callable
from typing import Any

import cbor2
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from carobspool_core import Json
from carobspool_core.direct import (
    Upstream,
    job_from_json,
    progress_from_json,
    results_from_json,
)
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._job_records import _segments, referenced_pieces
from carobspool_node.direct._peer_messages import (
    Announcement,
    EndCall,
    EntryRecord,
    ResultsCall,
    decode_cbor,
    read_results,
    read_store_call,
)
from carobspool_node.direct._store_relay import decode_store_result, encode_store_result
from carobspool_platform._configuration import read_configuration
from carobspool_platform._registrations import MAX_SLOTS, read_upstream
from carobspool_platform._store_answers import (
    changes_of,
    decode_answer,
    decode_object,
    page_of,
    stored_object,
)

REGISTRATION: dict[str, Json] = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_764_700_000_000,
}
CONFIGURATION: dict[str, Json] = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "batch",
            "timeout_ms": 5_000,
            "target_latency_ms": 300,
            "priority": 0,
            "service": "s",
            "traffic_split": [{"service": "a", "weight": 90}],
            "max_attempts": 2,
            "resumable": True,
            "completion_target_ms": 1_000,
            "retention_s": 60,
            "max_count": 10,
        }
    ],
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 2,
        "header_timeout_ms": 3,
        "idle_timeout_ms": 4,
    },
}
JOB: dict[str, Json] = {
    "host": "h",
    "path": "/p",
    "owner": "e#1",
    "submitted": 0.0,
    "items": [{"id": "i", "path": "/p", "headers": {"A": "b"}, "body": "AAE=", "tokens": 1}],
}
PROGRESS: dict[str, Json] = {
    "owner": "e#1",
    "ended": False,
    "total": 2,
    "results": [["i", "completed", "t"]],
    "failures": {"k": 1},
    "parts": {"k": [2, "t"]},
    "segments": [["s", 1, 1]],
}
HINT: dict[str, Json] = {
    "n": "e9",
    "i": "1",
    "a": ["127.0.0.1", 9],
    "l": {"u": [1, 2]},
    "e": {"u": 1},
    "v": {"configuration": 7},
    "b": {"u": 1_764_700_000_000},
    "x": False,
    "s": True,
    "p": [[4_000, 3]],
    "j": ["j"],
    "f": [],
    "w": {"r": 3},
    "q": ["e1"],
    "d": ["k"],
}
OBJECT: dict[str, Json] = {
    "metadata": {"name": "i-1", "revision": 3, "created_rev": 3, "finalizers": []},
    "spec": REGISTRATION,
    "status": None,
}
PAGE: dict[str, Json] = {"items": [OBJECT, OBJECT], "more": False, "as_of": 9}
EVENTS: dict[str, Json] = {"events": [{"object": OBJECT, "deleted": False}], "as_of": 9}
RELAYED: dict[str, Json] = {
    "revision": 9,
    "more": False,
    "objects": [["servers/i-1", 3, REGISTRATION]],
    "unreadable": 0,
}
CALLS: tuple[dict[str, Json], ...] = (
    {"op": "get", "key": "jobs/j"},
    {"op": "list", "key": "jobs/", "after": "", "limit": 500},
    {"op": "create", "key": "jobs/j", "value": JOB},
    {"op": "update", "key": "jobs/j", "value": JOB, "version": 3},
)

_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([2**63, 2**64, -(2**63), 2**5_000, 0, -1, 65_536]),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["", "\ud800", "ready", "draining", "10.0.0.1:80", "x" * 5_000, "\r\nX: y"]),
    st.binary(max_size=8),
)
VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)


def _places(value: Json, place: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    found = [place]
    if isinstance(value, dict):
        for key, each in value.items():
            found.extend(_places(each, (*place, key)))
    if isinstance(value, list):
        for number, each in enumerate(value):
            found.extend(_places(each, (*place, number)))
    return found


def _changed(value: Json, place: tuple[Any, ...], change: Callable[[Any, Any], None]) -> Json:
    """Return a copy with a change to the container at a place."""
    copied = json.loads(json.dumps(value))
    inner = copied
    for part in place[:-1]:
        inner = inner[part]
    change(inner, place[-1])
    return copied


@st.composite
def near(draw: st.DrawFn, *good: Json) -> Json:
    """Return a good value with one to three fields of another kind, missing or added."""
    value = draw(st.sampled_from(good))
    for _ in range(draw(st.integers(1, 3))):
        try:
            places = _places(value)
            place = draw(st.sampled_from(places))
            other = draw(VALUES)
            if not place:
                return other if draw(st.booleans()) else value
            if draw(st.booleans()):
                value = _changed(value, place, lambda inner, key: inner.__delitem__(key))
            else:
                value = _changed(value, place, lambda inner, key, o=other: _put(inner, key, o))
        except (TypeError, ValueError):
            # What was put in before is no JSON and cannot be copied; it is a case all the same.
            return value
    return value


def _put(inner: Any, key: Any, value: Any) -> None:
    inner[key] = value


@st.composite
def broken_json(draw: st.DrawFn, *good: Json) -> bytes:
    """Return the bytes of a good JSON value with some cut out, changed or put in."""
    data = bytearray(json.dumps(draw(st.sampled_from(good))).encode())
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 12)))
        data[start:end] = draw(st.one_of(st.binary(max_size=12), st.sampled_from([b"[" * 3_000])))
    return bytes(data)


@st.composite
def broken_cbor(draw: st.DrawFn, *good: Json) -> bytes:
    """Return the bytes of a good CBOR value with some cut out, changed or put in."""
    data = bytearray(cbor2.dumps(draw(st.sampled_from(good))))
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(data)))
        end = min(len(data), start + draw(st.integers(0, 12)))
        data[start:end] = draw(st.binary(max_size=12))
    return bytes(data)


def _check_registration(value: Json) -> None:
    found = read_upstream("i-1", value)
    assert type(found) is Upstream
    assert type(found.slots) is int and 1 <= found.slots <= MAX_SLOTS
    assert 1 <= found.address[1] <= 65_535
    found.service.encode()
    found.failure_domain.encode()


def _check_configuration(value: Json) -> None:
    found = read_configuration(value)
    found.route_for("h", "/p/x")
    for route in found.routes:
        route.choose_service("key")


def _check_progress(value: Json) -> None:
    progress_from_json(value)
    _segments(value)


def _check_pieces(value: Json) -> None:
    for name, count in referenced_pieces(value):
        assert isinstance(name, str) and count <= 10_000


def _check_hint(data: bytes) -> None:
    hint = read_record(Announcement, decode_cbor(data))
    assert all(len(pair) == 2 for pair in hint.loads.values())
    assert 1 <= hint.address[1] <= 65_535


def _check_call(data: bytes) -> None:
    value = decode_cbor(data)
    for reader in (read_store_call, read_results):
        _tolerate(reader, value)
    for model in (ResultsCall, EndCall, EntryRecord):
        _tolerate(lambda each, m=model: read_record(m, each), value)


def _check_relayed(data: bytes) -> None:
    found = decode_store_result("servers/", decode_cbor(data))
    cbor2.dumps(encode_store_result(found))


def _check_listing(data: bytes) -> None:
    page = page_of("servers", decode_answer(data))
    assert all(type(each.version) is int for each in page.objects)
    for each in page.objects:
        each.key.encode()
        _tolerate(_check_registration, each.value)


def _check_watch(data: bytes) -> None:
    batch = changes_of("servers", decode_answer(data))
    assert all(type(each.deleted) is bool for each in batch.changes)


def _check_neighbours(data: bytes) -> None:
    """Whatever stands in the place of one object's value, the ones beside it are found."""
    whole = json.dumps({"items": ["before", "MIDDLE", "after"], "more": False, "as_of": 9})
    middle = json.dumps(OBJECT | {"spec": "SPEC"}).encode()
    answer = whole.encode().replace(b'"MIDDLE"', middle.replace(b'"SPEC"', data))
    for name in ("before", "after"):
        good = OBJECT | {"metadata": {"name": name, "revision": 1}}
        answer = answer.replace(f'"{name}"'.encode(), json.dumps(good).encode())
    found = {each.key: each.value for each in page_of("servers", decode_answer(answer)).objects}
    assert found["servers/before"] == REGISTRATION
    assert found["servers/after"] == REGISTRATION


def _check_object(data: bytes) -> None:
    stored_object("jobs/j", decode_object(data))


ANSWER_ERRORS = (KeyError, TypeError, ValueError, AttributeError)
"""What the store's adapter turns into a failed call."""


def _tolerate(check: Callable[[Any], object], value: Any) -> None:
    try:
        check(value)
    except UnusableRecordError as error:
        assert error.problems
        assert all(each.path and each.found and each.allowed for each in error.problems)
        assert len(str(error)) < 20_000


def _tolerate_answer(check: Callable[[Any], object], value: Any) -> None:
    try:
        check(value)
    except ANSWER_ERRORS:
        return


def _strict(check: Callable[[Any], object], value: Any) -> None:
    check(value)


Case = tuple[Callable[[Any], object], st.SearchStrategy[Any], Callable[..., None]]

DECODERS: dict[str, Case] = {
    "registration": (_check_registration, near(REGISTRATION) | VALUES, _tolerate),
    "configuration": (_check_configuration, near(CONFIGURATION) | VALUES, _tolerate),
    "job input": (lambda value: job_from_json("j", value), near(JOB) | VALUES, _tolerate),
    "job progress": (_check_progress, near(PROGRESS) | VALUES, _tolerate),
    "results": (results_from_json, near([["i", "completed", "t"]]) | VALUES, _tolerate),
    "pieces": (_check_pieces, near({"pieces": ["x", 2]}, PROGRESS) | VALUES, _tolerate),
    "hint": (_check_hint, broken_cbor(HINT) | st.binary(max_size=64), _tolerate),
    "hint fields": (
        lambda value: read_record(Announcement, value),
        near(HINT) | VALUES,
        _tolerate,
    ),
    "peer call": (_check_call, broken_cbor(*CALLS) | st.binary(max_size=64), _tolerate),
    "peer call fields": (read_store_call, near(*CALLS) | VALUES, _tolerate),
    "relayed": (_check_relayed, broken_cbor(RELAYED) | st.binary(max_size=64), _tolerate),
    "relayed fields": (
        lambda value: decode_store_result("servers/", value),
        near(RELAYED),
        _tolerate,
    ),
    "listing": (_check_listing, broken_json(PAGE) | st.binary(max_size=64), _tolerate_answer),
    "neighbours": (_check_neighbours, broken_json(REGISTRATION) | st.binary(max_size=64), _strict),
    "watch": (_check_watch, broken_json(EVENTS) | st.binary(max_size=64), _tolerate_answer),
    "object": (_check_object, broken_json(OBJECT) | st.binary(max_size=64), _tolerate_answer),
}


def play(name: str, cases: int, number: int) -> int:
    """Play cases of a decoder; return how many were played."""
    check, values, tolerate = DECODERS[name]
    played = 0

    @seed(number)
    @settings(
        max_examples=cases, deadline=None, database=None, suppress_health_check=list(HealthCheck)
    )
    @given(values)
    def one(value: Any) -> None:
        nonlocal played
        played += 1
        tolerate(check, value)

    one()
    return played


def main() -> None:
    """Play all decoders in turn until the time is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    until = time.monotonic() + options.seconds
    counts = dict.fromkeys(DECODERS, 0)
    number = options.seed
    while time.monotonic() < until:
        for name in DECODERS:
            counts[name] += play(name, 500, number)
        number += 1
    print(f"seeds {options.seed} to {number - 1}")
    for name, count in counts.items():
        print(f"{name:20} {count:8}")
    print(f"{'all':20} {sum(counts.values()):8}")


if __name__ == "__main__":
    main()
