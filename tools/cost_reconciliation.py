"""Measure what it costs one entry to compare the stored open jobs with their owners.

    .venv/bin/python tools/cost_reconciliation.py --entries 24 300 --jobs 10000

The store is the in-memory stand-in. Bytes are those of the objects as JSON, without heads. Items
have bodies of 1 kB. Between two comparisons a share of the store's writes is played: acceptances
and commits. Owners confirm all jobs, in their hints or in answers to calls.
"""

from __future__ import annotations

import argparse
import json
import resource
import threading
import time
import tracemalloc
from collections.abc import Collection, Sequence
from typing import Any

from msgspec.structs import replace
from returns.result import Result, Success

from carobspool_core import Millis, ObjectPage, StoredObject, StoreFailure, WatchBatch
from carobspool_core.direct import JobInput, JobItem
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog, initial_progress
from carobspool_node.direct._job_index import JobIndex
from carobspool_node.direct._job_reconciliation import (
    QUIET_TIME,
    RECONCILIATION_INTERVAL_S,
    JobReconciliation,
)
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

ITEMS = 10
BODY = b"x" * 1_000
PASSES = 5
WARM_UP_PASSES = 3


class _CountedStore(MemoryStore):
    """Counts the bytes of the objects that listings and watches return."""

    def __init__(self) -> None:
        super().__init__(MemoryObjects(), "e0")
        self.received = 0

    def list(
        self, prefix: str, *, after: str = "", limit: int = 500
    ) -> Result[ObjectPage, StoreFailure]:
        page = super().list(prefix, after=after, limit=limit)
        if isinstance(page, Success):
            self._count(page.unwrap().objects)
        return page

    def watch(
        self, prefix: str, *, revision: int, timeout: Millis
    ) -> Result[WatchBatch, StoreFailure]:
        batch = super().watch(prefix, revision=revision, timeout=timeout)
        if isinstance(batch, Success):
            self._count([each.object for each in batch.unwrap().changes])
        return batch

    def _count(self, objects: Sequence[StoredObject]) -> None:
        self.received += sum(len(json.dumps(each.value)) for each in objects)


class _Clock:
    def __init__(self) -> None:
        self.time: Millis = 0.0

    def now(self) -> Millis:
        return self.time


class _NoRunner:
    def get(self, job_id: str) -> None:
        """Return no job: all have other owners."""


class _Peers:
    """Live owners, which name their jobs in hints or confirm them when they are asked."""

    identity = "e0#1"

    def __init__(self, count: int) -> None:
        self.by_name = {
            f"e{number}#1": Peer(
                name=f"e{number}", incarnation="1", address=("127.0.0.1", 1), last_heard_at=0.0
            )
            for number in range(1, count)
        }

    def by_identity(self, identity: str) -> Peer | None:
        return self.by_name.get(identity)


def _job(number: int, owner: str) -> JobInput:
    items = tuple(
        JobItem(item_id=f"{number}-{each}", path="/b", headers={"Model": "m"}, body=BODY, tokens=9)
        for each in range(ITEMS)
    )
    return JobInput(
        job_id=f"{number:016x}", host="h", path="/b", owner=owner, submitted=0.0, items=items
    )


def _measure(entries: int, jobs: int, accepted: int, commits: int, *, hinted: bool) -> str:
    clock, store, peers = _Clock(), _CountedStore(), _Peers(entries)
    records = JobRecords(store, 1_048_576)
    owners = list(peers.by_name)
    stored: list[JobInput] = []
    versions: dict[str, int] = {}
    named: dict[str, set[str]] = {owner: set() for owner in owners}

    def accept() -> None:
        job = _job(len(stored), owners[len(stored) % len(owners)])
        records.create_input(job)
        stored.append(job)
        named[job.owner].add(job.job_id)

    def commit(job: JobInput) -> None:
        progress = replace(
            initial_progress(job).progress, failures={"f": versions.get(job.job_id, 0)}
        )
        written = records.write_progress(
            job.job_id, progress, version=versions.get(job.job_id, 0)
        ).unwrap()
        versions[job.job_id] = written.version

    calls: list[int] = []

    def confirm(identity: str, job_ids: Sequence[str]) -> Collection[str]:
        calls.append(sum(len(each) + 1 for each in job_ids))
        return job_ids

    adoption: Any = JobAdoption(
        clock,
        JobCatalog(records),
        _NoRunner(),  # type: ignore[arg-type]
        peers,  # type: ignore[arg-type]
        Telemetry(),
        are_peers_known=lambda: True,
        confirm=confirm,
    )
    comparison = JobReconciliation(
        clock,
        JobIndex(clock, store),
        adoption,
        leaving=threading.Event(),
        has_duty=lambda: True,
        are_peers_known=lambda: True,
        wake_adoption=lambda: None,
    )
    for _ in range(jobs):
        accept()
    tracemalloc.start()
    comparison.reconcile()
    held = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    listed = store.received
    clock.time += QUIET_TIME
    processor = 0.0
    for number in range(WARM_UP_PASSES + PASSES):
        for _ in range(accepted):
            accept()
        for each in range(commits):
            commit(stored[(number * commits + each) % jobs])
        if hinted:
            for owner, peer in peers.by_name.items():
                peer.open_jobs = frozenset(named[owner])
        if number == WARM_UP_PASSES:
            store.received, store.calls = 0, {}
            calls.clear()
        clock.time += RECONCILIATION_INTERVAL_S * 1000.0
        began = time.process_time()
        found = comparison.reconcile()
        took = time.process_time() - began
        assert found == 0
        processor += took if number >= WARM_UP_PASSES else 0.0
    span = PASSES * RECONCILIATION_INTERVAL_S
    reads = sum(store.calls.get(each, 0) for each in ("list", "watch", "get"))
    return (
        f"{entries} entries, {jobs} open jobs, {accepted / RECONCILIATION_INTERVAL_S:.0f}"
        f" acceptances/s, {commits / RECONCILIATION_INTERVAL_S:.0f} commits/s,"
        f" {'named in hints' if hinted else 'asked by calls'}:"
        f" {reads / span:.2f} calls/s to the store,"
        f" {store.received / span / 1e3:.1f} kB/s from it,"
        f" {len(calls) / span:.1f} calls/s to owners with {sum(calls) / span / 1e3:.1f} kB/s,"
        f" {processor / span * 100:.2f}% of a core (and the stand-in's);"
        f" first listing {listed / 1e6:.1f} MB, index {held:.1f} MB"
    )


def main() -> None:
    """Print a line for each number of entries and each load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, nargs="+", default=[24, 300])
    parser.add_argument("--jobs", type=int, default=10_000)
    arguments = parser.parse_args()
    for entries in arguments.entries:
        for accepted, commits, hinted in ((0, 0, True), (30, 300, True), (30, 300, False)):
            print(_measure(entries, arguments.jobs, accepted, commits, hinted=hinted), flush=True)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak of this process, with the store: {peak:.0f} MB")


if __name__ == "__main__":
    main()
