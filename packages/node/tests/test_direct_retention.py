"""Removal of finished jobs: which records are removed, when, and which must be kept."""

from __future__ import annotations

import pytest
from msgspec.structs import replace
from returns.pipeline import is_successful

from carobspool_core.direct import ItemOutcome, ItemResult, JobInput, JobItem, JobProgress
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._job_retention import JobRetention
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

RETENTION = 120_000.0


class _Clock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


class _System:
    """A store and the retention of one entry."""

    def __init__(self) -> None:
        self.objects = MemoryObjects()
        self.store = MemoryStore(self.objects, "e1")
        self.records = JobRecords(self.store, 10_000)
        self.clock = _Clock()
        self.has_duty = True
        self.retention = JobRetention(
            self.clock, self.records, RETENTION, has_duty=lambda: self.has_duty
        )

    def job(self, job_id: str, *, done: int, ended: bool = False, text: str = "t") -> None:
        """Store a job of two items."""
        items = tuple(
            JobItem(item_id=f"{job_id}-{n}", path="/p", headers={}, body=b"b", tokens=1)
            for n in range(2)
        )
        job = JobInput(job_id=job_id, host="h", path="/p", owner="e#1", submitted=0.0, items=items)
        assert is_successful(self.records.create_input(job))
        results = tuple(
            ItemResult(item_id=each.item_id, outcome=ItemOutcome.COMPLETED, text=text)
            for each in items[:done]
        )
        progress = JobProgress(owner="e#1", total=2, ended=ended, results=results)
        assert is_successful(self.records.write_progress(job_id, progress, version=0))

    def sweep_at(self, seconds: float) -> int:
        self.clock.at = seconds * 1_000.0
        return self.retention.sweep_if_due()

    def stored(self) -> set[str]:
        return set(self.objects.json_by_key)


@pytest.fixture
def system() -> _System:
    return _System()


def test_finished_jobs_are_removed_after_the_retention_and_open_ones_kept(system: _System) -> None:
    system.job("done", done=2)
    system.job("ended", done=1, ended=True)
    system.job("open", done=1)
    assert system.sweep_at(121) == 0
    assert system.sweep_at(242) == 2
    assert system.stored() == {"jobs/open", "progress/open"}


def test_recently_finished_job_is_kept(system: _System) -> None:
    """The job is open at the first sweep and finished at the second. Readers have the whole
    retention from the second sweep on."""
    system.job("j", done=1)
    system.sweep_at(121)
    read = system.records.read_progress("j").unwrap()
    progress = replace(read.progress, ended=True)
    system.records.write_progress("j", progress, version=read.version)
    assert system.sweep_at(242) == 0
    assert system.sweep_at(363) == 1


def test_entry_that_is_not_on_duty_removes_nothing(system: _System) -> None:
    system.job("j", done=2)
    system.has_duty = False
    assert (system.sweep_at(121), system.sweep_at(242)) == (0, 0)
    system.has_duty = True
    assert system.sweep_at(363) == 0
    assert system.sweep_at(484) == 1


def test_pieces_of_long_records_are_removed(system: _System) -> None:
    system.job("long", done=2, text="x" * 5_000)
    assert any(key.startswith("pieces/") for key in system.stored())
    system.sweep_at(121)
    assert system.sweep_at(242) == 1
    assert system.stored() == set()


def test_partial_removal_leaves_no_job_that_would_run_again(
    system: _System,
) -> None:
    """The store removes the first record and fails at the second. The input must be removed first,
    since an input without progress is an unstarted job. A later sweep removes the progress."""
    system.job("j", done=2)
    system.sweep_at(121)
    system.store.inject(
        FaultRule(kind=FaultKind.REFUSED, prefix="progress/", operations=("delete",))
    )
    assert system.sweep_at(242) == 0
    assert system.stored() == {"progress/j"}
    assert system.sweep_at(363) == 1
    assert system.stored() == set()
