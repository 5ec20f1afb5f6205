"""Owned jobs whose records another entry has changed in the store."""

from __future__ import annotations

import pytest
from msgspec.structs import replace
from returns.pipeline import is_successful
from returns.result import Failure

from carobspool_core import Millis, StoreFailure, StoreFault
from carobspool_core.direct import (
    BatchUrgency,
    ItemOutcome,
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
    """Write the progress to the store, as another entry would."""
    stored = records.read_progress("j").unwrap()
    progress = replace(stored.progress, **changes)  # type: ignore[arg-type]
    written = records.write_progress("j", progress, version=stored.version)
    assert is_successful(written)


def _run(job: OwnedJob) -> BatchRun:
    run = BatchRun(started=0.0, urgency=BatchUrgency.ORDINARY, due=0.0)
    job.add_run(run)
    return run


def test_verification_detects_that_the_job_was_ended(records: JobRecords, job: OwnedJob) -> None:
    """Ended jobs keep their owner, so that the owner's name alone does not show the end."""
    run = _run(job)
    _change(records, ended=True)
    assert job.verify()
    assert job.work.ended
    assert not job.lost
    assert run.cancellation.cancelled


def test_commit_conflict_cancels_the_runs_of_an_ended_job(
    records: JobRecords, job: OwnedJob
) -> None:
    run = _run(job)
    _change(records, ended=True)
    assert not job.commit()
    assert job.work.ended
    assert run.cancellation.cancelled


def test_verification_detects_that_the_job_was_taken_over(
    records: JobRecords, job: OwnedJob
) -> None:
    _change(records, owner="e2#1")
    assert not job.verify()
    assert job.lost


def test_proof_from_before_a_loss_of_contact_stays_invalid(job: OwnedJob, clock: _Clock) -> None:
    """Contact was restored long ago, but the job may have been ended or taken over before."""
    ownership_uncertain_until = clock.time + 4_000.0
    assert job.proof.is_valid(ownership_uncertain_until=ownership_uncertain_until, max_age=1_500.0)
    clock.time += 60_000.0
    assert not job.proof.is_valid(
        ownership_uncertain_until=ownership_uncertain_until, max_age=1_500.0
    )
    assert job.verify()
    clock.time += 60_000.0
    assert job.proof.is_valid(ownership_uncertain_until=ownership_uncertain_until, max_age=1_500.0)


def test_job_continues_for_the_grace_period_while_the_store_is_unreachable(
    store: MemoryStore, job: OwnedJob, clock: _Clock
) -> None:
    store.outage = True
    assert not job.verify()
    assert job.proof.is_in_grace
    assert not job.lost
    clock.time += UNVERIFIED_GRACE
    assert not job.proof.is_in_grace


def test_failed_commits_are_retried_with_a_delay(
    store: MemoryStore, job: OwnedJob, clock: _Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All items have run and the store refuses each commit at once. Without a delay, every entry
    with such a job retried the last commit 60 times a second."""
    (work,) = job.work.open_items()
    job.work.finish(work, ItemOutcome.COMPLETED)
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


def test_reported_end_does_not_end_a_job_that_was_taken_over(
    records: JobRecords, job: OwnedJob
) -> None:
    """The owner stalls. Another entry takes the job over and commits a result, and the job is
    ended. The old owner resumes and receives only the report of the end. Trusting the report, it
    would consider the job finished, never read the store again, and omit the result forever."""
    run = _run(job)
    result = ItemResult(item_id="i", outcome=ItemOutcome.COMPLETED, text="t")
    _change(records, owner="e2#1", results=(result,), ended=True)
    assert job.report_ended()
    assert run.cancellation.cancelled
    assert not job.finished
    assert not job.proof.is_valid(ownership_uncertain_until=0.0, max_age=1_500.0)
    assert not job.verify()
    assert job.lost


def test_no_item_starts_between_a_reported_end_and_its_verification(
    store: MemoryStore, job: OwnedJob, clock: _Clock
) -> None:
    """The report arrives during an outage of the store, in which jobs otherwise continue."""
    clock.time += 10.0
    store.outage = True
    assert job.report_ended()
    assert not job.report_ended()
    assert not job.verify()
    assert not job.proof.is_in_grace
    store.outage = False
    clock.time += 10.0
    assert job.verify()
    assert job.proof.is_valid(ownership_uncertain_until=0.0, max_age=1_500.0)


def test_no_item_starts_between_a_claim_of_a_peer_and_its_verification(
    records: JobRecords, job: OwnedJob, clock: _Clock
) -> None:
    """A peer names the job among its own. The proof is recent, but may be from before a takeover
    that no silence of the peer has announced."""
    clock.time += 10.0
    job.proof.report_claimed()
    assert not job.proof.is_valid(ownership_uncertain_until=0.0, max_age=1_500.0)
    clock.time += 10.0
    assert job.verify()
    assert job.proof.is_valid(ownership_uncertain_until=0.0, max_age=1_500.0)
    _change(records, owner="e2#1")
    job.proof.report_claimed()
    assert not job.verify()
    assert job.lost


def test_commit_sent_before_a_reported_end_does_not_verify_it(job: OwnedJob, clock: _Clock) -> None:
    """A commit is sent before the report of the end arrives and is answered after it."""
    requested_at = clock.time
    clock.time += 10.0
    assert job.report_ended()
    job.proof.renew(requested_at)
    assert not job.proof.is_valid(ownership_uncertain_until=0.0, max_age=1_500.0)


def test_job_whose_records_were_removed_is_lost(
    records: JobRecords, store: MemoryStore, job: OwnedJob
) -> None:
    """Only finished or ended jobs are removed, so that the owner has missed the end. A missing
    record is an answer of the store and no outage."""
    assert records.remove(store.get("progress/j").unwrap()) is None
    assert not job.verify()
    assert job.lost
    assert not job.proof.is_in_grace
