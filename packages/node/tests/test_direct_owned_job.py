"""What an owner knows of a job that another entry has changed in the store."""

from __future__ import annotations

import pytest
from msgspec.structs import replace
from returns.pipeline import is_successful
from returns.result import Failure

from carobspool_core import Millis, StoreFailure, StoreFault
from carobspool_core.direct import (
    BatchUrgency,
    ItemEnd,
    ItemResult,
    JobInput,
    JobItem,
    JobProgress,
)
from carobspool_node.direct._in_flight import BatchRun
from carobspool_node.direct._job_records import JobRecords, StoredProgress
from carobspool_node.direct._owned_job import COMMIT_RETRY_DELAY, OwnedJob
from carobspool_node.direct._ownership_proof import UNVERIFIED_GRACE
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

OWNER = "e1#1"


class _Clock:
    def __init__(self) -> None:
        self.time: Millis = 1_000.0

    def now(self) -> Millis:
        return self.time


@pytest.fixture
def clock() -> _Clock:
    return _Clock()


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore(MemoryObjects(), "e1")


@pytest.fixture
def records(store: MemoryStore) -> JobRecords:
    return JobRecords(store, 1_048_576)


@pytest.fixture
def job(records: JobRecords, clock: _Clock) -> OwnedJob:
    """A job whose progress the owner has written once."""
    item = JobItem(item_id="i", path="/", headers={}, body=b"", tokens=1)
    given = JobInput(job_id="j", host="h", path="/", owner=OWNER, submitted=0.0, items=(item,))
    nothing = StoredProgress(progress=JobProgress(owner=OWNER, total=1), segments=(), version=0)
    owned = OwnedJob(given, nothing, records, OWNER, clock, requested_at=clock.time)
    assert owned.commit()
    return owned


def _change(records: JobRecords, **changes: object) -> None:
    """Write the progress as another entry does."""
    stored = records.read_progress("j").unwrap()
    progress = replace(stored.progress, **changes)  # type: ignore[arg-type]
    written = records.write_progress("j", progress, version=stored.version)
    assert is_successful(written)


def _run(job: OwnedJob) -> BatchRun:
    run = BatchRun(started=0.0, urgency=BatchUrgency.ORDINARY, due=0.0)
    job.add_run(run)
    return run


def test_a_proof_shows_that_the_job_was_ended(records: JobRecords, job: OwnedJob) -> None:
    """Ended jobs keep their owner, so the owner's name alone does not tell."""
    run = _run(job)
    _change(records, ended=True)
    assert job.verify()
    assert job.work.ended
    assert not job.lost
    assert run.cancellation.cancelled


def test_a_conflict_of_a_commit_cancels_what_runs_for_an_ended_job(
    records: JobRecords, job: OwnedJob
) -> None:
    run = _run(job)
    _change(records, ended=True)
    assert not job.commit()
    assert job.work.ended
    assert run.cancellation.cancelled


def test_a_proof_shows_that_the_job_was_taken_over(records: JobRecords, job: OwnedJob) -> None:
    _change(records, owner="e2#1")
    assert not job.verify()
    assert job.lost


def test_a_proof_from_before_a_doubt_never_becomes_good(job: OwnedJob, clock: _Clock) -> None:
    """The doubt is long over, but the job may have been ended or taken over during it."""
    doubt_until = clock.time + 4_000.0
    assert job.proof.is_valid(doubt_until=doubt_until, max_age=1_500.0)
    clock.time += 60_000.0
    assert not job.proof.is_valid(doubt_until=doubt_until, max_age=1_500.0)
    assert job.verify()
    clock.time += 60_000.0
    assert job.proof.is_valid(doubt_until=doubt_until, max_age=1_500.0)


def test_a_job_goes_on_for_a_while_when_the_store_cannot_be_asked(
    store: MemoryStore, job: OwnedJob, clock: _Clock
) -> None:
    store.outage = True
    assert not job.verify()
    assert job.proof.is_in_grace
    assert not job.lost
    clock.time += UNVERIFIED_GRACE
    assert not job.proof.is_in_grace


def test_a_store_that_takes_no_commit_is_asked_with_pauses(
    store: MemoryStore, job: OwnedJob, clock: _Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All items have run and the store refuses at once. Without a pause the last commit was tried
    again 60 times a second, by every entry with such a job."""
    (work,) = job.work.open_items()
    job.work.finish(work, ItemEnd.COMPLETED)
    assert job.is_commit_due(clock.time)
    refusal = Failure(StoreFailure(fault=StoreFault.UNAVAILABLE, key="j", detail="503"))
    monkeypatch.setattr(store, "update", lambda key, value, *, version: refusal)
    tries = 0
    for _ in range(1_000):
        clock.time += 10.0
        if job.is_commit_due(clock.time):
            tries += 1
            assert not job.commit()
    assert 5 <= tries <= 10_000.0 / COMMIT_RETRY_DELAY + 1


def test_a_peers_word_of_an_end_does_not_end_a_job_that_was_taken_over(
    records: JobRecords, job: OwnedJob
) -> None:
    """The owner stalls, another entry takes the job over and commits a result, and the job is
    ended. The owner wakes and hears only that it was ended. Believing that, it would take the job
    as finished, never ask the store again, and answer readers without the result for good."""
    run = _run(job)
    result = ItemResult(item_id="i", end=ItemEnd.COMPLETED, text="t")
    _change(records, owner="e2#1", results=(result,), ended=True)
    assert job.report_ended()
    assert run.cancellation.cancelled
    assert not job.finished
    assert not job.proof.is_valid(doubt_until=0.0, max_age=1_500.0)
    assert not job.verify()
    assert job.lost


def test_nothing_starts_on_a_peers_word_until_the_store_has_been_asked(
    store: MemoryStore, job: OwnedJob, clock: _Clock
) -> None:
    """The word came while the store was away, which is otherwise a reason to go on."""
    clock.time += 10.0
    store.outage = True
    assert job.report_ended()
    assert not job.report_ended()
    assert not job.verify()
    assert not job.proof.is_in_grace
    store.outage = False
    clock.time += 10.0
    assert job.verify()
    assert job.proof.is_valid(doubt_until=0.0, max_age=1_500.0)


def test_a_commit_under_way_says_nothing_of_a_later_word(job: OwnedJob, clock: _Clock) -> None:
    """A commit was sent before the word came, and is answered after it."""
    requested_at = clock.time
    clock.time += 10.0
    assert job.report_ended()
    job.proof.renew(requested_at)
    assert not job.proof.is_valid(doubt_until=0.0, max_age=1_500.0)


def test_a_job_whose_records_are_gone_is_over(
    records: JobRecords, store: MemoryStore, job: OwnedJob
) -> None:
    """Only jobs that are over are removed. The owner missed the end; a record that is missing is
    the store's own word and no outage."""
    assert records.remove(store.get("progress/j").unwrap()) is None
    assert not job.verify()
    assert job.lost
    assert not job.proof.is_in_grace
