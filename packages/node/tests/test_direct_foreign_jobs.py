"""Recovery, removal and reads of jobs while the store also holds invalid job records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest
from returns.pipeline import is_successful
from returns.result import Success

from carobspool_core import Json, StoreFault
from carobspool_core.direct import (
    ItemOutcome,
    ItemResult,
    JobInput,
    JobItem,
    JobProgress,
    job_to_json,
)
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_records import INPUTS, PROGRESS, JobRecords
from carobspool_node.direct._job_retention import JobRetention
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

RETENTION = 120_000.0
BAD_INPUTS: tuple[Json, ...] = (
    None,
    7,
    "pieces",
    [],
    {},
    {"items": 3},
    {"pieces": None},
    {"pieces": ["x"]},
    {"pieces": ["x", "2"]},
    {"pieces": ["x", 10**12]},
    {"pieces": ["gone", 1]},
    {"host": "h", "path": "/p", "owner": 7, "submitted": 0, "items": []},
    {"host": "h", "path": "/p", "owner": "e", "submitted": 0, "items": [{"id": "i"}]},
)
BAD_PROGRESS: tuple[Json, ...] = (
    None,
    [],
    {},
    {"owner": "e#1", "ended": "no", "total": 1, "results": [], "failures": {}},
    {"owner": "e#1", "ended": False, "total": 1, "results": [["i", "lost", "t"]], "failures": {}},
    {"owner": "e#1", "ended": False, "total": 1, "results": [], "failures": [], "segments": 3},
    {"owner": "e#1", "ended": True, "total": 1, "results": [], "failures": {}, "segments": [[1]]},
    {"owner": "e#1", "ended": True, "total": 1, "results": [["i"]], "failures": {}},
)


class _Clock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


class _Runner:
    """Accepts jobs and runs no items."""

    def __init__(self) -> None:
        self.jobs: dict[str, object] = {}

    def get(self, job_id: str) -> object | None:
        return self.jobs.get(job_id)

    def add(self, job: object) -> None:
        self.jobs[job.job_id] = job  # type: ignore[attr-defined]


class _Peers:
    """No other entry is alive."""

    identity = "e1#2"

    def find_job_peer(self, job_id: str) -> None:
        return None

    def by_identity(self, identity: str) -> None:
        return None

    def announce_soon(self) -> None:
        """Do nothing, since there is no peer."""


class _System:
    def __init__(self) -> None:
        self.store = MemoryStore(MemoryObjects(), "e1")
        self.records = JobRecords(self.store, 10_000)
        self.clock = _Clock()
        self.runner = _Runner()
        self.adoption = JobAdoption(
            self.clock,
            JobCatalog(self.records),
            self.runner,  # type: ignore[arg-type]
            _Peers(),  # type: ignore[arg-type]
            Telemetry(),
            are_peers_known=lambda: True,
        )

    def write(self, prefix: str, values: Iterable[Json]) -> None:
        for number, value in enumerate(values):
            assert is_successful(self.store.create(f"{prefix}bad-{number}", value))


def _job(job_id: str) -> JobInput:
    item = JobItem(item_id=f"{job_id}-i", path="/p", headers={}, body=b"b", tokens=1)
    return JobInput(job_id=job_id, host="h", path="/p", owner="e#1", submitted=0.0, items=(item,))


@pytest.fixture
def system() -> _System:
    return _System()


def test_bad_records_stop_neither_recovery_nor_removal(system: _System) -> None:
    """After a restart of all entries, the store holds valid jobs and invalid records of other
    writers. Recovery must take over the valid jobs, and the removal must delete the finished ones.
    A job with unreadable progress must not count as unstarted, since it would run again."""
    for job_id in ("aaa", "zzz"):
        assert is_successful(system.records.create_input(_job(job_id)))
    system.write(INPUTS, BAD_INPUTS)
    for number, value in enumerate(BAD_PROGRESS):
        job_id = f"begun-{number}"
        assert is_successful(system.store.create(INPUTS + job_id, job_to_json(_job(job_id))))
        assert is_successful(system.store.create(PROGRESS + job_id, value))
    done = JobProgress(
        owner="e#1",
        total=1,
        results=(ItemResult(item_id="zzz-i", outcome=ItemOutcome.COMPLETED, text="t"),),
    )
    assert is_successful(system.records.create_input(_job("done")))
    assert is_successful(system.records.write_progress("done", done, version=0))
    assert system.adoption.take_over_stored_jobs(lambda job_id, owner: True)
    assert set(system.runner.jobs) == {"aaa", "zzz"}
    retention = JobRetention(system.clock, system.records, RETENTION, has_duty=lambda: True)
    removed = []
    for sweep in (1, 2):
        system.clock.at = sweep * (RETENTION + 1.0)
        removed.append(retention.sweep_if_due())
    assert removed == [0, 1]
    left = system.records.list_all(INPUTS).unwrap().objects
    assert "done" not in left
    assert {f"begun-{number}" for number in range(len(BAD_PROGRESS))} <= set(left)


@pytest.mark.parametrize("value", BAD_INPUTS, ids=repr)
def test_bad_input_is_unreadable_and_not_retried(system: _System, value: Json) -> None:
    """No entry can run such a job, and retries would read the record from the store repeatedly."""
    assert is_successful(system.store.create(f"{INPUTS}j", value))
    read = system.records.read_input("j")
    assert not is_successful(read)
    assert read.failure().fault is StoreFault.UNREADABLE
    assert system.adoption.ensure_owner("j", "lost")
    assert system.runner.jobs == {}


@pytest.mark.parametrize("value", BAD_PROGRESS, ids=repr)
def test_bad_progress_is_unreadable_and_not_retried(system: _System, value: Json) -> None:
    assert is_successful(system.records.create_input(_job("j")))
    assert is_successful(system.store.create(f"{PROGRESS}j", value))
    read = system.records.read_progress("j")
    assert not is_successful(read)
    assert read.failure().fault is StoreFault.UNREADABLE
    assert system.adoption.ensure_owner("j", "lost")
    assert system.runner.jobs == {}


def test_progress_is_kept_when_names_of_inputs_are_unreadable(system: _System) -> None:
    """The listing of inputs omits objects with unreadable names. Progress without an input is
    removed after the retention, but here the input may exist."""
    assert is_successful(system.records.create_input(_job("j")))
    progress = JobProgress(owner="e#1", total=1)
    assert is_successful(system.records.write_progress("j", progress, version=0))
    store = _UnreadableNamesStore(system.store)
    records = JobRecords(store, 10_000)  # type: ignore[arg-type]
    retention = JobRetention(system.clock, records, RETENTION, has_duty=lambda: True)
    for sweep in (1, 2, 3):
        system.clock.at = sweep * (RETENTION + 1.0)
        assert retention.sweep_if_due() == 0
    assert is_successful(system.records.read_progress("j"))


class _UnreadableNamesStore:
    """A store whose listings can read the name of no input."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store

    def list(self, prefix: str, **options: object) -> object:
        page = self._store.list(prefix, **options)  # type: ignore[arg-type]
        if prefix != INPUTS:
            return page
        found = page.unwrap()
        return Success(replace(found, objects=[], unreadable=len(found.objects)))
