"""When an entry has to doubt that its jobs are still its own, by the hints that it hears."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import cbor2
import pytest
from msgspec.structs import replace

from carobspool_core import Millis
from carobspool_core.direct import DOUBT_TIME, Load, WaitingGroup, key_of
from carobspool_node.direct._announcement import Sender, encode_for_version_before
from carobspool_node.direct._hint_receiver import PeerEvents
from carobspool_node.direct._load_hint import encode_load_hint, pack_loads
from carobspool_node.direct._peer import OwnHint
from carobspool_node.direct._peer_table import Targets
from carobspool_node.direct._peers import OwnState, Peers
from carobspool_node.direct._telemetry import Telemetry

TICK: Millis = 100.0
ENGINE = "engine/1764700000000"


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
        self.loads: dict[str, Load] = {}
        self.peers = Peers(
            self.clock,
            Telemetry(),
            name="e1",
            incarnation="1",
            address=("127.0.0.1", 0),
            own=OwnState(
                loads=dict,
                backlog=tuple,
                urgent=lambda: None,
                describe=_own_hint,
                shares_upstreams=lambda: None,
                identities_by_key=lambda: {key_of(ENGINE): ENGINE},
            ),
        )
        events = PeerEvents(ended=self.ended.extend, loads=self._take_loads)
        self.peers._events = self.peers._receiver._events = events
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
        self.peers._receiver.receive(message | changes)

    def _take_loads(
        self,
        peer: str,
        loads: Mapping[str, Load],
        failures: Mapping[str, int] | None,
        knows_starts: bool,
    ) -> None:
        self.loads = dict(loads)

    def wait(self, duration: Millis, *, hearing: bool) -> None:
        """Let time pass."""
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time += TICK
            if hearing:
                self.hear()
            self.peers._notice_silence()


def _own_hint() -> OwnHint:
    return OwnHint(
        loads={},
        failures={},
        open_jobs=frozenset(),
        done_jobs=frozenset(),
        waiting={},
        versions={},
        leaving=False,
        released=frozenset(),
        store_ok=True,
        backlog=(),
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


def _load_hint(*, sequence: int, loads: Mapping[str, Load], incarnation: str = "1") -> Any:
    return cbor2.loads(
        encode_load_hint(
            name="e2",
            incarnation=incarnation,
            sequence=sequence,
            loads=loads,
            backlog=[WaitingGroup(4_000.0, 3)],
        )
    )


def test_a_load_hint_tells_what_its_sender_has_in_flight(entry: _Entry) -> None:
    """Upstreams that the reader does not know are left out."""
    entry.hear(c=1)
    entry.peers._receiver.receive(
        _load_hint(sequence=2, loads={ENGINE: Load(3, 1), "other": Load(9, 9)})
    )
    assert entry.loads == {ENGINE: Load(3, 1)}


def test_a_hint_that_comes_late_does_not_undo_a_newer_one(entry: _Entry) -> None:
    """Datagrams overtake each other; loads of an earlier moment would stand until the next one."""
    entry.hear(c=1)
    entry.peers._receiver.receive(_load_hint(sequence=4, loads={ENGINE: Load(4, 0)}))
    entry.peers._receiver.receive(_load_hint(sequence=3, loads={ENGINE: Load(3, 0)}))
    entry.hear(c=2, k=pack_loads({ENGINE: Load(2, 0)}))
    assert entry.loads == {ENGINE: Load(4, 0)}
    entry.hear(c=5, k=pack_loads({ENGINE: Load(5, 0)}))
    assert entry.loads == {ENGINE: Load(5, 0)}


def test_a_load_hint_of_a_process_that_is_gone_counts_for_nothing(entry: _Entry) -> None:
    """It may arrive after the first announcement of the next process, and numbers start anew."""
    entry.hear(i="2", c=1)
    entry.peers._receiver.receive(_load_hint(sequence=90, loads={ENGINE: Load(9, 0)}))
    assert entry.loads == {}
    entry.peers._receiver.receive(
        _load_hint(sequence=2, loads={ENGINE: Load(1, 0)}, incarnation="2")
    )
    assert entry.loads == {ENGINE: Load(1, 0)}


def test_load_hints_keep_a_peer_alive(entry: _Entry) -> None:
    """Announcements may all be lost for a while; whoever is heard at all is not separated."""
    entry.hear(c=1)
    for number in range(2, 40):
        entry.clock.time += TICK
        entry.peers._receiver.receive(_load_hint(sequence=number, loads={}))
        entry.peers._notice_silence()
        assert not entry.doubts


def test_announcements_without_jobs_leave_those_known(entry: _Entry) -> None:
    """Jobs are named when they change and now and then; a reader that forgot them in between would
    ask the store for results, and take nothing over when their owner is lost."""
    entry.hear(c=1, j=["j"], f=["k"])
    entry.peers._receiver.receive(
        {
            "n": "e2",
            "i": "1",
            "a": ["127.0.0.1", 1],
            "e": {},
            "v": {},
            "x": False,
            "s": True,
            "c": 2,
        }
    )
    for job_id in ("j", "k"):
        assert entry.peers.holder_of(job_id) is not None


def test_both_versions_are_told_what_they_understand(entry: _Entry) -> None:
    """An entry of the version before reads neither load hints nor packed loads."""
    entry.hear()
    assert entry.peers._table.targets() == Targets(
        current={}, counting=frozenset(), others=[("127.0.0.1", 1)]
    )
    entry.hear(c=1)
    assert entry.peers._table.targets() == Targets(
        current={"e2": ("127.0.0.1", 1)}, counting=frozenset(), others=[]
    )
    sender = Sender(name="e1", incarnation="1", address=("127.0.0.1", 7))
    hint = replace(_own_hint(), loads={ENGINE: Load(2, 1)}, open_jobs=frozenset({"j"}))
    told = cbor2.loads(
        encode_for_version_before(sender, hint, sequence=1, silent=["e3"], ended=["k"])
    )
    assert told["l"] == {"engine": [2, 1]}
    assert told["b"] == {"engine": 1764700000000}
    assert (told["j"], told["q"], told["d"]) == (["j"], ["e3"], ["k"])


@pytest.fixture
def sent(entry: _Entry, monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """Return what the entry sends, decoded, as it grows."""
    found: list[Any] = []

    def send(data: bytes, addresses: Any) -> None:
        found.extend([cbor2.loads(data)] * len(addresses))

    monkeypatch.setattr(entry.peers._hints, "_send", send)
    return found


def test_a_process_that_has_just_started_is_told_everything_once(
    entry: _Entry, sent: list[Any]
) -> None:
    """It understands no load hint of a peer whose announcement it has not heard."""
    entry.hear(n="e3", i="7", c=1)
    entry.peers._greet_newcomers()
    entry.peers._greet_newcomers()
    assert [each["n"] for each in sent] == ["e1"]


def test_a_heartbeat_announces_after_a_change_and_now_and_then(
    entry: _Entry, sent: list[Any]
) -> None:
    """A lost announcement is made up for by the next heartbeats; after that they cost little."""
    entry.hear(c=1)
    entry.peers.announce()
    kinds = []
    for _ in range(9):
        entry.clock.time += 500.0
        entry.hear(c=1)
        sent.clear()
        entry.peers._beat(entry.clock.time)
        kinds.append("loads" if isinstance(sent[-1], list) else "all")
    assert kinds[:2] == ["all", "all"]
    assert "loads" in kinds[2:]
    assert "all" in kinds[3:]


def test_silence_and_ends_are_announced_with_each_heartbeat(entry: _Entry, sent: list[Any]) -> None:
    """The one that is not heard learns by it that it has to doubt its jobs, within a second."""
    entry.hear(c=1)
    entry.hear(n="e3", i="7", c=1)
    entry.clock.time += 5_000.0
    entry.hear(c=2)
    entry.peers._beat(entry.clock.time)
    entry.clock.time += 500.0
    entry.hear(c=3)
    sent.clear()
    entry.peers._beat(entry.clock.time)
    assert all(each["q"] == ["e3"] for each in sent if isinstance(each, dict))
    assert any(isinstance(each, dict) for each in sent)
