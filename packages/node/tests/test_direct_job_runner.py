"""Order in which an entry starts the items of its jobs."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence

import pytest

from carobspool_core import boottime_clock, wall_millis
from carobspool_core.direct import (
    BatchUrgency,
    Configuration,
    ItemDurationEstimate,
    ItemOutcome,
    ItemWork,
    JobInput,
    JobItem,
    JobProgress,
    Route,
    RouteKind,
    Upstream,
    WeightedService,
)
from carobspool_node.direct._in_flight import BatchRun
from carobspool_node.direct._item_order import order_waiting_items
from carobspool_node.direct._item_run import RunEnd, RunOutcome
from carobspool_node.direct._job_records import JobRecords, StoredProgress
from carobspool_node.direct._job_runner import MAX_CONCURRENT_RUNS, JobRunner
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore


def _upstream(service: str, slots: int) -> Upstream:
    return Upstream(
        instance=service,
        service=service,
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=slots,
        ready=True,
    )


ENGINE = _upstream("engine", 2)


class _Runs:
    """Stands in for runs at an upstream: records their order and completes each at once."""

    def __init__(self, expected: int = 6) -> None:
        self.order: list[str] = []
        self.done = threading.Event()
        self.before_end: Callable[[ItemWork], object] = lambda work: None
        self._expected = expected

    def run(self, host: str, work: ItemWork, upstream: Upstream, run: BatchRun) -> RunOutcome:
        self.order.append(work.item.item_id)
        if len(self.order) == self._expected:
            self.done.set()
        self.before_end(work)
        return RunOutcome(end=RunEnd.COMPLETED)


def _await(check: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 2.0
    while not check():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def _route(prefix: str, target: float, *, service: str = "engine", retention: float = 0.0) -> Route:
    return Route(
        name=prefix,
        host="h",
        path_prefix=prefix,
        kind=RouteKind.BATCH,
        timeout=1_000.0,
        target_latency=100.0,
        priority=1,
        services=(WeightedService(service=service, weight=1.0),),
        completion_target=target,
        retention=retention,
    )


def _job(
    job_id: str, path: str, submitted: float, make: Callable[..., OwnedJob], count: int = 2
) -> OwnedJob:
    items = tuple(
        JobItem(item_id=f"{job_id}{number}", path=path, headers={}, body=b"", tokens=1)
        for number in range(count)
    )
    job = JobInput(
        job_id=job_id, host="h", path=path, owner="e#1", submitted=submitted, items=items
    )
    progress = JobProgress(owner="e#1", total=count)
    return make(job, StoredProgress(progress=progress, segments=(), version=0))


def test_jobs_run_in_order_of_due_time_and_not_of_arrival() -> None:
    """Three jobs wait for one free slot. One is new, one has an earlier completion target, and one
    was submitted long before and has just been taken over from a dead entry. The last runs first.
    """
    clock = boottime_clock()
    records = JobRecords(MemoryStore(MemoryObjects(), "e"), 1_048_576)
    runs = _Runs()
    configuration = Configuration(
        version=1, routes=(_route("/slow/", 60_000.0), _route("/soon/", 20_000.0))
    )
    runner = JobRunner(
        clock,
        LoadTable(clock, "z", name="e1"),
        runs,  # type: ignore[arg-type]
        Telemetry(),
        configuration=lambda: configuration,
        usable=lambda service: [ENGINE],
        ownership_uncertain_until=lambda: 0.0,
    )

    def make(job: JobInput, stored: StoredProgress) -> OwnedJob:
        return OwnedJob(job, stored, records, "e#1", clock, requested_at=clock.now())

    now = float(wall_millis())
    runner.add(_job("new", "/slow/x", now, make))
    runner.add(_job("near", "/soon/x", now, make))
    runner.add(_job("old", "/slow/x", now - 50_000.0, make))
    runner.start()
    assert runs.done.wait(5.0)
    runner.stop(1_000.0)
    assert runs.order == ["old0", "old1", "near0", "near1", "new0", "new1"]


def test_a_job_that_is_added_twice_runs_once() -> None:
    """An entry accepted a job, and its own search of the store took the job over while the store's
    answer was on its way. Both records of the job ran its items, and the end of the job cancelled
    only the runs of the second."""
    clock = boottime_clock()
    records = JobRecords(MemoryStore(MemoryObjects(), "e"), 1_048_576)
    runner = JobRunner(
        clock,
        LoadTable(clock, "z", name="e1"),
        _Runs(),  # type: ignore[arg-type]
        Telemetry(),
        configuration=lambda: None,
        usable=lambda service: [ENGINE],
        ownership_uncertain_until=lambda: 0.0,
    )

    def make(job: JobInput, stored: StoredProgress) -> OwnedJob:
        return OwnedJob(job, stored, records, "e#1", clock, requested_at=clock.now())

    first, second = (_job("j", "/slow/x", 0.0, make) for _ in range(2))
    run = BatchRun(started=0.0, urgency=BatchUrgency.ORDINARY, due=0.0)
    first.add_run(run)
    runner.add(first)
    runner.add(second)
    assert first.lost
    assert run.cancellation.cancelled
    runner._evict_jobs()
    assert runner.get("j") is second


class _System:
    """A runner with the upstreams of each service, whose jobs are in a store of their own."""

    def __init__(
        self, upstreams: dict[str, Sequence[Upstream]], *routes: Route, runs: int = 2
    ) -> None:
        self.clock = boottime_clock()
        self.records = JobRecords(MemoryStore(MemoryObjects(), "e"), 1_048_576)
        self.runs = _Runs(runs)
        configuration = Configuration(version=1, routes=routes)
        self.loads = LoadTable(self.clock, "z", name="e1")
        self.runner = JobRunner(
            self.clock,
            self.loads,
            self.runs,  # type: ignore[arg-type]
            Telemetry(),
            configuration=lambda: configuration,
            usable=lambda service: upstreams.get(service, ()),
            ownership_uncertain_until=lambda: 0.0,
        )

    def add(self, job_id: str, path: str, *, age: float, items: int = 2) -> OwnedJob:
        """Add a job."""
        job = _job(job_id, path, float(wall_millis()) - age, self._make, items)
        self.runner.add(job)
        return job

    def _make(self, job: JobInput, stored: StoredProgress) -> OwnedJob:
        clock = self.clock
        return OwnedJob(job, stored, self.records, "e#1", clock, requested_at=clock.now())


def test_a_service_without_upstreams_stops_its_own_items_only() -> None:
    """Guards against a pass that ends at the first item without room: the items of the service
    without upstreams are due first."""
    system = _System(
        {"engine": [ENGINE]},
        _route("/none/", 20_000.0, service="none"),
        _route("/idle/", 60_000.0),
    )
    system.add("waiting", "/none/x", age=10_000.0)
    system.add("idle", "/idle/x", age=0.0)
    system.runner.start()
    assert system.runs.done.wait(2.0)
    system.runner.stop(1_000.0)
    assert system.runs.order == ["idle0", "idle1"]


def test_items_past_their_retention_are_given_up_behind_items_without_room() -> None:
    """Guards against expired items that are never listed because an item before them waits."""
    system = _System(
        {},
        _route("/short/", 20_000.0, service="none"),
        _route("/long/", 60_000.0, service="none", retention=30_000.0),
    )
    system.add("waiting", "/short/x", age=10_000.0)
    expired = system.add("expired", "/long/x", age=31_000.0)
    system.runner.start()
    _await(lambda: len(expired.work.committed) == 2)
    system.runner.stop(1_000.0)
    assert [each.outcome for each in expired.work.committed] == [ItemOutcome.DEAD] * 2


def test_near_due_items_use_reserved_slots_behind_an_item_that_may_not() -> None:
    """Guards against near-due items that wait behind an item with less right to the slots. The
    first one is due sooner, but its job has used little of its time."""
    upstream = _upstream("engine", 8)
    system = _System(
        {"engine": [upstream]}, _route("/soon/", 20_000.0), _route("/late/", 120_000.0)
    )
    for _ in range(6):
        system.loads.place_batch([upstream], urgency=BatchUrgency.ORDINARY, due=0.0)
    system.add("ordinary", "/soon/x", age=0.0)
    system.add("urgent", "/late/x", age=99_000.0)
    system.runner.start()
    assert system.runs.done.wait(2.0)
    system.runner.stop(1_000.0)
    assert system.runs.order == ["urgent0", "urgent1"]


def test_a_service_with_many_slots_leaves_runs_to_others() -> None:
    """Guards against one service whose earlier items take each run of an entry that becomes free,
    while the upstream of another one is idle."""
    large = _upstream("large", 2 * MAX_CONCURRENT_RUNS)
    system = _System(
        {"large": [large], "engine": [ENGINE]},
        _route("/large/", 20_000.0, service="large"),
        _route("/idle/", 60_000.0),
    )
    ends = threading.Semaphore(0)
    system.runs.before_end = lambda work: work.item.path != "/large/x" or ends.acquire(timeout=5.0)
    system.add("large", "/large/x", age=10_000.0, items=3 * MAX_CONCURRENT_RUNS)
    system.runner.start()
    _await(lambda: len(system.runs.order) == MAX_CONCURRENT_RUNS)
    system.add("idle", "/idle/x", age=0.0)
    ends.release(2)
    _await(lambda: {"idle0", "idle1"} <= set(system.runs.order))
    ends.release(3 * MAX_CONCURRENT_RUNS)
    system.runner.stop(1_000.0)


def test_a_pass_visits_untouched_items_by_job() -> None:
    """Guards against passes whose time grows with the number of waiting items."""
    system = _System({}, _route("/none/", 20_000.0, service="none"))
    for number in range(5):
        system.add(f"j{number}", "/none/x", age=0.0)
    system.runner._start_items()
    configuration = system.runner._configuration()
    assert configuration is not None
    order = order_waiting_items(
        system.runner.owned(), configuration, ItemDurationEstimate(), now=0.0
    )
    assert [len(each.works) for each in order] == [2] * 5
    assert sum(each.items for each in system.runner.backlog()) == 10


def test_a_stored_item_whose_id_has_no_utf8_form_does_not_stop_others() -> None:
    """Guards against one item that ends each pass over the items of all jobs."""
    system = _System({"engine": [ENGINE]}, _route("/idle/", 60_000.0), runs=4)
    system.add("\ud800", "/idle/x", age=10_000.0)
    system.add("sound", "/idle/x", age=0.0)
    system.runner.start()
    assert system.runs.done.wait(2.0)
    system.runner.stop(1_000.0)
    assert {"sound0", "sound1"} <= set(system.runs.order)


def test_a_jump_of_the_clock_does_not_end_the_retention(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against items that are given up early since the time of day has jumped at the entry
    that accepted them, or at their owner."""
    system = _System({}, _route("/none/", 60_000.0, service="none", retention=30_000.0))
    job = system.add("waiting", "/none/x", age=20_000.0)
    wall = time.time
    monkeypatch.setattr(time, "time", lambda: wall() + 15.0)
    system.runner.start()
    time.sleep(0.5)
    system.runner.stop(1_000.0)
    assert not job.work.all_items_finished
