"""Measure what batch jobs cost: store writes, throughput of the runner, memory of open jobs.

    .venv/bin/python tools/cost_jobs.py writes --items 20 2000 56000
    .venv/bin/python tools/cost_jobs.py writes --items 2000 --non-idempotent
    .venv/bin/python tools/cost_jobs.py memory

Items end at once and the store is the in-memory stand-in, so the figures are those of intake and
runner alone.
"""

from __future__ import annotations

import argparse
import json
import resource
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable

from carobspool_core import (
    BatchItem,
    BatchShaping,
    ChunkHolder,
    ItemOutcome,
    Job,
    job_from_json,
    monotonic_clock,
)
from carobspool_node.jobs import (
    JobWork,
    RunnerPorts,
    Submission,
    create_file,
    make_job_runner,
    submit,
)
from carobspool_node.links import NodeIdentity, keep_node_lease, watch_members
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

ENDPOINT = "/v1/chat/completions"
SHAPING = BatchShaping()
TTL = 10_000.0
CREDITS = 64
ANSWER = json.dumps({"choices": [{"message": {"content": "A quiet poem. " * 12}}]}).encode()
MEMORY_JOBS = 200
MEMORY_CHUNKS = 175


class _Handle:
    """An attempt that has ended already."""

    def cancel(self) -> None:
        """Do nothing."""


def _run(item: BatchItem, on_done: Callable[[ItemOutcome], None]) -> _Handle:
    on_done(ItemOutcome(status=200, body=ANSWER, request_id="r"))
    return _Handle()


def _submit(store: MemoryStore, items: int, *, idempotent: bool = True) -> Job:
    lines = []
    for number in range(items):
        content = f"Reading note for poem {number}: " + "lines of a pamphlet " * 20
        body = {"model": "m", "messages": [{"role": "user", "content": content}]}
        line = {"custom_id": f"poem-{number}", "method": "POST", "url": ENDPOINT, "body": body}
        lines.append(json.dumps({**line, "idempotent": idempotent}))
    file = create_file(
        store,
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
        key=f"k{items}",
        input_file=file.id,
        endpoint=ENDPOINT,
        metadata={},
    )
    return submit(
        store, submission, shaping=SHAPING, known_model=lambda model: True, now=2.0
    ).unwrap()


def measure_writes(items: int, *, idempotent: bool) -> None:
    """Run one job on one entry and print its store calls and rate."""
    objects = MemoryObjects()
    store = MemoryStore(objects, "a")
    clock = monotonic_clock()
    holder = ChunkHolder(node="a", incarnation="a-1")
    identity = NodeIdentity(holder=holder, address="", failure_domain="leicester-hall")
    lease = keep_node_lease(store, identity, clock, ttl=TTL)
    members = watch_members(store, clock, ttl=TTL)
    ports = RunnerPorts(
        run=_run,
        credits=lambda: CREDITS,
        choose=lambda jobs: jobs[0].id,
        shaping=lambda: SHAPING,
        tell_done=lambda node, done: None,
    )
    runner = make_job_runner(
        store, holder, clock, members, ports, may_claim=lambda: lease.held, watch_timeout=500.0
    )
    began = time.perf_counter()
    job = _submit(store, items, idempotent=idempotent)
    accepted = time.perf_counter()
    lease.start()
    members.start()
    runner.start()
    while not job_from_json(objects.value(f"jobs/{job.id}")).ended:
        time.sleep(0.01)
    ended = time.perf_counter()
    runner.stop()
    members.stop()
    lease.stop()
    writes = Counter(record.key.split("/")[0] for record in objects.history)
    mine = sum(count for kind, count in writes.items() if kind != "nodes")
    print(
        f"items={items} chunks={len(job.chunk_sizes)} writes={mine}"
        f" writes_per_item={mine / items:.4f} {dict(writes)}"
        f" accepted_s={accepted - began:.2f} items_per_s={items / (ended - accepted):.0f}"
        f" rss_mb={resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:.0f}"
    )


def measure_memory() -> None:
    """Print what an open job and a chunk known to be done cost in memory."""
    store = MemoryStore(MemoryObjects(), "a")
    template = _submit(store, 20)
    sizes = tuple([320] * MEMORY_CHUNKS)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    works = []
    for number in range(MEMORY_JOBS):
        value = json.loads(json.dumps({"sizes": list(sizes)}))
        job = Job(
            id=f"{template.id}{number}",
            organisation="press",
            caller="editor",
            content=template.content,
            input_file=template.input_file,
            input_id=template.input_id,
            endpoint=ENDPOINT,
            metadata={"a": "b"},
            chunk_sizes=tuple(value["sizes"]),
            created_at=1.0,
            due_at=2.0,
        )
        works.append(JobWork(job, 0.0))
    opened = tracemalloc.get_traced_memory()[0]
    for work in works:
        for chunk in range(MEMORY_CHUNKS):
            counts = type(work.job.counts)(completed=320, output_bytes=chunk)
            work.mark_done(chunk, counts, 1.0)
    filled = tracemalloc.get_traced_memory()[0]
    chunks = MEMORY_JOBS * MEMORY_CHUNKS
    print(
        f"bytes_per_open_job={(opened - before) / MEMORY_JOBS:.0f}"
        f" chunks_each={MEMORY_CHUNKS} bytes_per_done_chunk={(filled - opened) / chunks:.0f}"
    )


def main() -> None:
    """Run the chosen measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    writes = commands.add_parser("writes")
    writes.add_argument("--items", type=int, nargs="+", default=[20, 2_000, 56_000])
    writes.add_argument("--non-idempotent", action="store_true")
    commands.add_parser("memory")
    options = parser.parse_args()
    if options.command == "memory":
        measure_memory()
        return
    for items in options.items:
        measure_writes(items, idempotent=not options.non_idempotent)


if __name__ == "__main__":
    main()
