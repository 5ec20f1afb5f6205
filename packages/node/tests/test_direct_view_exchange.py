"""Views that an entry fetches from a peer instead of the store."""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping
from typing import Any

import cbor2
import pytest

from carobspool_core import Json, VerdictKind, boottime_clock
from carobspool_core.direct import Upstream, UpstreamsSnapshot
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct import _packed_answer
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._packed_answer import AnswerPacker, unpack_answer
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCallError
from carobspool_node.direct._suspect_messages import SuspectState
from carobspool_node.direct._telemetry import Telemetry
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
    """Has a listed upstream, a lapsed one, and a configuration; records what it adopts."""

    def __init__(self) -> None:
        self.adopted: list[Any] = []
        self.compared = 0

    def stored_configuration(self) -> tuple[int, Json]:
        return 7, {"version": 4}

    def upstreams_view(self) -> tuple[int, UpstreamsSnapshot]:
        return 9, UpstreamsSnapshot(listed=[ENGINE], lapsed=[(ENGINE, 120.0)])

    def newer_views(self, versions: Mapping[str, int]) -> list[str]:
        return ["configuration", "upstreams"]

    def refresh_if_behind(self, versions: Mapping[str, int]) -> None:
        self.compared += 1

    def adopt_configuration(self, revision: int, value: Json) -> bool:
        self.adopted.append((revision, value))
        return True

    def adopt_upstreams(self, revision: int, view: UpstreamsSnapshot) -> bool:
        self.adopted.append((revision, view))
        return True


class _Caller:
    """Returns the answers of a given function instead of calling a peer."""

    def __init__(self, answer: Any) -> None:
        self.answer = answer
        self.calls = 0

    def call(self, peer: Peer, operation: str, body: Any, timeout: float) -> tuple[int, Any]:
        self.calls += 1
        return self.answer(body)


def _isolation() -> CrashIsolation:
    return CrashIsolation(
        boottime_clock(), Telemetry(), tell=lambda updates: None, save=lambda update: None
    )


def _exchange(
    declared: _Declared, caller: _Caller, isolation: CrashIsolation | None = None
) -> ViewExchange:
    peer = Peer(name="e2", incarnation="1", address=("127.0.0.1", 1), last_heard_at=0.0)
    return ViewExchange(
        boottime_clock(),
        declared,  # type: ignore[arg-type]
        caller,  # type: ignore[arg-type]
        lambda name: peer,
        lambda: [peer],
        isolation or _isolation(),
    )


def _compare(exchange: ViewExchange) -> None:
    exchange.pull_newer_views("e2", {})
    exchange.close()


@pytest.mark.parametrize("packed", [True, False], ids=["packed", "previous version"])
def test_a_view_arrives_unchanged(packed: bool) -> None:
    server = _exchange(_Declared(), _Caller(None))
    declared = _Declared()
    caller = _Caller(lambda body: (200, server.serve(ViewCall(**{**body, "packed": packed}))))
    _compare(_exchange(declared, caller))
    assert sorted(declared.adopted, key=lambda each: each[0]) == [
        (7, {"version": 4}),
        (9, UpstreamsSnapshot(listed=[ENGINE], lapsed=[(ENGINE, 120.0)])),
    ]


def test_quarantines_arrive_from_a_peer_that_announces_others() -> None:
    """Guards against an entry that missed all hints of a request that crashes its servers."""
    known, missing = _isolation(), _isolation()
    known.merge([SuspectState(fingerprint="f", values={"crashes": "a b c"})])
    server = _exchange(_Declared(), _Caller(None), known)
    caller = _Caller(lambda body: (200, server.serve(ViewCall(**body))))
    exchange = _exchange(_Declared(), caller, missing)
    exchange.pull_newer_views("e2", known.versions())
    exchange.close()
    assert missing.check(lambda: ("f",)).kind is VerdictKind.QUARANTINED


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
def test_an_invalid_view_changes_nothing(answer: Json) -> None:
    """Entries of other versions may answer in another format, which must not empty the list."""
    declared = _Declared()
    _compare(_exchange(declared, _Caller(lambda body: (200, answer))))
    assert declared.adopted == []
    assert declared.compared == 1


def test_after_a_failed_call_no_peer_is_asked_at_once() -> None:
    """Dozens of announcements arrive within milliseconds, and each would cause a call."""

    def fail(body: Any) -> tuple[int, Any]:
        raise PeerCallError("gone")

    caller = _Caller(fail)
    exchange = _exchange(_Declared(), caller)
    _compare(exchange)
    exchange.pull_newer_views("e3", {})
    assert caller.calls <= 2


def test_records_that_cannot_be_read_are_rejected() -> None:
    with pytest.raises(UnusableRecordError):
        _exchange(_Declared(), _Caller(None))._adopt("upstreams", {"revision": 1, "listed": 3})


def test_an_answer_with_thousands_of_registrations_is_compressed() -> None:
    """Each entry fetches all registrations at each change. Uncompressed, these answers made up most
    of the traffic between entries."""
    answer = {"revision": 9, "listed": [_record(number) for number in range(3_000)], "lapsed": []}
    packer = AnswerPacker()
    packed = packer.pack("upstreams", answer)
    assert len(packed) < len(cbor2.dumps(answer)) / 5
    assert packer.pack("upstreams", answer) is packed
    assert unpack_answer(packed) == answer


def test_a_packed_answer_cannot_exhaust_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a limit, a few bytes sent by any process could expand to gigabytes."""
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
