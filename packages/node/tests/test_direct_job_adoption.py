"""What an entry that has just started takes over."""

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
    """Keeps the jobs that were taken on and works on none."""

    jobs: dict[str, OwnedJob] = field(default_factory=dict)

    def add(self, job: OwnedJob) -> None:
        self.jobs[job.job_id] = job

    def get(self, job_id: str) -> OwnedJob | None:
        return self.jobs.get(job_id)


class _NoPeers:
    """Nobody has been heard yet."""

    identity = "e2#1"

    def holder_of(self, job_id: str) -> None:
        """Return nobody."""

    def by_identity(self, identity: str) -> None:
        """Return nobody."""

    def announce(self) -> None:
        """Tell nobody."""


def _start_beside(job_owner: str) -> tuple[JobAdoption, _Runner]:
    """Return an entry that has just started, and a stored job of somebody in the store."""
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
        peers_settled=lambda: False,
    )
    return adoption, runner


def test_a_job_that_may_have_an_owner_is_taken_over_once_its_owner_says_it_has_none() -> None:
    """An entry starts again and lists the store: a job there may have an owner that it has not
    heard of yet, so it waits. The owner then tells that it gave the job up. Its first note of the
    job must not hold it back: the items stood still for 2.2 s until another process had started."""
    adoption, runner = _start_beside("e1#1")
    adoption.add_orphans(["j"], "recovered")
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs
    adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    adoption.adopt_orphans(lambda job_id: True)
    assert set(runner.jobs) == {"j"}


def test_a_job_that_another_has_taken_over_is_left_to_it() -> None:
    """An owner leaves and names the jobs that it gave up in all its hints until it is gone. Another
    entry takes them over. Entries that start then hear of the first one before they hear of the
    second, and took each job from its living owner, one after the other: its runs were cut."""
    adoption, runner = _start_beside("e3#1")
    adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    adoption.adopt_orphans(lambda job_id: True)
    assert not runner.jobs
    adoption.add_orphans(["j"], "lost e3#1", lost_owner="e3#1")
    adoption.adopt_orphans(lambda job_id: True)
    assert set(runner.jobs) == {"j"}
