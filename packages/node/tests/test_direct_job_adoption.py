"""Takeover of jobs by an entry that has just started."""

from __future__ import annotations

from dataclasses import dataclass, field

from carobspool_core import boottime_clock
from carobspool_core.direct import JobInput, JobItem
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore


@dataclass
class _Runner:
    """Records the added jobs and runs no items."""

    jobs: dict[str, OwnedJob] = field(default_factory=dict)

    def add(self, job: OwnedJob) -> None:
        self.jobs[job.job_id] = job

    def get(self, job_id: str) -> OwnedJob | None:
        return self.jobs.get(job_id)


class _NoPeers:
    """No hint of another entry has arrived yet."""

    identity = "e2#1"

    def find_job_peer(self, job_id: str) -> None:
        """Return no peer."""

    def by_identity(self, identity: str) -> None:
        """Return no peer."""

    def announce(self) -> None:
        """Do nothing, since there is no peer."""


def _start_with_stored_job(job_owner: str) -> tuple[JobAdoption, _Runner]:
    """Return the adoption and runner of an entry that has just started, with a job in the store."""
    records = JobRecords(MemoryStore(MemoryObjects(), "e2"), 1_048_576)
    item = JobItem(item_id="i", path="/", headers={}, body=b"", tokens=1)
    given = JobInput(job_id="j", host="h", path="/", owner=job_owner, submitted=0.0, items=(item,))
    assert records.create_input(given)
    runner = _Runner()
    adoption = JobAdoption(
        boottime_clock(),
        JobCatalog(records),
        runner,  # type: ignore[arg-type]
        _NoPeers(),  # type: ignore[arg-type]
        Telemetry(),
        are_peers_known=lambda: False,
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
