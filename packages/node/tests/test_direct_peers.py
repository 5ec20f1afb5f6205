"""When an entry has to doubt that its jobs are still its own, by the hints that it hears."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from carobspool_core import Millis
from carobspool_core.border import read_record
from carobspool_core.direct import DOUBT_TIME
from carobspool_node.direct._peer import OwnHint
from carobspool_node.direct._peer_messages import Hint
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

TICK: Millis = 100.0


class _Clock:
    def __init__(self) -> None:
        self.time: Millis = 100_000.0

    def now(self) -> Millis:
        return self.time


class _Entry:
    """An entry whose time and hints are given by the test."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.ended: list[str] = []
        self.peers = Peers(
            self.clock,
            Telemetry(),
            name="e1",
            incarnation="1",
            address=("127.0.0.1", 0),
            loads=dict,
            describe=_own_hint,
        )
        self.peers._on_ended = self.ended.extend
        self.hear()
        self.wait(DOUBT_TIME + TICK, hearing=True)

    @property
    def doubts(self) -> bool:
        """Whether a proof from before this moment would not be good."""
        return self.peers.doubt_until >= self.clock.time

    def hear(self, **changes: Any) -> None:
        """Receive a full hint of another entry."""
        message = {"n": "e2", "i": "1", "a": ["127.0.0.1", 1], "l": {}, "e": {}, "v": {}}
        message |= {"x": False, "s": True, "j": [], "f": [], "w": {}, "q": []}
        self.peers._take(read_record(Hint, message | changes))

    def wait(self, duration: Millis, *, hearing: bool) -> None:
        """Let time pass."""
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time += TICK
            if hearing:
                self.hear()
            self.peers._notice_gaps(self.clock.time)


def _own_hint() -> OwnHint:
    return OwnHint(
        loads={},
        failures={},
        open_jobs=frozenset(),
        done_jobs=frozenset(),
        waiting={},
        versions={},
        leaving=False,
        store_ok=True,
    )


@pytest.fixture
def entry() -> Iterator[_Entry]:
    """An entry that has heard a peer for a while and doubts nothing."""
    found = _Entry()
    assert not found.doubts
    yield found


def test_a_separation_is_a_doubt_for_as_long_as_it_lasts(entry: _Entry) -> None:
    """The peer may end or take over a job at any time of it, through the store."""
    for _ in range(20):
        entry.wait(1_000.0, hearing=False)
        assert entry.doubts


def test_the_end_of_a_separation_is_a_doubt(entry: _Entry) -> None:
    """What the peer did before may have been told while nothing was heard."""
    entry.wait(40_000.0, hearing=False)
    entry.hear()
    assert entry.doubts


def test_a_peer_that_starts_anew_is_a_doubt(entry: _Entry) -> None:
    """Its earlier process may have ended a job and died before it told anybody."""
    entry.hear(i="2")
    assert entry.doubts


def test_a_peer_that_left_for_good_is_a_doubt_once(entry: _Entry) -> None:
    """It may have ended a job in its last moments, and its last hints may be lost."""
    entry.hear(x=True)
    entry.wait(800.0, hearing=False)
    assert not entry.doubts
    entry.wait(200.0, hearing=False)
    assert entry.doubts
    entry.wait(2_000.0, hearing=False)
    assert not entry.doubts


def test_hints_name_ended_jobs_and_those_of_the_version_before_do_not(entry: _Entry) -> None:
    entry.hear()
    assert entry.ended == []
    entry.hear(d=["j"])
    assert entry.ended == ["j"]
