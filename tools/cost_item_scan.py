"""Time that an entry takes to look through its waiting batch items, by their number.

    python tools/cost_item_scan.py [--items 1000 10000 100000] [--per-job 10]

All items wait for upstreams without a free slot; a third of the jobs needs a service that has no
upstream at all. One line for each number of items: one pass over the items, the report to the
peers, and the waiting tokens.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable

from carobspool_core import boottime_clock, wall_millis
from carobspool_core.direct import (
    BatchUrgency,
    Configuration,
    JobInput,
    JobItem,
    JobProgress,
    Route,
    RouteKind,
    Upstream,
    WeightedService,
)
from carobspool_node.direct._job_records import JobRecords, StoredProgress
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

SERVICES = ("engine", "second", "none")
ROUNDS = 5


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--items", type=int, nargs="+", default=[1_000, 10_000, 100_000])
    parser.add_argument("--per-job", type=int, default=10)
    arguments = parser.parse_args()
    for items in arguments.items:
        runner = _runner(items, arguments.per_job)
        first = _seconds(runner._start_items, 1)
        passes = _seconds(runner._start_items, ROUNDS)
        report = _seconds(runner.backlog, ROUNDS)
        tokens = _seconds(runner.waiting_tokens, ROUNDS)
        print(
            f"items={items} per_job={arguments.per_job} first_pass_ms={first * 1e3:.1f}"
            f" pass_ms={passes * 1e3:.1f} report_ms={report * 1e3:.2f}"
            f" tokens_ms={tokens * 1e3:.2f}"
        )


def _runner(items: int, per_job: int) -> JobRunner:
    clock = boottime_clock()
    upstreams = {service: [_upstream(service)] for service in SERVICES[:2]}
    loads = LoadTable(clock, "z", name="e1")
    configuration = Configuration(version=1, routes=tuple(map(_route, SERVICES)))
    runner = JobRunner(
        clock,
        loads,
        None,  # type: ignore[arg-type]  # nothing runs
        Telemetry(),
        configuration=lambda: configuration,
        usable=lambda service: upstreams.get(service, ()),
        ownership_uncertain_until=lambda: 0.0,
    )
    for (upstream,) in upstreams.values():
        for _ in range(upstream.slots):
            loads.place_batch([upstream], urgency=BatchUrgency.URGENT, due=0.0)
    records = JobRecords(MemoryStore(MemoryObjects(), "e"), 1_048_576)
    for number in range(items // per_job):
        job = _job(number, per_job)
        progress = StoredProgress(
            progress=JobProgress(owner="e#1", total=per_job), segments=(), version=0
        )
        runner.add(OwnedJob(job, progress, records, "e#1", clock, requested_at=clock.now()))
    return runner


def _job(number: int, items: int) -> JobInput:
    path = f"/{SERVICES[number % len(SERVICES)]}/{number}"
    return JobInput(
        job_id=f"j{number}",
        host="h",
        path=path,
        owner="e#1",
        submitted=wall_millis() - number % 1_000,
        items=tuple(
            JobItem(item_id=f"{number}-{each}", path=path, headers={}, body=b"", tokens=1)
            for each in range(items)
        ),
    )


def _route(service: str) -> Route:
    return Route(
        name=service,
        host="h",
        path_prefix=f"/{service}/",
        kind=RouteKind.BATCH,
        timeout=1_000.0,
        target_latency=100.0,
        priority=1,
        services=(WeightedService(service=service, weight=1.0),),
        completion_target=600_000.0,
        retention=3_600_000.0,
    )


def _upstream(service: str) -> Upstream:
    return Upstream(
        instance=service,
        service=service,
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
    )


def _seconds(call: Callable[[], object], rounds: int) -> float:
    started = time.process_time()
    for _ in range(rounds):
        call()
    return (time.process_time() - started) / rounds


if __name__ == "__main__":
    main()
