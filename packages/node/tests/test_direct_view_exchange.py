"""What an entry takes from another one instead of reading it from the store."""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping
from typing import Any

import cbor2
import pytest

from carobspool_core import Json, boottime_clock
from carobspool_core.direct import Upstream, UpstreamsView
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct import _packed_answer
from carobspool_node.direct._packed_answer import AnswerPacker, unpack_answer
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCallError
from carobspool_node.direct._view_exchange import ViewCall, ViewExchange

ENGINE = Upstream(
    instance="i",
    service="engine",
    address=("127.0.0.1", 1),
    failure_domain="z",
    slots=7,
    ready=True,
    started=3,
)


class _Declared:
    """Knows two upstreams, one of them lapsed, and a configuration."""

    def __init__(self) -> None:
        self.adopted: list[Any] = []
        self.compared = 0

    def stored_configuration(self) -> tuple[int, Json]:
        return 7, {"version": 4}

    def upstreams_view(self) -> tuple[int, UpstreamsView]:
        return 9, UpstreamsView(listed=[ENGINE], lapsed=[(ENGINE, 120.0)])

    def newer_kinds(self, versions: Mapping[str, int]) -> list[str]:
        return ["configuration", "upstreams"]

    def compare(self, versions: Mapping[str, int]) -> None:
        self.compared += 1

    def adopt_configuration(self, revision: int, value: Json) -> bool:
        self.adopted.append((revision, value))
        return True

    def adopt_upstreams(self, revision: int, view: UpstreamsView) -> bool:
        self.adopted.append((revision, view))
        return True


class _Caller:
    """Answers as a peer does, from a given function."""

    def __init__(self, answer: Any) -> None:
        self.answer = answer
        self.calls = 0

    def call(self, peer: Peer, operation: str, body: Any, timeout: float) -> tuple[int, Any]:
        self.calls += 1
        return self.answer(body)


def _exchange(declared: _Declared, caller: _Caller) -> ViewExchange:
    peer = Peer(name="e2", incarnation="1", address=("127.0.0.1", 1), heard=0.0)
    return ViewExchange(
        boottime_clock(),
        declared,  # type: ignore[arg-type]
        caller,  # type: ignore[arg-type]
        lambda name: peer,
        lambda: [peer],
    )


def _compare(exchange: ViewExchange) -> None:
    exchange.compare("e2", {})
    exchange.close()


@pytest.mark.parametrize("packed", [True, False], ids=["packed", "version before"])
def test_a_view_arrives_as_it_was_given(packed: bool) -> None:
    giver = _exchange(_Declared(), _Caller(None))
    declared = _Declared()
    caller = _Caller(lambda body: (200, giver.serve(ViewCall(**{**body, "packed": packed}))))
    _compare(_exchange(declared, caller))
    assert sorted(declared.adopted, key=lambda each: each[0]) == [
        (7, {"version": 4}),
        (9, UpstreamsView(listed=[ENGINE], lapsed=[(ENGINE, 120.0)])),
    ]


@pytest.mark.parametrize(
    "answer",
    [
        {"revision": -1, "listed": [], "lapsed": []},
        {"revision": 1, "listed": [{"instance": "i"}], "lapsed": []},
        {"revision": 1, "listed": "x", "lapsed": []},
        {"value": None},
        {"packed": b""},
        {"packed": b"x"},
        {"packed": "x"},
        {"packed": zlib.compress(b"\xa1")},
        {"packed": zlib.compress(cbor2.dumps({"revision": 1, "listed": []}))},
        {"packed": zlib.compress(cbor2.dumps({"revision": 1}))[:-5]},
        [],
        "view",
    ],
)
def test_a_view_that_is_none_changes_nothing(answer: Json) -> None:
    """Entries of other versions answer what they know; it must not empty the list here."""
    declared = _Declared()
    _compare(_exchange(declared, _Caller(lambda body: (200, answer))))
    assert declared.adopted == []
    assert declared.compared == 1


def test_a_peer_that_fails_is_not_asked_again_at_once() -> None:
    """Announcements of dozens of entries come within milliseconds, and each would ask."""

    def fail(body: Any) -> tuple[int, Any]:
        raise PeerCallError("gone")

    caller = _Caller(fail)
    exchange = _exchange(_Declared(), caller)
    _compare(exchange)
    exchange.compare("e3", {})
    assert caller.calls <= 2


def test_records_that_cannot_be_read_are_refused_with_a_reason() -> None:
    with pytest.raises(UnusableRecordError):
        _exchange(_Declared(), _Caller(None))._adopt("upstreams", {"revision": 1, "listed": 3})


def test_an_answer_for_hundreds_of_entries_is_short() -> None:
    """Thousands of registrations, whole to each entry at each change, were most of what entries
    sent each other."""
    answer = {"revision": 9, "listed": [_record(number) for number in range(3_000)], "lapsed": []}
    packer = AnswerPacker()
    packed = packer.pack("upstreams", answer)
    assert len(packed) < len(cbor2.dumps(answer)) / 5
    assert packer.pack("upstreams", answer) is packed
    assert unpack_answer(packed) == answer


def test_a_packed_answer_cannot_fill_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """A few bytes of any process would stand for gigabytes."""
    monkeypatch.setattr(_packed_answer, "MAX_UNPACKED_BYTES", 1_000)
    with pytest.raises(UnusableRecordError, match="longer"):
        unpack_answer(zlib.compress(cbor2.dumps("x" * 2_000)))


def _record(number: int) -> dict[str, Any]:
    draw = random.Random(number)
    return {
        "instance": f"i-{draw.getrandbits(40):010x}",
        "service": f"service-{number % 2}",
        "address": [f"10.{draw.randrange(6)}.{draw.randrange(64)}.{draw.randrange(256)}", 8_000],
        "failure_domain": f"hall-{number % 5}",
        "slots": 8,
        "ready": True,
        "started": 1_780_000_000_000 + draw.randrange(100_000),
    }
