"""Entries that run batch jobs, as threads over one in-memory store, and what checks their history.

The checker reads every write that took effect and every start at an upstream: results never change
or disappear, each accepted item has exactly one, a non-idempotent item starts at most once.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from random import choice

from carobspool_core import (
    BatchItem,
    BatchShaping,
    ChunkHolder,
    ItemOutcome,
    Job,
    chunk_from_json,
    count_indexes,
    finished_items,
    job_from_json,
    monotonic_clock,
)
from carobspool_node.jobs._files import create_file
from carobspool_node.jobs._job_intake import Submission, submit
from carobspool_node.jobs._job_results import result_content
from carobspool_node.jobs._job_runner import ChunkDone, JobRunner, RunnerPorts, make_job_runner
from carobspool_node.links._members import watch_members
from carobspool_node.links._node_lease import NodeIdentity, keep_node_lease
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

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
        holder = ChunkHolder(node=name, incarnation=f"{name}-{time.monotonic_ns()}")
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
        until(
            lambda: all(len(node.members.available_nodes()) >= len(names) for node in self._alive())
        )

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
        return job_from_json(self.objects.value(f"jobs/{job_id}"))

    def wait_for_end(self, job: Job, seconds: float = 20.0) -> Job:
        until(lambda: self.job(job.id).ended, seconds)
        return self.job(job.id)

    def holders(self) -> set[str]:
        found = {key: chunk_from_json(json.loads(text)) for key, (_, text) in self._chunks()}
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
            state = chunk_from_json(record.value)
            before = last.get(record.key)
            if before is not None:
                earlier = chunk_from_json(before)
                assert state.parts[: len(earlier.parts)] == earlier.parts
                assert earlier.status.value != "done", "a finished chunk was written again"
            spans = sum(count_indexes(part.spans) for part in state.parts)
            assert spans == count_indexes(finished_items(state)), "an item has two results"
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
            texts = list(self.objects.json_by_key.items())
        return [(key, found) for key, found in texts if key.startswith("chunks/")]


def _line(number: int, idempotent: bool) -> str:
    body = {"model": "reading-desk", "messages": [{"role": "user", "content": f"poem {number}"}]}
    line = {"custom_id": f"poem-{number}", "method": "POST", "url": ENDPOINT, "body": body}
    return json.dumps({**line, "idempotent": idempotent})


def until(condition: Callable[[], bool], seconds: float = 10.0) -> None:
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "it did not happen in time"
        time.sleep(0.01)


def assert_whole(fleet: Fleet, job: Job, items: int) -> None:
    fleet.check_history()
    results = fleet.results(job)
    assert set(results) == {f"poem-{number}" for number in range(items)}
    counts = fleet.job(job.id).counts
    assert counts.completed + counts.failed == items
