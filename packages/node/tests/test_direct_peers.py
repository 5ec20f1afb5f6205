"""Hints between entries, and when they make an entry doubt that it still owns its jobs."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import cbor2
import pytest
from msgspec.structs import replace

from carobspool_core import Millis
from carobspool_core.direct import (
    OWNERSHIP_UNCERTAIN_TIME,
    UNKNOWN_SERVICE,
    Load,
    WaitingGroup,
    short_key_of,
)
from carobspool_core.records import read_record
from carobspool_node.direct._announcement import (
    Sender,
    encode_announcement,
    encode_announcement_for_previous_version,
)
from carobspool_node.direct._hint_receiver import MAX_DATAGRAM_BYTES, PeerCallbacks
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._load_hint import encode_load_hint, pack_loads
from carobspool_node.direct._peer import AnnouncementContent
from carobspool_node.direct._peer_messages import Announcement
from carobspool_node.direct._peers import HintSources, Peers
from carobspool_node.direct._telemetry import Telemetry

TICK: Millis = 100.0
ENGINE = "engine/1764700000000"


class _Clock:
    def __init__(self) -> None:
        self.time: Millis = 100_000.0

    def now(self) -> Millis:
        return self.time


class _Entry:
    """An entry whose clock and received hints the test controls."""

    def __init__(self) -> None:
        self.clock = _Clock()
        self.ended: list[str] = []
        self.jobs: list[tuple[str, list[str]]] = []
        self.loads: dict[str, Load] = {}
        self.backlog: Sequence[WaitingGroup] = ()
        self.peers = Peers(
            self.clock,
            Telemetry(),
            name="e1",
            incarnation="1",
            address=("127.0.0.1", 0),
            own=HintSources(
                loads=dict,
                backlog=tuple,
                urgent=lambda: None,
                describe=_own_hint,
                upstream_sharers=lambda: None,
                identities_by_key=lambda: {short_key_of(ENGINE): ENGINE},
            ),
        )
        events = PeerCallbacks(
            ended=self.ended.extend,
            jobs=lambda peer, job_ids: self.jobs.append((peer, list(job_ids))),
            loads=self._record_loads,
            backlog=self._record_backlog,
        )
        self.peers._events = self.peers._receiver._events = events
        self.hear()
        self.wait(OWNERSHIP_UNCERTAIN_TIME + TICK, hearing=True)

    @property
    def doubts(self) -> bool:
        """Whether a check of ownership made before now is invalid."""
        return self.peers.ownership_uncertain_until >= self.clock.time

    def hear(self, **changes: Any) -> None:
        """Receive an announcement of a peer, in the format of the previous version by default."""
        message = {"n": "e2", "i": "1", "a": ["127.0.0.1", 1], "l": {}, "e": {}, "v": {}}
        message |= {"x": False, "s": True, "j": [], "f": [], "w": {}, "q": []}
        self.peers._receiver.receive(message | changes)

    def _record_loads(
        self,
        peer: str,
        loads: Mapping[str, Load],
        failures: Mapping[str, int] | None,
        knows_starts: bool,
    ) -> None:
        self.loads = dict(loads)

    def _record_backlog(self, peer: str, groups: Sequence[WaitingGroup]) -> None:
        self.backlog = groups

    def wait(self, duration: Millis, *, hearing: bool) -> None:
        """Advance the clock, with an announcement of the peer at each tick if ``hearing``."""
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time += TICK
            if hearing:
                self.hear()
            self.peers._check_silence()


def _own_hint() -> AnnouncementContent:
    return AnnouncementContent(
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
    """An entry that has heard a peer for a while and has no doubt."""
    found = _Entry()
    assert not found.doubts
    yield found


def test_a_separation_is_a_doubt_for_as_long_as_it_lasts(entry: _Entry) -> None:
    """The peer may end or take over a job in the store at any time during the separation."""
    for _ in range(20):
        entry.wait(1_000.0, hearing=False)
        assert entry.doubts


def test_the_end_of_a_separation_is_a_doubt(entry: _Entry) -> None:
    """The peer may have announced its actions while its hints did not arrive."""
    entry.wait(40_000.0, hearing=False)
    entry.hear()
    assert entry.doubts


def test_a_restarted_peer_is_a_doubt(entry: _Entry) -> None:
    """Its earlier process may have ended a job and died before announcing that."""
    entry.hear(i="2")
    assert entry.doubts


def test_a_peer_that_left_for_good_is_a_doubt_once(entry: _Entry) -> None:
    """It may have ended a job just before it left, and its last hints may be lost."""
    entry.hear(x=True)
    entry.wait(800.0, hearing=False)
    assert not entry.doubts
    entry.wait(200.0, hearing=False)
    assert entry.doubts
    entry.wait(2_000.0, hearing=False)
    assert not entry.doubts


def test_announcements_name_ended_jobs_except_in_the_previous_version(entry: _Entry) -> None:
    entry.hear()
    assert entry.ended == []
    entry.hear(d=["j"])
    assert entry.ended == ["j"]


def test_announcements_name_the_jobs_of_their_sender(entry: _Entry) -> None:
    """An owner that misses a takeover of its job finds the job among those of the new owner."""
    entry.jobs.clear()
    entry.hear(j=["open"], f=["done"])
    assert entry.jobs == [("e2#1", ["open", "done"])]


def _load_hint(
    *,
    sequence: int,
    loads: Mapping[str, Load],
    incarnation: str = "1",
    backlog: Sequence[WaitingGroup] = (WaitingGroup(4_000.0, 3),),
) -> Any:
    return cbor2.loads(
        encode_load_hint(
            name="e2",
            incarnation=incarnation,
            sequence=sequence,
            loads=loads,
            backlog=backlog,
        )
    )


@pytest.mark.parametrize("services", [(7, 7), (7, 8)])
def test_hints_name_the_services_of_waiting_items(entry: _Entry, services: tuple[int, int]) -> None:
    """Guards against slots of one service that are held for items of another."""
    groups = [WaitingGroup(4_000.0, 3, services[0]), WaitingGroup(5_000.0, 2, services[1])]
    entry.hear(c=1)
    entry.peers._receiver.receive(_load_hint(sequence=2, loads={}, backlog=groups))
    assert list(entry.backlog) == groups
    sender = Sender(name="e2", incarnation="1", address=("127.0.0.1", 1))
    content = replace(_own_hint(), backlog=groups)
    entry.backlog = ()
    entry.peers._receiver.receive(
        cbor2.loads(encode_announcement(sender, content, sequence=3, silent=(), ended=()))
    )
    assert list(entry.backlog) == groups


def test_hints_of_the_previous_version_name_no_services(entry: _Entry) -> None:
    """Guards against hints that are refused while entries of two versions run."""
    entry.hear(c=1, p=[[4_000, 3]])
    assert list(entry.backlog) == [WaitingGroup(4_000.0, 3, UNKNOWN_SERVICE)]
    previous = _load_hint(sequence=2, loads={}, backlog=[WaitingGroup(4_000.0, 1, 7)])[:6]
    entry.peers._receiver.receive(previous)
    assert list(entry.backlog) == [WaitingGroup(4_000.0, 1, UNKNOWN_SERVICE)]


def test_a_load_hint_reports_the_requests_in_flight_at_its_sender(entry: _Entry) -> None:
    """Loads of upstreams that the reader does not know are skipped."""
    entry.hear(c=1)
    entry.peers._receiver.receive(
        _load_hint(sequence=2, loads={ENGINE: Load(3, 1), "other": Load(9, 9)})
    )
    assert entry.loads == {ENGINE: Load(3, 1)}


def test_a_late_hint_does_not_replace_a_newer_one(entry: _Entry) -> None:
    """Datagrams can arrive out of order; an older hint would leave outdated loads in place."""
    entry.hear(c=1)
    entry.peers._receiver.receive(_load_hint(sequence=4, loads={ENGINE: Load(4, 0)}))
    entry.peers._receiver.receive(_load_hint(sequence=3, loads={ENGINE: Load(3, 0)}))
    entry.hear(c=2, k=pack_loads({ENGINE: Load(2, 0)}))
    assert entry.loads == {ENGINE: Load(4, 0)}
    entry.hear(c=5, k=pack_loads({ENGINE: Load(5, 0)}))
    assert entry.loads == {ENGINE: Load(5, 0)}


def test_a_load_hint_of_an_earlier_process_is_ignored(entry: _Entry) -> None:
    """It may arrive after the next process's first announcement, and sequence numbers restart."""
    entry.hear(i="2", c=1)
    entry.peers._receiver.receive(_load_hint(sequence=90, loads={ENGINE: Load(9, 0)}))
    assert entry.loads == {}
    entry.peers._receiver.receive(
        _load_hint(sequence=2, loads={ENGINE: Load(1, 0)}, incarnation="2")
    )
    assert entry.loads == {ENGINE: Load(1, 0)}


def test_load_hints_keep_a_peer_alive(entry: _Entry) -> None:
    """Announcements may be lost for a while; a peer whose load hints arrive is not separated."""
    entry.hear(c=1)
    for number in range(2, 40):
        entry.clock.time += TICK
        entry.peers._receiver.receive(_load_hint(sequence=number, loads={}))
        entry.peers._check_silence()
        assert not entry.doubts


def test_an_announcement_without_jobs_keeps_the_known_jobs(entry: _Entry) -> None:
    """Not every announcement names the jobs. If the reader dropped them in between, it would read
    results from the store and take no job over when the owner is lost."""
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
        assert entry.peers.find_job_peer(job_id) is not None


def test_each_version_is_sent_hints_that_it_can_read(entry: _Entry) -> None:
    """An entry of the previous version reads neither load hints nor packed loads."""
    entry.hear()
    assert entry.peers._table.targets() == HintTargets(
        current={}, count_readers=frozenset(), others=[("127.0.0.1", 1)]
    )
    entry.hear(c=1)
    assert entry.peers._table.targets() == HintTargets(
        current={"e2": ("127.0.0.1", 1)}, count_readers=frozenset(), others=[]
    )
    sender = Sender(name="e1", incarnation="1", address=("127.0.0.1", 7))
    hint = replace(_own_hint(), loads={ENGINE: Load(2, 1)}, open_jobs=frozenset({"j"}))
    message = cbor2.loads(
        encode_announcement_for_previous_version(
            sender, hint, sequence=1, silent=["e3"], ended=["k"]
        )
    )
    assert message["l"] == {"engine": [2, 1]}
    assert message["b"] == {"engine": 1764700000000}
    assert (message["j"], message["q"], message["d"]) == (["j"], ["e3"], ["k"])


@pytest.fixture
def sent(entry: _Entry, monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """A list to which the entry's sent messages are added, decoded."""
    found: list[Any] = []

    def send(data: bytes, addresses: Any) -> None:
        found.extend([cbor2.loads(data)] * len(addresses))

    monkeypatch.setattr(entry.peers._hints, "_send", send)
    return found


def test_a_new_process_is_sent_one_announcement(entry: _Entry, sent: list[Any]) -> None:
    """A process ignores load hints of a peer whose announcement it has not received."""
    entry.hear(n="e3", i="7", c=1)
    entry.peers._announce_to_new_peers()
    entry.peers._announce_to_new_peers()
    assert [each["n"] for each in sent] == ["e1"]


def test_heartbeats_are_announcements_after_a_change_and_periodically(
    entry: _Entry, sent: list[Any]
) -> None:
    """The next heartbeats make up for a lost announcement; after that most are load hints."""
    entry.hear(c=1)
    entry.peers.announce()
    kinds = []
    for _ in range(9):
        entry.clock.time += 500.0
        entry.hear(c=1)
        sent.clear()
        entry.peers._send_heartbeat(entry.clock.time)
        kinds.append("loads" if isinstance(sent[-1], list) else "all")
    assert kinds[:2] == ["all", "all"]
    assert "loads" in kinds[2:]
    assert "all" in kinds[3:]


def test_each_heartbeat_announces_silent_peers(entry: _Entry, sent: list[Any]) -> None:
    """So a peer that is not heard learns within a second that it has to doubt its jobs."""
    entry.hear(c=1)
    entry.hear(n="e3", i="7", c=1)
    entry.clock.time += 5_000.0
    entry.hear(c=2)
    entry.peers._send_heartbeat(entry.clock.time)
    entry.clock.time += 500.0
    entry.hear(c=3)
    sent.clear()
    entry.peers._send_heartbeat(entry.clock.time)
    assert all(each["q"] == ["e3"] for each in sent if isinstance(each, dict))
    assert any(isinstance(each, dict) for each in sent)


@pytest.mark.parametrize(
    "encode", [encode_announcement, encode_announcement_for_previous_version], ids=["now", "before"]
)
@pytest.mark.parametrize("count", [10, 1_000, 5_000, 100_000])
def test_an_announcement_of_many_jobs_fits_into_a_datagram(encode: Any, count: int) -> None:
    """Guards against announcements that never arrive: peers learned of no end and no release, and
    took the sender for gone."""
    sender = Sender(name="e1", incarnation="1", address=("127.0.0.1", 1))
    content = replace(
        _own_hint(),
        open_jobs=frozenset(f"{number:032d}" for number in range(count)),
        done_jobs=frozenset(f"done{number}" for number in range(64)),
        released=frozenset({"released"}),
    )
    data = encode(sender, content, sequence=3, silent=(), ended=["ended"])
    assert len(data) <= MAX_DATAGRAM_BYTES
    read = read_record(Announcement, cbor2.loads(data))
    assert read.ended == ["ended"]
    assert read.released == ["released"]
    assert read.open_jobs is not None
    assert len(read.open_jobs) >= min(count, 1_500)
    assert read.open_jobs == sorted(content.open_jobs)[: len(read.open_jobs)]
    assert len(read.done_jobs) == 64 or count > 1_000
