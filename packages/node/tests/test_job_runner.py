"""Failure tests of the batch runner: several processes as threads over one in-memory store.

The history checker reads every write that took effect and every start at an upstream: results
never change or disappear, each accepted item has exactly one, a non-idempotent item starts at most
once.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from random import Random, choice

import pytest

from carobspool_core import (
    BatchItem,
    BatchShaping,
    Holder,
    ItemOutcome,
    Job,
    JobCounts,
    JobStatus,
    Outcome,
    broken_upstream,
    finished,
    keyed_job_id,
    monotonic_clock,
    owner,
    read_chunk,
    read_job,
    span_count,
    unavailable,
)
from carobspool_node.jobs._files import create_file
from carobspool_node.jobs._job_changes import cancel
from carobspool_node.jobs._job_intake import Submission, submit
from carobspool_node.jobs._job_results import result_content
from carobspool_node.jobs._job_runner import ChunkDone, JobRunner, RunnerPorts, make_job_runner
from carobspool_node.links._members import watch_members
from carobspool_node.links._node_lease import NodeIdentity, keep_node_lease
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

TTL = 600.0
SHAPING = BatchShaping(chunk_items=10, max_attempts=3)
CAPACITY = 8
ENDPOINT = "/v1/chat/completions"


@dataclass
class Upstreams:
    """Runs items; keeps an append-only record of starts."""

    delay: float = 0.001
    delays: dict[str, float] = field(default_factory=dict)
    starts: list[tuple[str, str, str, float]] = field(default_factory=list)
    cancels: list[str] = field(default_factory=list)
    answer: Callable[[BatchItem], ItemOutcome | None] = lambda item: None
    gate: threading.Event = field(default_factory=threading.Event)
    running: Counter[str] = field(default_factory=Counter)
    lock: threading.Lock = field(default_factory=threading.Lock)
    pool: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(64))

    def runner(self, node: str) -> Callable[[BatchItem, Callable[[ItemOutcome], None]], _Handle]:
        def run(item: BatchItem, on_done: Callable[[ItemOutcome], None]) -> _Handle:
            self.starts.append((node, item.job, item.custom_id, time.monotonic()))
            handle = _Handle(self, item)
            self._count(node, 1)
            self.pool.submit(self._serve, node, item, on_done, handle)
            return handle

        return run

    def _count(self, node: str, change: int) -> None:
        with self.lock:
            self.running[node] += change

    def _serve(
        self,
        node: str,
        item: BatchItem,
        on_done: Callable[[ItemOutcome], None],
        handle: _Handle,
    ) -> None:
        time.sleep(self.delays.get(node, self.delay))
        self.gate.wait()
        self._count(node, -1)
        if handle.cancelled:
            return
        body = json.dumps({"echo": item.custom_id}).encode()
        on_done(self.answer(item) or ItemOutcome(status=200, body=body, request_id="r"))


@dataclass
class _Handle:
    upstreams: Upstreams
    item: BatchItem
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True
        self.upstreams.cancels.append(self.item.custom_id)


class Node:
    """One entry process; ``kill`` leaves everything behind, ``freeze`` stops all that it does."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.name = name
        self.upstreams = fleet.upstreams
        self.store = MemoryStore(fleet.objects, name)
        self.awake = threading.Event()
        self.awake.set()
        self.asleep = threading.Event()
        clock = monotonic_clock()
        holder = Holder(node=name, incarnation=f"{name}-{time.monotonic_ns()}")
        identity = NodeIdentity(holder=holder, address="", failure_domain="leicester-hall")
        self.lease = keep_node_lease(self.store, identity, clock, ttl=TTL)
        self.members = watch_members(self.store, clock, ttl=TTL, watch_timeout=50.0)
        ports = RunnerPorts(
            run=fleet.upstreams.runner(name),
            credits=self._credits,
            choose=lambda jobs: choice(jobs).id,
            shaping=lambda: SHAPING,
            tell_done=fleet.tell_done,
        )
        self.runner: JobRunner = make_job_runner(
            self.store,
            holder,
            clock,
            self.members,
            ports,
            may_claim=lambda: self.lease.held,
            watch_timeout=50.0,
            probe_after=fleet.probe_after,
        )
        self.lease.start()
        self.members.start()
        self.runner.start()

    def _credits(self) -> int:
        if not self.awake.is_set():
            self.asleep.set()
            self.awake.wait()
        return CAPACITY - self.upstreams.running[self.name]

    def freeze(self) -> None:
        """Stop before anything starts; news of the store stay in its buffers."""
        self.asleep.clear()
        self.store.pause()
        self.awake.clear()
        self.asleep.wait(1.0)

    def thaw(self) -> None:
        """Wake; the loop gets to run before the news do."""
        if not self.awake.is_set():
            self.awake.set()
            time.sleep(0.02)
        self.store.resume()

    def kill(self) -> None:
        self.lease.stop()
        self.members.stop()
        self.runner.stop()
        self.store.outage = True
        self.thaw()


class Fleet:
    """Entries over one store, with the record that the checker reads."""

    def __init__(self) -> None:
        self.objects = MemoryObjects()
        self.client = MemoryStore(self.objects, "client")
        self.upstreams = Upstreams()
        self.upstreams.gate.set()
        self.nodes: dict[str, Node] = {}
        self.lose_hints = False
        self.probe_after = 1_000.0

    def start(self, *names: str) -> None:
        for name in names:
            self.nodes[name] = Node(self, name)
        _until(lambda: all(len(node.members.live()) >= len(names) for node in self._alive()))

    def tell_done(self, node: str, done: ChunkDone) -> None:
        if not self.lose_hints and node in self.nodes:
            self.nodes[node].runner.chunk_done(done)

    def submit(self, items: int, *, idempotent: bool = True, key: str = "k") -> Job:
        lines = [_line(number, idempotent) for number in range(items)]
        file = create_file(
            self.client,
            ["\n".join(lines).encode()],
            organisation="press",
            caller="editor",
            filename="poems.jsonl",
            purpose="batch",
            now=1.0,
        ).unwrap()
        submission = Submission(
            organisation="press",
            caller="editor",
            key=key,
            input_file=file.id,
            endpoint=ENDPOINT,
            metadata={},
        )
        return submit(
            self.client, submission, shaping=SHAPING, known_model=lambda model: True, now=2.0
        ).unwrap()

    def job(self, job_id: str) -> Job:
        return read_job(self.objects.value(f"jobs/{job_id}"))

    def wait_for_end(self, job: Job, seconds: float = 20.0) -> Job:
        _until(lambda: self.job(job.id).ended, seconds)
        return self.job(job.id)

    def holders(self) -> set[str]:
        found = {key: read_chunk(json.loads(text)) for key, (_, text) in self._chunks()}
        return {state.holder.node for state in found.values()}

    def results(self, job: Job) -> dict[str, dict[str, object]]:
        """Read output and error lines as any entry would; each custom id stands there once."""
        found: dict[str, dict[str, object]] = {}
        for failed in (False, True):
            content = b"".join(result_content(self.client, job, failed=failed))
            for text in content.decode().splitlines():
                line = json.loads(text)
                assert line["custom_id"] not in found
                found[line["custom_id"]] = line
        return found

    def check_history(self) -> None:
        """Results of a chunk only ever grow, each item has one, a done chunk never changes."""
        last: dict[str, object] = {}
        for record in self.objects.history:
            if not record.key.startswith("chunks/"):
                continue
            state = read_chunk(record.value)
            before = last.get(record.key)
            if before is not None:
                earlier = read_chunk(before)
                assert state.parts[: len(earlier.parts)] == earlier.parts
                assert earlier.status.value != "done", "a finished chunk was written again"
            spans = sum(span_count(part.spans) for part in state.parts)
            assert spans == span_count(finished(state)), "an item has two results"
            last[record.key] = record.value

    def stop(self) -> None:
        self.upstreams.gate.set()
        for node in self.nodes.values():
            node.kill()
        self.upstreams.pool.shutdown(wait=False, cancel_futures=True)

    def _alive(self) -> list[Node]:
        return [node for node in self.nodes.values() if not node.store.outage]

    def _chunks(self) -> list[tuple[str, tuple[int, str]]]:
        with self.objects.changed:
            texts = list(self.objects.texts.items())
        return [(key, found) for key, found in texts if key.startswith("chunks/")]


def _line(number: int, idempotent: bool) -> str:
    body = {"model": "reading-desk", "messages": [{"role": "user", "content": f"poem {number}"}]}
    line = {"custom_id": f"poem-{number}", "method": "POST", "url": ENDPOINT, "body": body}
    return json.dumps({**line, "idempotent": idempotent})


def _until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "it did not happen in time"
        time.sleep(0.01)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """A fleet that is stopped at the end."""
    made = Fleet()
    yield made
    made.stop()


def _assert_whole(fleet: Fleet, job: Job, items: int) -> None:
    fleet.check_history()
    results = fleet.results(job)
    assert set(results) == {f"poem-{number}" for number in range(items)}
    counts = fleet.job(job.id).counts
    assert counts.completed + counts.failed == items


def test_job_runs_to_its_end(fleet: Fleet) -> None:
    """Two entries share a job; every item runs once and the results are in input order."""
    fleet.start("a", "b")
    job = fleet.submit(95)
    ended = fleet.wait_for_end(job)
    assert ended.status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 95)
    assert len(fleet.upstreams.starts) == 95
    assert list(fleet.results(job)) == [f"poem-{number}" for number in range(95)]
    assert ended.counts.output_bytes == len(
        b"".join(result_content(fleet.client, job, failed=False))
    )
    _until(lambda: fleet.objects.value(f"open/{job.id}") is None)


def test_killed_owner_is_replaced(fleet: Fleet) -> None:
    """A caller sees the whole job although one of two entries dies half way.

    Both hold chunks with items running; one dies and commits nothing. Its lease expires, the other
    takes its chunks over and runs what had no result.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.03
    job = fleet.submit(200)
    _until(lambda: len(fleet.holders()) == 2)
    fleet.nodes["b"].kill()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 200)


def test_a_released_chunk_is_claimed_at_once(fleet: Fleet) -> None:
    """A caller sees the job go on as soon as a leaving entry lets its chunks go.

    One of two entries says that it leaves and finishes what runs. The other looked at all chunks
    when it heard that, found these still claimed, and has run out of work by the time that they
    are released and the lease is given up.
    """
    fleet.start("a", "b")
    leaving = fleet.nodes["b"]
    fleet.upstreams.delay = 0.02
    fleet.upstreams.delays["b"] = 1.5
    job = fleet.submit(200)
    _until(lambda: len(fleet.holders()) == 2)
    leaving.lease.leave()
    _until(lambda: fleet.nodes["a"].members.live() == ("a",))
    assert leaving.runner.release_all(5_000.0) == 0
    leaving.lease.give_up()
    assert fleet.wait_for_end(job, 3.0).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 200)


def test_frozen_owner_wakes_after_its_lease(fleet: Fleet) -> None:
    """A caller sees each result once although a paused entry wakes with claims it has lost.

    One of two entries freezes with chunks in hand; its lease expires and the other finishes them.
    The thawed one's writes are refused by version; it reads its claims again and leaves them.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(160)
    _until(lambda: len(fleet.holders()) == 2)
    fleet.nodes["b"].freeze()
    _until(lambda: fleet.nodes["a"].members.live() == ("a",))
    time.sleep(1.2)
    fleet.nodes["b"].thaw()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 160)
    _until(lambda: fleet.nodes["b"].runner.chunks_held == 0)


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
    _assert_whole(fleet, job, 90)


def test_outage_in_the_middle(fleet: Fleet) -> None:
    """A caller waits longer and sees a whole job when the store is down for three lease times.

    Nobody can renew or read, so nobody is taken for dead. Items that are claimed go on; their
    results are written when the store is back. Nothing runs twice.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(160)
    _until(lambda: len(fleet.upstreams.starts) > 20)
    for node in fleet.nodes.values():
        node.store.outage = True
    started = len(fleet.upstreams.starts)
    time.sleep(3.0 * TTL / 1000.0)
    assert len(fleet.upstreams.starts) > started
    for node in fleet.nodes.values():
        node.store.outage = False
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 160)
    assert len(fleet.upstreams.starts) == 160


def test_lost_hints(fleet: Fleet) -> None:
    """A job ends without any hint: its coordinator reads the chunks it has not heard of."""
    fleet.lose_hints = True
    fleet.start("a", "b")
    job = fleet.submit(95)
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 95)


def test_damaged_objects_stop_nothing_else(fleet: Fleet) -> None:
    """A job runs to its end beside a damaged job, a damaged lease, and one with damaged items.

    Each is met by the threads that serve all jobs; an exception there would end the work on all.
    """
    spoilt = fleet.submit(50, key="spoilt")
    version = fleet.objects.texts[f"inputs/{spoilt.input_id}/000000"][0]
    fleet.client.update(f"inputs/{spoilt.input_id}/000000", {"packed": "!"}, version=version)
    for key in ("open/x", "open/y", "nodes/x", "jobs/x"):
        fleet.client.create(key, {"damaged": True}).unwrap()
    fleet.start("a")
    fleet.client.create("nodes/y", []).unwrap()
    fleet.client.create("jobs/y", {"damaged": True}).unwrap()
    job = fleet.submit(60)
    assert fleet.wait_for_end(job).counts.completed == 60
    _assert_whole(fleet, job, 60)
    assert not fleet.job(spoilt.id).ended


def test_hint_before_the_job_is_known(fleet: Fleet) -> None:
    """A chunk's end that is told before the watch tells of its job is not lost."""
    fleet.probe_after = 3_600_000.0
    fleet.start("a")
    done = ChunkDone(job=keyed_job_id("press", "k"), chunk=0, counts=JobCounts(completed=10))
    fleet.nodes["a"].runner.chunk_done(done)
    time.sleep(0.1)
    job = fleet.submit(25)
    assert fleet.wait_for_end(job).counts.completed == 25
    assert len(fleet.upstreams.starts) == 15


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
    _until(lambda: len(fleet.holders()) == 3 and fleet.job(job.id).counts.completed > 0)
    name = owner(job.id, ("a", "b", "c"))
    assert name is not None
    if fault == "kill":
        fleet.nodes[name].kill()
    else:
        fleet.nodes[name].freeze()
        time.sleep(1.5)
        fleet.nodes[name].thaw()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 300)


def test_cancel_stops_running_items(fleet: Fleet) -> None:
    """A caller's cancel stops the job: nothing starts later, what had finished stays readable.

    Items run when the cancel is written; a watch tells the owners. They cancel what runs, write
    what had ended, and chunks that nobody had claimed get a final state as well.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(400)
    _until(lambda: fleet.job(job.id).counts.completed > 0 or len(fleet.upstreams.starts) > 60)
    cancel(fleet.client, job, who="editor", reason="wrong file", now=9.0, hint=lambda job: None)
    time.sleep(0.3)
    started = len(fleet.upstreams.starts)
    ended = fleet.wait_for_end(job)
    assert ended.status is JobStatus.CANCELLED
    assert ended.audit[0].who == "editor"
    assert ended.audit[0].reason == "wrong file"
    assert len(fleet.upstreams.starts) == started < 400
    fleet.check_history()
    results = fleet.results(job)
    assert len(results) == ended.counts.completed + ended.counts.failed
    states = [read_chunk(json.loads(text)) for _, (_, text) in fleet._chunks()]
    assert [state.status.value for state in states] == ["done"] * len(job.chunk_sizes)


def test_cancel_while_an_owner_is_frozen(fleet: Fleet) -> None:
    """A thawed owner starts nothing of a job that was cancelled and ended while it was frozen."""
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(300)
    _until(lambda: len(fleet.holders()) == 2)
    fleet.nodes["b"].freeze()
    cancel(fleet.client, job, who="editor", reason="", now=9.0, hint=lambda job: None)
    fleet.wait_for_end(job)
    time.sleep(1.1)
    started = len(fleet.upstreams.starts)
    fleet.nodes["b"].thaw()
    time.sleep(0.3)
    assert len(fleet.upstreams.starts) == started
    fleet.check_history()


def test_cancel_hint_reaches_an_entry_cut_off_from_the_store(fleet: Fleet) -> None:
    """An entry that cannot read the store stops a cancelled job's items on a hint."""
    fleet.start("a")
    fleet.upstreams.gate.clear()
    job = fleet.submit(30)
    _until(lambda: len(fleet.upstreams.starts) >= 8)
    node = fleet.nodes["a"]
    node.store.outage = True
    node.runner.job_changed(job.id, cancelling=True)
    _until(lambda: len(fleet.upstreams.cancels) == len(fleet.upstreams.starts))
    started = len(fleet.upstreams.starts)
    time.sleep(0.2)
    assert len(fleet.upstreams.starts) == started


def test_non_idempotent_items_run_at_most_once(fleet: Fleet) -> None:
    """A poet never gets two letters, whatever dies.

    One owner is killed and another frozen and thawed with letters under way. Successors do not
    know which were sent; those end as errors with the outcome unknown, the rest run, none twice.
    """
    fleet.start("a", "b", "c")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(150, idempotent=False)
    _until(lambda: len(fleet.holders()) == 3)
    fleet.nodes["b"].freeze()
    fleet.nodes["c"].kill()
    time.sleep(1.5)
    fleet.nodes["b"].thaw()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 150)
    starts = Counter(custom_id for _, _, custom_id, _ in fleet.upstreams.starts)
    assert max(starts.values()) == 1
    for custom_id, line in fleet.results(job).items():
        if line["error"] is None:
            assert starts[custom_id] == 1
            continue
        assert line["error"]["outcome"] == "unknown"


def test_non_idempotent_items_wait_for_the_store(fleet: Fleet) -> None:
    """With the store down no non-idempotent item starts: its intent cannot be written."""
    fleet.start("a")
    fleet.upstreams.delay = 0.05
    job = fleet.submit(100, idempotent=False)
    _until(lambda: len(fleet.upstreams.starts) > 0)
    fleet.nodes["a"].store.outage = True
    time.sleep(0.4)
    started = len(fleet.upstreams.starts)
    time.sleep(0.3)
    assert len(fleet.upstreams.starts) == started < 100
    fleet.nodes["a"].store.outage = False
    assert fleet.wait_for_end(job).counts.completed == 100
    assert len(fleet.upstreams.starts) == 100


def test_poisoned_items_end_as_errors(fleet: Fleet) -> None:
    """An item that breaks every upstream ends as an error after its attempts; the job ends."""

    def answer(item: BatchItem) -> ItemOutcome | None:
        if item.custom_id != "poem-3":
            return None
        return ItemOutcome(failure=broken_upstream("crashed", "It broke.", outcome=Outcome.UNKNOWN))

    fleet.upstreams.answer = answer
    fleet.start("a")
    job = fleet.submit(12)
    ended = fleet.wait_for_end(job)
    assert (ended.counts.completed, ended.counts.failed) == (11, 1)
    starts = Counter(custom_id for _, _, custom_id, _ in fleet.upstreams.starts)
    assert starts["poem-3"] == SHAPING.max_attempts
    assert fleet.results(job)["poem-3"]["error"]["code"] == "crashed"


def test_items_not_run_are_repeated_freely(fleet: Fleet) -> None:
    """A refusal that says "not run" never uses up an attempt, for non-idempotent items neither."""
    refusals: Counter[str] = Counter()

    def answer(item: BatchItem) -> ItemOutcome | None:
        refusals[item.custom_id] += 1
        if refusals[item.custom_id] > 2:
            return None
        return ItemOutcome(failure=unavailable("busy", "Busy.", retry_after_ms=1.0))

    fleet.upstreams.answer = answer
    fleet.start("a")
    job = fleet.submit(6, idempotent=False)
    assert fleet.wait_for_end(job).counts.completed == 6


def test_release_hands_claims_over_at_once(fleet: Fleet) -> None:
    """An entry that shuts down finishes what runs; another goes on before any lease expires."""
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.03
    job = fleet.submit(300)
    _until(lambda: len(fleet.holders()) == 2)
    leaving = fleet.nodes["b"]
    leaving.lease.leave()
    assert leaving.runner.release_all(5_000.0) == 0
    leaving.lease.give_up()
    assert fleet.upstreams.cancels == []
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    _assert_whole(fleet, job, 300)
    assert len(fleet.upstreams.starts) == 300


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
        _assert_whole(fleet, job, items)
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
