"""Evidence against requests that crash upstreams, at one entry and among many."""

from __future__ import annotations

import random
from collections.abc import Sequence

import cbor2
import pytest

from carobspool_core import Json, ManualClock, SuspectTable, SuspectUpdate, VerdictKind
from carobspool_core.direct import Upstream, request_fingerprint
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct._crash_isolation import (
    CRASHES_TO_QUARANTINE,
    ITEM_PAUSE,
    ONLINE_PAUSE,
    PULL_INTERVAL,
    CrashIsolation,
)
from carobspool_node.direct._peer import QUARANTINES
from carobspool_node.direct._suspect_messages import (
    SuspectState,
    encode_suspects_hint,
    read_suspects_hint,
)
from carobspool_node.direct._telemetry import Telemetry

CULPRIT = "culprit"
ENTRIES = 300
MAX_LATE_RETRIES = 3
"""RULES.md, BUDGET: retries that reach servers after the stability window."""


class Entry:
    """The isolation of one entry, with what it has told and saved."""

    def __init__(self, clock: ManualClock) -> None:
        self.told: list[SuspectUpdate] = []
        self.saved: list[SuspectUpdate] = []
        self.isolation = CrashIsolation(
            clock, Telemetry(), tell=self.told.extend, save=self.saved.append
        )

    def verdict(self, fingerprint: str = CULPRIT) -> VerdictKind:
        """Return whether the request may run here."""
        return self.isolation.check(lambda: (fingerprint,)).kind

    def receive(self, updates: Sequence[SuspectUpdate]) -> None:
        """Receive a hint from another entry."""
        data = encode_suspects_hint(name="e", incarnation="1", updates=updates)
        hint = read_suspects_hint(cbor2.loads(data))
        assert hint is not None
        self.isolation.merge(hint.suspects)

    def take_told(self) -> list[SuspectUpdate]:
        """Return and clear what was told since the last call."""
        told = list(self.told)
        self.told.clear()
        return told


def _upstream(number: int) -> Upstream:
    return Upstream(
        instance=f"i-{number}",
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="a",
        slots=8,
        ready=True,
    )


def _crash(entry: Entry, number: int) -> None:
    entry.isolation.record_crash((CULPRIT,), _upstream(number))


def test_a_request_is_recognised_by_content_and_organisation() -> None:
    """Guards against copies that differ only in headers, and against another caller's refusal."""
    request = {"method": b"POST", "host": "h", "target": b"/a", "body": b"b"}
    found = request_fingerprint(organisation="o", **request)  # type: ignore[arg-type]
    assert found == request_fingerprint(organisation="o", **request)  # type: ignore[arg-type]
    for change in ({"method": b"PUT"}, {"host": "i"}, {"target": b"/ab"}, {"body": b""}):
        changed = request | change
        assert found != request_fingerprint(organisation="o", **changed)  # type: ignore[arg-type]
    assert found != request_fingerprint(organisation="p", **request)  # type: ignore[arg-type]


def test_three_hundred_entries_stop_a_request_although_hints_are_lost() -> None:
    """Guards against a culprit that goes on through entries that missed hints of its crashes."""
    clock = ManualClock()
    for seed in range(10):
        draw = random.Random(seed)
        entries = [Entry(clock) for _ in range(ENTRIES)]
        runs = 0
        for _ in range(60):
            entry = draw.choice(entries)
            if entry.verdict() is not VerdictKind.QUARANTINED:
                runs += 1
                _crash(entry, runs)
            told = entry.take_told()
            for other in entries:
                if told and other is not entry and draw.random() < 0.9:
                    other.receive(told)
            clock.advance(PULL_INTERVAL)
            for other in entries:
                peer = draw.choice(entries)
                if other.isolation.should_pull(peer.isolation.versions()):
                    other.isolation.adopt(peer.isolation.quarantines_to_send())
        assert runs <= CRASHES_TO_QUARANTINE + MAX_LATE_RETRIES
        assert {each.verdict() for each in entries} == {VerdictKind.QUARANTINED}


def test_entries_that_learn_of_each_others_crash_last_both_save_the_quarantine() -> None:
    """Guards against a quarantine that is in no store since each entry left it to the other."""
    clock = ManualClock()
    one, other = Entry(clock), Entry(clock)
    _crash(one, 1)
    other.receive(one.take_told())
    _crash(one, 2)
    _crash(other, 3)
    told_by_one, told_by_other = one.take_told(), other.take_told()
    assert (one.saved, other.saved) == ([], [])
    one.receive(told_by_other)
    other.receive(told_by_one)
    assert [len(each.saved) for each in (one, other)] == [1, 1]


def test_a_completed_suspect_is_cleared_at_all_entries() -> None:
    """Guards against evidence that adds up over days although the request ran in between."""
    clock = ManualClock()
    one, other = Entry(clock), Entry(clock)
    for number in range(2 * CRASHES_TO_QUARANTINE):
        _crash(one, number)
        other.receive(one.take_told())
        assert other.verdict() is VerdictKind.SUSPECT
        other.isolation.record_completion(lambda: (CULPRIT,))
        one.receive(other.take_told())
        assert one.verdict() is VerdictKind.CLEAR


def test_copies_at_one_upstream_are_one_crash() -> None:
    """Guards against a quarantine after one crash with several copies in flight."""
    entry = Entry(ManualClock())
    for _ in range(CRASHES_TO_QUARANTINE):
        _crash(entry, 1)
    assert entry.verdict() is VerdictKind.SUSPECT


def test_the_pause_of_an_item_doubles_with_each_crash() -> None:
    """Guards against a batch item that crashes a server in each of its runs without a pause."""
    clock = ManualClock()
    entry = Entry(clock)
    pauses = []
    for number in range(CRASHES_TO_QUARANTINE + 2):
        clock.advance(1_000.0)
        _crash(entry, number)
        not_before = entry.isolation.item_not_before(lambda: CULPRIT)
        pauses.append(max(0.0, not_before - clock.now()))
    assert pauses == [0.0, 0.0, ITEM_PAUSE, 2 * ITEM_PAUSE, 4 * ITEM_PAUSE]


def test_a_quarantined_request_runs_again_after_a_pause_that_doubles() -> None:
    """Guards against refusing for good what was at three crashes by chance."""
    clock = ManualClock()
    entry = Entry(clock)
    for number in range(CRASHES_TO_QUARANTINE):
        _crash(entry, number)
    for excess in range(3):
        clock.advance(ONLINE_PAUSE * 2.0**excess - 1.0)
        assert entry.verdict() is VerdictKind.QUARANTINED
        clock.advance(1.0)
        assert entry.verdict() is VerdictKind.SUSPECT
        _crash(entry, CRASHES_TO_QUARANTINE + excess)


def test_a_lifted_quarantine_reaches_entries_that_missed_the_hint() -> None:
    """Guards against entries that differ for good in whether a request is refused."""
    clock = ManualClock()
    one, other = Entry(clock), Entry(clock)
    for number in range(CRASHES_TO_QUARANTINE):
        _crash(one, number)
        other.receive(one.take_told())
    one.isolation.record_completion(lambda: (CULPRIT,))
    assert [each.quarantined for each in one.saved] == [True, False]
    assert other.verdict() is VerdictKind.QUARANTINED
    assert other.isolation.should_pull(one.isolation.versions())
    other.isolation.adopt(one.isolation.quarantines_to_send())
    assert other.verdict() is VerdictKind.CLEAR
    assert one.isolation.versions() == other.isolation.versions()


def test_reading_a_quarantine_does_not_renew_it() -> None:
    """Guards against quarantines whose retention begins anew at each start of an entry."""
    clock = ManualClock()
    entry = Entry(clock)
    state = SuspectState(fingerprint=CULPRIT, values={"crashes": "a b c"}, age=5_000.0)
    entry.isolation.merge([state])
    (sent,) = entry.isolation.quarantines_to_send()["suspects"]
    assert sent["o"] == 5_000


def test_the_digest_is_not_computed_again_for_suspects(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a pass over all suspects at each of hundreds of announcements a second."""
    entry = Entry(ManualClock())
    _crash(entry, 1)
    entry.isolation.versions()
    monkeypatch.setattr(SuspectTable, "quarantines", None)
    for number in range(3):
        _crash(entry, 1)
        entry.receive([SuspectUpdate(fingerprint="f", quarantined=False, values={"crashes": "a"})])
        entry.isolation.record_completion(lambda: (CULPRIT,))
        _crash(entry, 2 + number)
        assert entry.isolation.versions() == {QUARANTINES: 0}


def test_one_read_in_an_interval_although_all_peers_differ() -> None:
    """Guards against hundreds of calls when hundreds of entries announce a new digest."""
    clock = ManualClock()
    entry = Entry(clock)
    pulls = [entry.isolation.should_pull({QUARANTINES: number}) for number in range(1, 300)]
    assert sum(pulls) == 1
    clock.advance(PULL_INTERVAL)
    assert entry.isolation.should_pull({QUARANTINES: 1})
    assert not entry.isolation.should_pull({})


@pytest.mark.parametrize(
    "message",
    [
        ["s"],
        ["s", "e", "1", "x"],
        ["s", "e", "1", [1]],
        ["s", "e", "1", [{"f": "x"}]],
        ["s", "e", "1", [{"f": 1, "c": []}]],
        ["s", "e", "1", [{"f": "x", "c": [1]}]],
        ["s", "e", "1", [{"f": "x", "c": ["i"] * 1_000}]],
        ["s", "e", "1", [{"f": "x", "c": ["i"], "o": -1}]],
    ],
)
def test_an_invalid_hint_is_rejected(message: Json) -> None:
    with pytest.raises(UnusableRecordError):
        read_suspects_hint(message)
