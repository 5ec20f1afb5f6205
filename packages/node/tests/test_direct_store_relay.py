"""Store calls of an entry that is cut off from the store or turned away by it."""

from __future__ import annotations

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
