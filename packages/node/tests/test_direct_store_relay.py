"""Store calls of an entry that is cut off from the store or turned away by it."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from typing import Any

import pytest
from returns.result import Failure, Result, Success

from carobspool_core import Clock, Json, Millis, StoredObject, StoreFailure, StoreFault
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCallError
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._telemetry import Telemetry

Answer = Result[Any, StoreFailure]


class _DirectStore:
    """Answers every write in the same way."""

    def __init__(self, fault: StoreFault) -> None:
        self._fault = fault
        self.calls = 0

    def create(self, key: str, value: Json) -> Answer:
        return self._answer(key)

    def update(self, key: str, value: Json, *, version: int) -> Answer:
        return self._answer(key)

    def _answer(self, key: str) -> Answer:
        self.calls += 1
        return Failure(StoreFailure(fault=self._fault, key=key))


class _Caller:
    """Gives one answer after the other, whichever peer is called."""

    def __init__(self, answers: Sequence[Json | None]) -> None:
        self._answers = list(answers)
        self.bodies: list[Json] = []

    def call(self, peer: Peer, what: str, body: Json, timeout: Millis) -> tuple[int, Json]:
        self.bodies.append(body)
        answer = self._answers.pop(0)
        if answer is None:
            raise PeerCallError("silent")
        return 200, answer


class _Peers:
    def live(self) -> list[Peer]:
        return [
            Peer(name=name, incarnation="1", address=("127.0.0.1", 1), heard=1.0)
            for name in ("b", "c")
        ]


def _store(direct: _DirectStore, caller: _Caller) -> RelayedStore:
    return RelayedStore(direct, caller, Clock(lambda: 1_000.0), Telemetry(), lambda: _Peers())  # type: ignore


DONE = {"version": 7, "value": {"x": 1}}
TURNED_AWAY = {"fault": "unavailable", "detail": "", "current": None}


@pytest.mark.parametrize("operation", ["create", "update"])
@pytest.mark.parametrize("answers", [[DONE], [None, DONE], [TURNED_AWAY, DONE]])
def test_a_write_without_an_answer_is_made_again_through_a_peer(
    operation: str, answers: Sequence[Json | None]
) -> None:
    """An entry loses its way to the store with a write under way. Its caller would be told that the
    end of its job is unknown, or nothing before its own time is over. The same conditional write
    through a peer settles it, whether the first one has taken effect or never does."""
    direct = _DirectStore(StoreFault.UNKNOWN)
    caller = _Caller(answers)
    store = _store(direct, caller)
    if operation == "create":
        found = store.create("jobs/a", {"x": 1})
    else:
        found = store.update("jobs/a", {"x": 1}, version=6)
    assert found == Success(StoredObject(key="jobs/a", version=7, value={"x": 1}))
    assert not store.reachable
    assert direct.calls == 1


@pytest.mark.parametrize("answers", [[None, None], [None, TURNED_AWAY], [TURNED_AWAY, None]])
def test_what_no_peer_settles_stays_unknown(answers: Sequence[Json | None]) -> None:
    """A peer that falls silent may have written. Told that nothing was done, the caller would send
    its job elsewhere and have it twice."""
    store = _store(_DirectStore(StoreFault.UNKNOWN), _Caller(answers))
    assert store.create("jobs/a", {"x": 1}).failure().fault is StoreFault.UNKNOWN


def test_a_write_that_all_turn_away_was_not_made() -> None:
    store = _store(
        _DirectStore(StoreFault.UNAVAILABLE), _Caller([TURNED_AWAY, TURNED_AWAY, TURNED_AWAY])
    )
    assert store.create("jobs/a", {"x": 1}).failure().fault is StoreFault.UNAVAILABLE


class _LateStore(_DirectStore):
    """Answers only when it is let."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(StoreFault.UNAVAILABLE)
        self.late = threading.Event()
        self._late_answer = answer

    def _answer(self, key: str) -> Answer:
        self.calls += 1
        self.late.wait(10.0)
        return self._late_answer


MADE = Success(StoredObject(key="jobs/a", version=7, value={"x": 1}))
LOST = Failure(StoreFailure(fault=StoreFault.UNKNOWN, key="jobs/a"))
REFUSED = Failure(StoreFailure(fault=StoreFault.UNAVAILABLE, key="jobs/a"))


def test_a_submission_does_not_wait_for_a_store_that_does_not_hear_this_entry() -> None:
    """The entry is cut off and does not know it yet. Its caller waited until the connection had
    timed out before a peer was asked, and the job's answer came too late for all of its items."""
    direct = _LateStore(LOST)
    store = _store(direct, _Caller([DONE]))
    started = time.monotonic()
    assert store.create("jobs/a", {"x": 1}) == MADE
    assert time.monotonic() - started < 1.0
    assert store.answered_last
    direct.late.set()
    until = time.monotonic() + 5.0
    while store.answered_last and time.monotonic() < until:
        time.sleep(0.01)
    assert not store.answered_last


@pytest.mark.parametrize(
    ("late", "relayed", "found"),
    [
        (MADE, [TURNED_AWAY, TURNED_AWAY], MADE),
        (MADE, [None, None], MADE),
        (REFUSED, [TURNED_AWAY, TURNED_AWAY], StoreFault.UNAVAILABLE),
        (REFUSED, [None, TURNED_AWAY], StoreFault.UNKNOWN),
        (LOST, [TURNED_AWAY, TURNED_AWAY], StoreFault.UNKNOWN),
        (LOST, [None, None], StoreFault.UNKNOWN),
    ],
)
def test_a_late_submission_is_told_as_what_is_known_of_both_ways(
    late: Answer, relayed: Sequence[Json | None], found: Answer | StoreFault
) -> None:
    """Told as not made although one of the two ways may have made it, a job would come twice."""
    direct = _LateStore(late)
    threading.Timer(0.3, direct.late.set).start()
    answer = _store(direct, _Caller(relayed)).create("jobs/a", {"x": 1})
    if isinstance(found, StoreFault):
        assert answer.failure().fault is found
    else:
        assert answer == found


def test_a_peer_that_the_store_answered_of_late_is_asked_first() -> None:
    """Most entries ask the store rarely; what they last knew of it may be out of date."""
    asked: list[str] = []

    class _Noting(_Caller):
        def call(self, peer: Peer, what: str, body: Json, timeout: Millis) -> tuple[int, Json]:
            asked.append(peer.name)
            return super().call(peer, what, body, timeout)

    class _Aged(_Peers):
        def live(self) -> list[Peer]:
            peers = super().live()
            peers[0].answer_age = 20_000.0
            return peers

    store = RelayedStore(
        _DirectStore(StoreFault.UNKNOWN),  # type: ignore[arg-type]
        _Noting([DONE]),  # type: ignore[arg-type]
        Clock(lambda: 1_000.0),
        Telemetry(),
        lambda: _Aged(),  # type: ignore[arg-type, return-value]
    )
    assert store.update("jobs/a", {"x": 1}, version=6) == MADE
    assert asked == ["c"]
