"""Takeover of jobs whose owner is gone, unknown or new."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest
from _adoption_stubs import PeersStub, RunnerStub, peer_stub

from carobspool_core import ManualClock
from carobspool_core.direct import JobInput, JobItem
from carobspool_node.direct._job_adoption import UNNAMED_JOB_DELAY, JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore


def _store_job(records: JobRecords, job_id: str, owner: str) -> None:
    item = JobItem(item_id="i", path="/", headers={}, body=b"", tokens=1)
    given = JobInput(job_id=job_id, host="h", path="/", owner=owner, submitted=0.0, items=(item,))
    assert records.create_input(given)


def _start_with_stored_job(
    job_owner: str,
    peers: PeersStub | None = None,
    clock: ManualClock | None = None,
    *,
    are_peers_known: bool = False,
    others: Sequence[str] = (),
) -> tuple[JobAdoption, RunnerStub]:
    """Return the adoption and runner of an entry that has just started, with jobs in the store."""
    records = JobRecords(MemoryStore(MemoryObjects(), "e2"), 1_048_576)
    _store_job(records, "j", job_owner)
    for job_id in others:
        _store_job(records, job_id, job_owner)
    runner = RunnerStub()
    adoption = JobAdoption(
        clock or ManualClock(100_000.0),
        JobCatalog(records),
        runner,  # type: ignore[arg-type]
        peers or PeersStub(),  # type: ignore[arg-type]
        Telemetry(),
        are_peers_known=lambda: are_peers_known,
    )
    return adoption, runner


def test_listed_job_is_taken_over_once_its_owner_releases_it() -> None:
    """A restarted entry lists a job whose owner it has received no hint from, so it waits. The
    owner then reports that it has released the job. The orphan added by the listing must not delay
    the takeover: the items did not run for 2.2 s, until another process had started."""
    adoption, runner = _start_with_stored_job("e1#1")
    adoption.add_orphans(["j"], "recovered")
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs
    adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    adoption.adopt_orphans(lambda job_id: True)
    assert set(runner.jobs) == {"j"}


def test_job_is_not_taken_from_a_new_owner_that_is_still_unknown() -> None:
    """An owner that shuts down names its released jobs in its hints until it exits, and another
    entry takes them over. Entries that start meanwhile may receive hints of the first owner before
    those of the second. Each of them took the jobs from their live owner and interrupted runs."""
    adoption, runner = _start_with_stored_job("e3#1")
    adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs
    adoption.add_orphans(["j"], "lost e3#1", lost_owner="e3#1")
    adoption.adopt_orphans(lambda job_id: True)
    assert set(runner.jobs) == {"j"}


@pytest.mark.parametrize("listed", [False, True], ids=["orphan", "listed"])
def test_a_job_that_cannot_be_taken_over_does_not_keep_others_without_an_owner(
    monkeypatch: pytest.MonkeyPatch, listed: bool
) -> None:
    """Guards against a takeover of all jobs that ends at the first one with an error."""
    adoption, runner = _start_with_stored_job("e1#1", are_peers_known=True, others=["a", "z"])
    start_owning = JobAdoption.start_owning

    def fail_for_one(self: JobAdoption, job: JobInput, *args: Any, **named: Any) -> None:
        if job.job_id == "j":
            raise ValueError("a record of another kind")
        start_owning(self, job, *args, **named)

    monkeypatch.setattr(JobAdoption, "start_owning", fail_for_one)
    if listed:
        assert adoption.take_over_stored_jobs(lambda job_id, owner: True)
    else:
        adoption.add_orphans(["a", "j", "z"], "lost e1#1", lost_owner="e1#1")
        adoption.adopt_orphans(lambda job_id: True)
    assert set(runner.jobs) == {"a", "z"}


@pytest.mark.parametrize("listed", [False, True], ids=["resubmitted", "listed"])
def test_job_is_left_to_a_live_owner_that_has_not_named_it_yet(listed: bool) -> None:
    """A job can be read from the store before the store's answer has reached the entry that wrote
    it, and before that entry's hints name it. An entry that listed the jobs at that moment, or to
    which the job was submitted again, took it from its live owner, and both ran its items."""
    peers, clock = PeersStub(), ManualClock(100_000.0)
    adoption, runner = _start_with_stored_job("e1#1", peers, clock, are_peers_known=True)
    peers.live = [peer_stub("e1")]
    if listed:
        assert adoption.take_over_stored_jobs(lambda job_id, owner: True)
    else:
        assert not adoption.ensure_owner("j", "submitted again")
        adoption.add_orphans(["j"], "submitted again")
    clock.advance(500.0)
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs
    peers.live = [peer_stub("e1", "j")]
    clock.advance(UNNAMED_JOB_DELAY)
    adoption.adopt_orphans(lambda job_id: True)
    peers.live = []
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs


def test_job_that_its_live_owner_does_not_run_is_taken_over_after_a_while() -> None:
    """The answer to the write that made the owner the owner was lost, so the owner does not know
    that the job is its own. Without a limit on the delay, the job would never run."""
    peers, clock = PeersStub(), ManualClock(100_000.0)
    adoption, runner = _start_with_stored_job("e1#1", peers, clock, are_peers_known=True)
    peers.live = [peer_stub("e1")]
    adoption.add_orphans(["j"], "submitted again")
    adoption.adopt_orphans(lambda job_id: True)
    clock.advance(UNNAMED_JOB_DELAY - 1.0)
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs
    clock.advance(1.0)
    adoption.adopt_orphans(lambda job_id: True)
    assert set(runner.jobs) == {"j"}


def test_new_owner_of_an_orphan_gets_time_to_name_the_job() -> None:
    """Two entries try for seconds to take over a job while the store refuses them. One succeeds
    after the outage, and the other reads the job before the new owner's hints name it."""
    peers, clock = PeersStub(), ManualClock(100_000.0)
    adoption, runner = _start_with_stored_job("e3#1", peers, clock, are_peers_known=True)
    peers.live = [peer_stub("e3")]
    adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    clock.advance(UNNAMED_JOB_DELAY)
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs


def test_stored_jobs_count_as_waiting_until_their_owner_is_known() -> None:
    """Guards against quotas that forget accepted jobs after the loss of all entries."""
    peers = PeersStub()
    adoption, _ = _start_with_stored_job("e1#1", peers, others=["k"])
    assert not adoption.are_stored_jobs_known
    assert adoption.take_over_stored_jobs(lambda job_id, owner: False)
    assert adoption.are_stored_jobs_known
    assert adoption.unowned_tokens("/") == 2
    adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    assert adoption.unowned_tokens("/") == 2
    peers.live.append(peer_stub("e3", "j"))
    adoption.adopt_orphans(lambda job_id: False)
    assert adoption.unowned_tokens("/") == 1
