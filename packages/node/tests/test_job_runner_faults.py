"""The batch runner under faults: entries die and freeze, answers of the store are lost."""

from __future__ import annotations

import time
from collections import Counter
from random import Random

import pytest
from _job_fleet import TTL, Fleet, Node, assert_whole, until

from carobspool_core import JobStatus, preferred_node
from carobspool_standins.memory_store import FaultKind, FaultRule


def test_killed_owner_is_replaced(fleet: Fleet) -> None:
    """A caller sees the whole job although one of two entries dies half way.

    Both hold chunks with items running; one dies and commits nothing. Its lease expires, the other
    takes its chunks over and runs what had no result.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.03
    job = fleet.submit(200)
    until(lambda: len(fleet.holders()) == 2)
    fleet.nodes["b"].kill()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 200)


def test_frozen_owner_wakes_after_its_lease(fleet: Fleet) -> None:
    """A caller sees each result once although a paused entry wakes with claims it has lost.

    One of two entries freezes with chunks in hand; its lease expires and the other finishes them.
    The thawed one's writes are refused by version; it reads its claims again and leaves them.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(160)
    until(lambda: len(fleet.holders()) == 2)
    fleet.nodes["b"].freeze()
    until(lambda: fleet.nodes["a"].members.available_nodes() == ("a",))
    time.sleep(1.2)
    fleet.nodes["b"].thaw()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 160)
    until(lambda: fleet.nodes["b"].runner.chunks_held == 0)


@pytest.mark.parametrize("kind", [FaultKind.UNKNOWN_AFTER, FaultKind.UNKNOWN_BEFORE])
@pytest.mark.parametrize("prefix", ["chunks/", "jobs/", "nodes/", "open/", "segments/"])
def test_lost_answers(fleet: Fleet, kind: FaultKind, prefix: str) -> None:
    """A caller sees a whole job although answers to writes are lost, again and again.

    After any conditional write the process does not know whether it took effect. It reads back and
    goes on from what stands there; nothing runs into two results.
    """
    for name in ("a", "b"):
        fleet.nodes[name] = Node(fleet, name)
        fleet.nodes[name].store.inject(FaultRule(kind=kind, prefix=prefix, count=6))
    job = fleet.submit(90)
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 90)


def test_outage_in_the_middle(fleet: Fleet) -> None:
    """A caller waits longer and sees a whole job when the store is down for three lease times.

    Nobody can renew or read, so nobody is taken for dead. Items that are claimed go on; their
    results are written when the store is back. Nothing runs twice.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(160)
    until(lambda: len(fleet.upstreams.starts) > 20)
    for node in fleet.nodes.values():
        node.store.outage = True
    started = len(fleet.upstreams.starts)
    time.sleep(3.0 * TTL / 1000.0)
    assert len(fleet.upstreams.starts) > started
    for node in fleet.nodes.values():
        node.store.outage = False
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 160)
    assert len(fleet.upstreams.starts) == 160


def test_damaged_objects_stop_nothing_else(fleet: Fleet) -> None:
    """A job runs to its end beside a damaged job, a damaged lease, and one with damaged items.

    Each is met by the threads that serve all jobs; an exception there would end the work on all.
    """
    spoilt = fleet.submit(50, key="spoilt")
    version = fleet.objects.json_by_key[f"inputs/{spoilt.input_id}/000000"][0]
    fleet.client.update(f"inputs/{spoilt.input_id}/000000", {"packed": "!"}, version=version)
    for key in ("open/x", "open/y", "nodes/x", "jobs/x"):
        fleet.client.create(key, {"damaged": True}).unwrap()
    fleet.start("a")
    fleet.client.create("nodes/y", []).unwrap()
    fleet.client.create("jobs/y", {"damaged": True}).unwrap()
    job = fleet.submit(60)
    assert fleet.wait_for_end(job).counts.completed == 60
    assert_whole(fleet, job, 60)
    assert not fleet.job(spoilt.id).ended


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_coordinator_is_lost(fleet: Fleet, fault: str) -> None:
    """A job ends soon although the entry that was told of finished chunks is lost, or was frozen.

    Chunks end while the coordinator is dead or frozen; nobody repeats those hints. Its own claims
    show it what became of a share of the chunks, not of those that fall to the third entry. The
    next coordinator, or the thawed one, reads all at once instead of waiting for a long silence.
    """
    fleet.probe_after = 3_600_000.0
    fleet.start("a", "b", "c")
    fleet.upstreams.delay = 0.03
    job = fleet.submit(300)
    until(lambda: len(fleet.holders()) == 3 and fleet.job(job.id).counts.completed > 0)
    name = preferred_node(job.id, ("a", "b", "c"))
    assert name is not None
    if fault == "kill":
        fleet.nodes[name].kill()
    else:
        fleet.nodes[name].freeze()
        time.sleep(1.5)
        fleet.nodes[name].thaw()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 300)


@pytest.mark.parametrize("seed", range(4))
def test_many_faults_together(fleet: Fleet, seed: int) -> None:
    """A caller sees each item once, and each letter at most sent once, under faults at random.

    Entries are killed and restarted under their old name, frozen and thawed, cut off from the
    store, and answers to their writes are lost, several at once and the same twice. When the
    faults end, both jobs end whole.
    """
    random = Random(seed)
    names = ("a", "b", "c")
    fleet.start(*names)
    fleet.upstreams.delay = 0.01
    fleet.lose_hints = seed % 2 == 0
    poems = fleet.submit(400, key="poems")
    letters = fleet.submit(120, idempotent=False, key="letters")
    for _ in range(25):
        _break_something(fleet, random)
        time.sleep(random.uniform(0.0, 0.25))
    for name in names:
        node = fleet.nodes[name]
        node.thaw()
        node.store.outage = False
    for job, items in ((poems, 400), (letters, 120)):
        assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
        assert_whole(fleet, job, items)
    sent = Counter((job, item) for _, job, item, _ in fleet.upstreams.starts)
    assert max(count for (job, _), count in sent.items() if job == letters.id) == 1


def _break_something(fleet: Fleet, random: Random) -> None:
    name = random.choice(sorted(fleet.nodes))
    node = fleet.nodes[name]
    kind = random.choice(["kill", "freeze", "thaw", "thaw", "outage", "mend", "mend", "lose"])
    if kind == "kill":
        node.kill()
        fleet.nodes[name] = Node(fleet, name)
    elif kind == "freeze":
        node.freeze()
    elif kind == "thaw":
        node.thaw()
    elif kind in ("outage", "mend"):
        node.store.outage = kind == "outage"
    else:
        lost = random.choice([FaultKind.UNKNOWN_AFTER, FaultKind.UNKNOWN_BEFORE])
        node.store.inject(FaultRule(kind=lost, count=random.randint(1, 4)))


@pytest.mark.parametrize("ends", [False, True], ids=["live", "killed"])
@pytest.mark.parametrize("prefix", ["chunks/", "jobs/", "nodes/", "open/", "segments/"])
def test_writes_that_take_effect_late(fleet: Fleet, prefix: str, ends: bool) -> None:
    """Guards against chunks of a holder that does not know of its claim, or is gone by then."""
    for name in ("a", "b"):
        fleet.nodes[name] = Node(fleet, name)
        fleet.nodes[name].store.inject(
            FaultRule(kind=FaultKind.UNKNOWN_LATE, prefix=prefix, count=6)
        )
    job = fleet.submit(90)
    for number in range(8):
        time.sleep(0.1)
        if ends and number == 2:
            fleet.nodes["b"].kill()
        fleet.objects.do_late_writes()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 90)
