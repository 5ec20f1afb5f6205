"""Ends of jobs that this entry takes over at the same time.

The failure: an entry is asked to end a job without an owner while another of its threads takes the
job over. It does not own the job when it looks, and writes the end to the store, behind its own
takeover. It reported the end to its peers, but not to itself, and sent the items of the job on.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace
from returns.pipeline import is_successful
from returns.result import Result

from carobspool_core import Json, StoredObject, StoreFailure, boottime_clock
from carobspool_core.direct import JobInput, JobItem
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._jobs import Jobs, Outcome
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore


class _Store(MemoryStore):
    """Calls functions right before the progress of a job is read and right after it is created."""

    def __init__(self) -> None:
        super().__init__(MemoryObjects(), "e2")
        self.before_read: Callable[[], object] = lambda: None
        self.after_create: Callable[[], object] = lambda: None

    def get(self, key: str) -> Result[StoredObject, StoreFailure]:
        if key == "progress/j":
            before, self.before_read = self.before_read, lambda: None
            before()
        return super().get(key)

    def create(self, key: str, value: Json) -> Result[StoredObject, StoreFailure]:
        created = super().create(key, value)
        if key == "progress/j":
            self.after_create()
        return created


class _NoPeers:
    """No other entry is alive."""

    identity = "e2#1"

    def find_job_peer(self, job_id: str) -> None:
        """Return no peer."""

    def by_identity(self, identity: str) -> None:
        """Return no peer."""

    def announce_soon(self) -> None:
        """Do nothing, since there is no peer."""

    def announce_ended(self, job_id: str) -> None:
        """Do nothing, since there is no peer."""


class _Entry:
    """An entry without threads, and a stored job whose owner is gone."""

    def __init__(self) -> None:
        clock, telemetry, peers = boottime_clock(), Telemetry(), _NoPeers()
        self.store = _Store()
        self.records = records = JobRecords(self.store, 1_048_576)
        item = JobItem(item_id="i", path="/", headers={}, body=b"", tokens=1)
        job = JobInput(job_id="j", host="h", path="/", owner="e1#1", submitted=0.0, items=(item,))
        assert records.create_input(job)
        catalog = JobCatalog(records)
        self.runner = JobRunner(
            clock,
            LoadTable(clock, "z", name="e2"),
            None,  # type: ignore[arg-type]
            telemetry,
            configuration=lambda: None,
            usable=lambda service: [],
            ownership_uncertain_until=lambda: 0.0,
        )
        self.adoption = JobAdoption(
            clock,
            catalog,
            self.runner,
            peers,  # type: ignore[arg-type]
            telemetry,
            are_peers_known=lambda: True,
        )
        self.jobs = Jobs(
            clock,
            catalog,
            self.runner,
            self.adoption,
            peers,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
        )

    def may_start_items(self) -> bool:
        """Return whether items of the job may start without another call to the store."""
        job = self.runner.get("j")
        assert job is not None
        valid = job.proof.is_valid(ownership_uncertain_until=0.0, max_age=1_500.0)
        return valid and not job.work.ended


def test_end_that_follows_a_takeover_by_the_same_entry_stops_its_items() -> None:
    entry = _Entry()
    entry.store.before_read = lambda: entry.adoption.ensure_owner("j", "lost e1#1")
    assert entry.jobs.end("j") is Outcome.DONE
    assert not entry.may_start_items()


def test_end_that_is_reported_before_the_answer_to_a_takeover_stops_its_items() -> None:
    """The end is written after the takeover and reported before the store's answer to the takeover
    has made this entry the owner. The entry that reported it may be gone by then."""
    entry = _Entry()

    def end_by_peer() -> None:
        stored = entry.records.read_progress("j").unwrap()
        ended = replace(stored.progress, ended=True)
        assert is_successful(entry.records.write_progress("j", ended, version=stored.version))
        entry.runner.handle_ended_jobs(["j"])

    entry.store.after_create = end_by_peer
    assert entry.adoption.ensure_owner("j", "lost e1#1")
    assert not entry.may_start_items()
