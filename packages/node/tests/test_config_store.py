"""Tests of following, applying and the audit trail of the configuration."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import pytest
from returns.result import Result

from carobspool_core import (
    BatchShaping,
    Caller,
    CallerRole,
    Configuration,
    DesiredState,
    ManualClock,
    Organisation,
    audit_to_json,
)
from carobspool_core.revision import pack_delta, unpack_delta
from carobspool_node.configuration import (
    Applied,
    ApplyError,
    ConfigurationFollower,
    Conflict,
    InvalidTogether,
    UnknownBase,
    apply_state,
    audit,
    follow,
    history,
    make_follower,
    preview_state,
)
from carobspool_node.configuration._drains import drained_hosts, set_drain
from carobspool_node.configuration._prune import prune_after
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

OPERATOR = Caller(id="op", organisation="ops", key_hashes=("f" * 64,), role=CallerRole.OPERATOR)


def organisations(**weights: float) -> DesiredState:
    """Return a state with an operator and organisations of the given weights."""
    entries = {name: Organisation(name=name, weight=each) for name, each in weights.items()}
    entries["ops"] = Organisation(name="ops")
    return DesiredState(organisations=entries, callers={"op": OPERATOR})


class Node:
    """One process: a view of the store and a follower."""

    def __init__(self, objects: MemoryObjects, name: str) -> None:
        self.name = name
        self.store = MemoryStore(objects, name)
        self.follower: ConfigurationFollower = make_follower(self.store, ManualClock())

    def apply(self, base: int, state: DesiredState, at: int = 1) -> Applied:
        """Apply a state and return how it was accepted."""
        return self.outcome(base, state, at).unwrap()

    def outcome(self, base: int, state: DesiredState, at: int = 1) -> Result[Applied, ApplyError]:
        """Apply a state and return what became of it."""
        reason = f"by {self.name}"
        return apply_state(
            self.store, self.follower, base, state, self.name, reason, now=lambda: at
        )


@pytest.fixture
def objects() -> MemoryObjects:
    """Return an empty store."""
    return MemoryObjects()


def test_applied_state_is_followed_by_another_process(objects: MemoryObjects) -> None:
    """What one entry accepts another reads back as it was."""
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    assert ana.apply(0, organisations(press=2.0)).revision == 1
    assert rui.follower.refresh().unwrap()
    assert rui.follower.state == replace(organisations(press=2.0), revision=1)
    assert not rui.follower.refresh().unwrap()


def test_disjoint_changes_on_one_base_merge(objects: MemoryObjects) -> None:
    """Two operators who change different entries from one base both succeed."""
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0, b=1.0))
    ana.apply(1, organisations(a=2.0, b=1.0))
    applied = rui.apply(1, organisations(a=1.0, b=3.0))
    assert (applied.revision, applied.over) == (3, (2,))
    assert rui.follower.state.organisations == organisations(a=2.0, b=3.0).organisations


def test_conflict_names_the_others_change(objects: MemoryObjects) -> None:
    """The loser of a race learns who changed what, when and why, and nothing is applied.

    Both operators start from revision 1. The first sets a weight; the second sets another weight of
    the same organisation and would undo the first change without having seen it.
    """
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0, b=1.0))
    ana.apply(1, organisations(a=2.0, b=1.0), at=77)
    ana.apply(2, organisations(a=2.0, b=5.0))
    conflict = rui.outcome(1, organisations(a=3.0, b=1.0)).failure()
    assert isinstance(conflict, Conflict)
    (item,) = conflict.items
    assert item.by is not None
    assert (item.by.author, item.by.at, item.by.reason) == ("ana", 77, "by ana")
    assert item.mine.subject == "organisations/a"
    assert item.theirs.after == Organisation(name="a", weight=2.0)
    assert len(history(ana.store, 0, 10).unwrap()) == 3


def test_merge_that_is_invalid_as_a_whole_is_refused(objects: MemoryObjects) -> None:
    """A caller added to an organisation that another removed meanwhile is refused."""
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0, b=1.0))
    ana.apply(1, organisations(b=1.0))
    caller = Caller(id="c", organisation="a", key_hashes=("0" * 64,))
    mine = organisations(a=1.0, b=1.0)
    error = rui.outcome(1, replace(mine, callers=mine.callers | {"c": caller})).failure()
    assert isinstance(error, InvalidTogether)
    assert error.errors[0].path == "callers[0].organisation"
    assert error.over[0].author == "ana"


def test_a_base_that_never_was_is_refused(objects: MemoryObjects) -> None:
    """A base above the head is an error of its own."""
    error = Node(objects, "ana").outcome(4, organisations(a=1.0)).failure()
    assert error == UnknownBase(base=4, head=0)


def test_a_preview_writes_nothing(objects: MemoryObjects) -> None:
    """A preview tells the changes, and the store stays as it was."""
    node = Node(objects, "ana")
    preview = preview_state(node.store, node.follower, 0, organisations(a=1.0)).unwrap()
    subjects = [change.subject for change in preview.changes]
    assert subjects == ["organisations/a", "organisations/ops", "callers/op"]
    assert objects.revision == 0


def test_racing_operators_lose_no_change(objects: MemoryObjects) -> None:
    """Every change that was accepted is in the last revision, and revisions have no gap."""
    Node(objects, "first").apply(0, organisations(base=1.0))

    def add(number: int) -> int:
        node = Node(objects, f"op{number}")
        return node.apply(1, organisations(base=1.0, **{f"o{number}": 1.0})).revision

    with ThreadPoolExecutor(8) as pool:
        revisions = sorted(pool.map(add, range(8)))
    assert revisions == list(range(2, 10))
    last = Node(objects, "last")
    last.follower.refresh().unwrap()
    assert len(last.follower.state.organisations) == 10


def test_revision_whose_author_died_before_the_head_is_in_force(objects: MemoryObjects) -> None:
    """An operator's entry dies after the revision is written and before the head moves.

    The revision is accepted: a process that reads the head finds it, and the next apply stands on
    it instead of taking its number.
    """
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0))
    ana.store.inject(FaultRule(kind=FaultKind.REFUSED, prefix="config/head"))
    ana.apply(1, organisations(a=2.0))
    assert objects.value("config/head") == {"revision": 1}
    assert rui.apply(1, organisations(a=1.0, b=1.0)).revision == 3
    assert rui.follower.state.organisations == organisations(a=2.0, b=1.0).organisations
    assert objects.value("config/head") == {"revision": 3}


def test_peers_bring_a_revision_during_an_outage(objects: MemoryObjects) -> None:
    """The store goes down right after an acceptance; an entry restarted then gets it from a peer.

    The peer first announces digests alone, is told that parts are missing, and sends just those.
    """
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0, b=1.0))
    rui.follower.refresh()
    ana.apply(1, organisations(a=2.0, b=1.0))
    rui.store.outage = True
    announcement = ana.follower.message_for(ana.follower.digests)
    assert not rui.follower.offer(announcement)
    assert rui.follower.lacking(announcement)
    full = ana.follower.message_for(rui.follower.digests)
    assert len(full.values) == 1
    assert rui.follower.offer(full)
    assert rui.follower.state == ana.follower.state
    assert not rui.follower.refresh().value_or(False)


def test_news_of_the_next_revision_is_its_changes_alone(objects: MemoryObjects) -> None:
    """A peer that has the revision before takes the changes; one that has not asks for parts."""
    ana, rui, new = Node(objects, "ana"), Node(objects, "rui"), Node(objects, "new")
    ana.apply(0, organisations(a=1.0, b=1.0))
    rui.follower.refresh()
    ana.apply(1, replace(organisations(a=2.0), batch=BatchShaping(chunk_items=9)))
    news = ana.follower.news()
    assert not news.parts
    assert rui.follower.offer(news)
    assert rui.follower.state == ana.follower.state
    assert rui.follower.digests == ana.follower.digests
    assert not new.follower.offer(news)
    assert new.follower.lacking(news)
    assert new.follower.offer(ana.follower.message_for(new.follower.digests))


def test_changes_that_lead_elsewhere_are_refused(objects: MemoryObjects) -> None:
    """Changes whose result is not what the revision's digests name are not taken.

    A peer of another build could write an entry differently; its changes would then bring a state
    into force that no operator applied. The parts are read instead.
    """
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0))
    rui.follower.refresh()
    ana.apply(1, organisations(a=2.0))
    delta = unpack_delta(ana.follower.news().values["delta"]).unwrap()
    wrong = replace(delta, root="0" * 32)
    message = Configuration(revision=2, values={"delta": pack_delta(wrong)})
    assert not rui.follower.offer(message)
    assert not rui.follower.offer(replace(message, values={"delta": "?"}))
    assert rui.follower.revision == 1
    assert rui.follower.lacking(message)


def test_an_old_revision_that_arrives_late_is_ignored(objects: MemoryObjects) -> None:
    """Neither a peer's late message nor a store that lags takes a process back."""
    ana = Node(objects, "ana")
    ana.apply(0, organisations(a=1.0))
    old = ana.follower.message_for(())
    seen: list[int] = []
    ana.follower.on_change(lambda state: seen.append(state.revision))
    ana.apply(1, organisations(a=2.0))
    assert not ana.follower.offer(old)
    assert (ana.follower.revision, seen) == (2, [2])


def test_a_damaged_message_changes_nothing(objects: MemoryObjects) -> None:
    """A peer's values that are not what their digests name are refused whole."""
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0))
    message = ana.follower.message_for(())
    damaged = replace(message, values=dict.fromkeys(message.values, "AAAA"))
    assert not rui.follower.offer(damaged)
    assert rui.follower.revision == 0


def test_watch_brings_changes_without_reading_parts(objects: MemoryObjects) -> None:
    """A follower on a watch takes a revision and its parts from the events alone."""
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0))
    stop = threading.Event()
    reached = threading.Event()
    rui.follower.on_change(lambda state: reached.set() if state.revision == 2 else None)
    thread = threading.Thread(
        target=follow, args=(rui.store, rui.follower, stop), kwargs={"watch_time": 50.0}
    )
    thread.start()
    while rui.follower.unconfirmed_for is None or rui.store.calls.get("watch", 0) == 0:
        time.sleep(0.001)
    reads = rui.store.calls["get"]
    ana.apply(1, organisations(a=2.0))
    assert reached.wait(5)
    stop.set()
    thread.join(5)
    assert rui.store.calls["get"] == reads


def test_audit_trail_tells_all_kinds(objects: MemoryObjects) -> None:
    """Revisions, drains and cancels stand in one trail, newest first, with before and after."""
    ana = Node(objects, "ana")
    ana.apply(0, organisations(a=1.0), at=10)
    drain = set_drain(ana.store, "up-1", True, "rui", "fans", now=lambda: 30).unwrap()
    assert drain is not None
    cancel = replace(drain, at=20, kind="cancel", subject="batch_1", before="running")
    ana.store.create("jobs/batch_1", {"audit": [audit_to_json(cancel)]}).unwrap()
    records = audit(ana.store, 10).unwrap()
    assert [(each.kind, each.subject) for each in records] == [
        ("drain", "up-1"),
        ("cancel", "batch_1"),
        ("configuration", "1"),
    ]
    assert records[2].after["organisations/a"]["weight"] == 1.0
    assert audit(ana.store, 1).unwrap() == records[:1]


def test_drain_and_return(objects: MemoryObjects) -> None:
    """A host is drained once, and returned; a lost answer is settled without a second record."""
    store = MemoryStore(objects, "entry")
    store.inject(FaultRule(kind=FaultKind.UNKNOWN_AFTER, prefix="drains/"))
    assert set_drain(store, "up-1", True, "ana", "fans").unwrap() is not None
    assert set_drain(store, "up-1", True, "ana", "again").unwrap() is None
    assert drained_hosts(store).unwrap() == {"up-1"}
    assert set_drain(store, "up-1", False, "ana", "done").unwrap() is not None
    assert drained_hosts(store).unwrap() == frozenset()
    assert len(objects.value("drains/up-1")["audit"]) == 2
    store.outage = True
    assert set_drain(store, "up-1", True, "ana", "x").failure().unknown is False


def test_parts_of_old_revisions_are_pruned_unless_used_again(objects: MemoryObjects) -> None:
    """What only an old revision used is removed; what a later one took up again stays.

    Revision 3 returns to the content of revision 1, whose parts stand in the store still. Pruning
    for revision 1 comes later and must not take them away.
    """
    ana, rui = Node(objects, "ana"), Node(objects, "rui")
    ana.apply(0, organisations(a=1.0))
    first = ana.follower.digests
    ana.apply(1, organisations(a=2.0))
    second = ana.follower.digests
    ana.apply(2, organisations(a=1.0))
    assert prune_after(ana.store, 3, kept=2) == 0
    assert prune_after(ana.store, 3, kept=1) == 1
    assert rui.follower.refresh().unwrap()
    (gone,) = second - first
    assert objects.value(f"config/parts/{gone}") is None
    assert prune_after(ana.store, 2) == 0
