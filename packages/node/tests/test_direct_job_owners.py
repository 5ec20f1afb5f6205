"""Jobs whose record names another owner than the entries know, at an entry without threads."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import pytest
from _adoption_stubs import PeersStub, RunnerStub, peer_stub
from msgspec.structs import replace
from returns.pipeline import is_successful

from carobspool_core import ManualClock, Millis
from carobspool_core.direct import JobInput, JobItem, Route, RouteKind, WeightedService
from carobspool_node.direct._job_adoption import UNATTENDED_TIME, UNSETTLED_TIME, JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog, initial_progress
from carobspool_node.direct._job_index import LISTING_INTERVAL, JobIndex
from carobspool_node.direct._job_reconciliation import QUIET_TIME, JobReconciliation
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._jobs import Jobs, Outcome
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._waiting_quota import WaitingQuota
from carobspool_standins.memory_store import FaultKind, FaultRule, MemoryObjects, MemoryStore

OWN = PeersStub.identity
_ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.BATCH,
    timeout=5_000.0,
    target_latency=300.0,
    priority=0,
    services=(WeightedService(service="s", weight=1.0),),
)


class _Leaving:
    def wait(self, timeout: float) -> bool:
        return True


class _Entry:
    """An entry that has run for a while, and a store."""

    def __init__(self) -> None:
        self.objects = MemoryObjects()
        self.store = MemoryStore(self.objects, "e2")
        self.clock, self.peers, self.runner = ManualClock(100_000.0), PeersStub(), RunnerStub()
        self.records = JobRecords(self.store, 1_048_576)
        self.catalog = JobCatalog(self.records)
        self.asked: list[tuple[str, Sequence[str]]] = []
        self.confirmed: Collection[str] = ()
        self.adoption = JobAdoption(
            self.clock,
            self.catalog,
            self.runner,  # type: ignore[arg-type]
            self.peers,  # type: ignore[arg-type]
            Telemetry(),
            are_peers_known=lambda: True,
            confirm=self._confirm,
        )
        quota = WaitingQuota(
            self.runner,  # type: ignore[arg-type]
            self.adoption,
            self.peers,  # type: ignore[arg-type]
            are_peers_known=lambda: True,
        )
        self.jobs = Jobs(
            self.clock,
            self.catalog,
            self.runner,  # type: ignore[arg-type]
            self.adoption,
            self.peers,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            quota,
        )
        self.index = JobIndex(self.clock, self.store)
        self.has_duty = True
        self.reconciliation = JobReconciliation(
            self.clock,
            self.index,
            self.adoption,
            leaving=_Leaving(),  # type: ignore[arg-type]
            has_duty=lambda: self.has_duty,
            are_peers_known=lambda: True,
            wake_adoption=lambda: None,
        )

    def _confirm(self, identity: str, job_ids: Sequence[str]) -> Collection[str]:
        self.asked.append((identity, job_ids))
        return self.confirmed

    def store_job(self, owner: str, job_id: str = "j") -> JobInput:
        """Store a job of one item and return it."""
        item = JobItem(item_id="i", path="/", headers={}, body=b"", tokens=1)
        job = JobInput(job_id=job_id, host="h", path="/", owner=owner, submitted=0.0, items=(item,))
        assert is_successful(self.records.create_input(job))
        return job

    def set_owner(self, job: JobInput, owner: str, *, version: int = 0) -> int:
        """Write progress that names an owner and return its version."""
        progress = replace(initial_progress(job).progress, owner=owner)
        return self.records.write_progress(job.job_id, progress, version=version).unwrap().version

    def pass_time(self, time: Millis, *, assigned: bool = True) -> None:
        """Let time pass, with a look for orphans each half second."""
        until = self.clock.now() + time
        while self.clock.now() < until:
            self.clock.advance(500.0)
            self.adoption.adopt_orphans(lambda job_id: assigned)

    def reconcile(self, times: int = 3) -> None:
        """Compare the stored jobs several times, some seconds apart."""
        for _ in range(times):
            self.reconciliation.reconcile()
            self.pass_time(QUIET_TIME)


@pytest.fixture
def entry() -> _Entry:
    return _Entry()


@pytest.mark.parametrize("delay", [500.0, 6_000.0, UNSETTLED_TIME - 500.0])
def test_a_takeover_that_takes_effect_late_is_noticed(entry: _Entry, delay: Millis) -> None:
    """Guards against a takeover of unknown end that is forgotten when the old owner wakes up."""
    entry.store_job("e1#1")
    entry.store.inject(FaultRule(kind=FaultKind.UNKNOWN_LATE, prefix="progress/"))
    entry.adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    entry.adoption.adopt_orphans(lambda job_id: True)
    entry.peers.live = [peer_stub("e1", "j")]
    entry.pass_time(delay, assigned=False)
    entry.objects.do_late_writes()
    entry.pass_time(UNSETTLED_TIME, assigned=False)
    assert set(entry.runner.jobs) == {"j"}


def test_a_takeover_that_never_takes_effect_is_given_up(entry: _Entry) -> None:
    """Guards against a job that is read for ever, or taken from the owner that runs it."""
    entry.store_job("e1#1")
    entry.store.inject(FaultRule(kind=FaultKind.UNKNOWN_BEFORE, prefix="progress/"))
    entry.adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    entry.adoption.adopt_orphans(lambda job_id: True)
    entry.peers.live = [peer_stub("e1", "j")]
    entry.pass_time(2 * UNSETTLED_TIME, assigned=False)
    reads = entry.store.calls["get"]
    entry.pass_time(UNSETTLED_TIME, assigned=False)
    assert entry.store.calls["get"] == reads < 20
    assert not entry.runner.jobs


def test_an_acceptance_that_takes_effect_late_is_noticed(entry: _Entry) -> None:
    """Guards against a stored job that the entry named in it has given up as not accepted."""
    entry.adoption.add_unsettled("j", "accepted without an answer")
    entry.pass_time(6_000.0)
    entry.store_job(OWN)
    entry.pass_time(UNSETTLED_TIME)
    assert set(entry.runner.jobs) == {"j"}


@pytest.mark.parametrize("listed", [False, True], ids=["orphan", "listed"])
def test_a_peer_that_does_not_own_a_job_does_not_keep_it_by_naming_it(
    entry: _Entry, listed: bool
) -> None:
    """Guards against a job of an ended owner that is left to the entry from which that owner took
    it, which cannot learn of its loss while the store is down."""
    job = entry.store_job("e1#1")
    entry.set_owner(job, "e2#0")
    entry.peers.live = [peer_stub("e1", "j")]
    if listed:
        assert entry.adoption.take_over_stored_jobs(lambda job_id, owner: owner == "e2#0")
    else:
        entry.adoption.add_orphans(["j"], "lost e2#0", lost_owner="e2#0")
        entry.adoption.adopt_orphans(lambda job_id: True)
    assert set(entry.runner.jobs) == {"j"}


def test_entries_to_which_an_orphan_is_not_assigned_do_not_read_a_named_job(entry: _Entry) -> None:
    """Guards against one call to the store per entry for each job of an entry that is lost."""
    entry.store_job("e1#1")
    entry.peers.live = [peer_stub("e3", "j")]
    before = dict(entry.store.calls)
    entry.adoption.add_orphans(["j"], "lost e1#1", lost_owner="e1#1")
    entry.pass_time(10_000.0, assigned=False)
    assert entry.store.calls == before


@pytest.mark.parametrize("change", ["none", "commit", "named"])
def test_a_job_taken_by_another_entry_is_taken_back_if_nobody_runs_it(
    entry: _Entry, change: str
) -> None:
    """Guards against an owner that gives a job up to an entry that does not run it. A new owner
    that commits or names the job keeps it: two entries must not take it from each other."""
    job = entry.store_job(OWN)
    version = entry.set_owner(job, "e3#0")
    entry.adoption.add_unattended("j", "taken by another entry", version=version)
    entry.pass_time(UNATTENDED_TIME / 2)
    assert not entry.runner.jobs
    if change == "commit":
        entry.records.write_progress(
            "j",
            replace(initial_progress(job).progress, owner="e3#0", failures={"i": 1}),
            version=version,
        )
    elif change == "named":
        entry.peers.live = [replace_incarnation(peer_stub("e3", "j"), "0")]
    entry.pass_time(4 * UNATTENDED_TIME)
    assert set(entry.runner.jobs) == ({"j"} if change == "none" else set())


def replace_incarnation(peer: Peer, incarnation: str) -> Peer:
    """Return a peer with another incarnation."""
    return replace(peer, incarnation=incarnation)


def test_a_lost_job_does_not_count_as_run(entry: _Entry) -> None:
    """Guards against a repeat that is answered by an entry that has just lost the job."""
    job = entry.store_job(OWN)
    assert entry.adoption.ensure_owner("j", "submitted again")
    entry.runner.jobs["j"].mark_lost()
    entry.set_owner(job, "e3#0")
    assert entry.adoption.ensure_owner("j", "submitted again")
    assert not entry.runner.jobs["j"].lost


def test_a_cached_job_that_was_removed_is_not_run_again(entry: _Entry) -> None:
    """Guards against a removed job that an entry takes over because it still has its input."""
    entry.catalog.cache_input(entry.store_job("e1#1"))
    stored = entry.store.get("jobs/j").unwrap()
    assert entry.records.remove(stored) is None
    assert entry.adoption.ensure_owner("j", "submitted again")
    assert not entry.runner.jobs


def test_a_cached_job_that_was_removed_is_not_found(entry: _Entry) -> None:
    """Guards against callers who wait for results of a removed job, and ends that leave progress
    of it in the store."""
    entry.catalog.cache_input(entry.store_job("e1#1"))
    assert entry.records.remove(entry.store.get("jobs/j").unwrap()) is None
    assert entry.jobs.results("j", 0, 0.0) is Outcome.NOT_FOUND
    assert entry.jobs.end("j") is Outcome.NOT_FOUND
    assert not is_successful(entry.records.read_progress("j"))


@pytest.mark.parametrize("state", ["stored", "removed", "store down"])
def test_a_cached_job_of_no_organisation_is_looked_up_when_it_comes_again(
    entry: _Entry, state: str
) -> None:
    """Guards against a removed job that counts as accepted because this entry has its input."""
    entry.catalog.cache_input(entry.store_job("e1#1"))
    if state == "removed":
        assert entry.records.remove(entry.store.get("jobs/j").unwrap()) is None
    entry.store.outage = state == "store down"
    item = JobItem(item_id="i", path="/", headers={}, body=b"", tokens=1)
    job = JobInput(job_id="o/j", host="h", path="/", owner="", submitted=0.0, items=(item,))
    outcome = entry.jobs.submit(job, _ROUTE, id_without_organisation="j")
    assert outcome is (Outcome.UNAVAILABLE if state == "store down" else Outcome.DONE)
    ran = {"stored": {"j"}, "removed": {"o/j"}, "store down": set()}
    assert set(entry.runner.jobs) == ran[state]


@pytest.mark.parametrize("owner", [OWN, "e1#0"], ids=["own", "ended"])
@pytest.mark.parametrize("has_progress", [False, True], ids=["accepted", "taken over"])
@pytest.mark.parametrize("way", ["watched", "silent watch", "compacted", "new duty"])
def test_a_stored_job_that_nobody_runs_gets_an_owner(
    entry: _Entry, owner: str, has_progress: bool, way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against writes that take effect after everybody who could learn of them is gone."""
    entry.has_duty = way != "new duty"
    entry.reconcile()
    if has_progress:
        entry.set_owner(entry.store_job("e1#1"), owner)
    else:
        entry.store_job(owner)
    if way == "compacted":
        entry.objects.compact()
    if way == "silent watch":
        monkeypatch.setattr(MemoryStore, "_changes", lambda *args: ())
        entry.reconcile()
        entry.clock.advance(LISTING_INTERVAL)
    entry.has_duty = True
    entry.reconcile()
    assert set(entry.runner.jobs) == {"j"}


def test_jobs_of_live_owners_are_left_to_them(entry: _Entry) -> None:
    """Guards against jobs that are taken from owners whose hints do not name them, because they
    have more jobs than a hint holds. The owner is asked once for all of them."""
    entry.peers.live = [peer_stub("e1", "j0")]
    entry.confirmed = [f"j{number}" for number in range(1, 400)]
    for number in range(400):
        entry.store_job("e1#1", f"j{number}")
    entry.reconcile(times=2)
    assert not entry.runner.jobs
    assert [len(job_ids) for _, job_ids in entry.asked] == [399]


def test_a_job_that_its_live_owner_does_not_run_gets_another_owner(entry: _Entry) -> None:
    """Guards against a live owner that neither names a job nor reads its record."""
    entry.peers.live = [peer_stub("e1")]
    entry.store_job("e1#1")
    entry.reconcile(times=4)
    assert set(entry.runner.jobs) == {"j"}


def test_an_entry_runs_a_job_of_its_own_that_a_peer_asks_for(entry: _Entry) -> None:
    """Guards against an answer that leaves a job with an owner that does not run it."""
    entry.store_job(OWN)
    assert entry.adoption.confirm_jobs(["j"]) == []
    entry.pass_time(500.0)
    assert entry.adoption.confirm_jobs(["j"]) == ["j"]


def test_an_entry_that_runs_a_job_of_another_owner_learns_of_it(entry: _Entry) -> None:
    """Guards against a job whose owner has ended, and which an entry takes for its own that has no
    reason to read the record while the items wait."""
    job = entry.store_job(OWN)
    assert entry.adoption.ensure_owner("j", "submitted again")
    first = entry.runner.jobs["j"]
    entry.set_owner(job, "e1#0")
    entry.reconcile()
    assert first.lost
    assert entry.runner.jobs["j"] is not first
    assert not entry.runner.jobs["j"].lost


def test_finished_and_changing_jobs_are_left_alone(entry: _Entry) -> None:
    """Guards against a takeover of a job that has ended, or whose owner commits progress."""
    ended = entry.store_job("e1#0", "ended")
    progress = replace(initial_progress(ended).progress, ended=True)
    entry.records.write_progress("ended", progress, version=0)
    changing = entry.store_job("e1#0", "changing")
    version = entry.set_owner(changing, "e1#0")
    for number in range(5):
        entry.reconciliation.reconcile()
        entry.pass_time(QUIET_TIME - 500.0)
        progress = replace(
            initial_progress(changing).progress, owner="e1#0", failures={"i": number + 1}
        )
        version = (
            entry.records.write_progress("changing", progress, version=version).unwrap().version
        )
    assert not entry.runner.jobs


def test_only_one_entry_compares(entry: _Entry) -> None:
    """Guards against calls to the store by every entry."""
    entry.has_duty = False
    entry.reconcile()
    assert entry.store.calls == {}


def test_a_store_that_is_down_does_not_end_the_comparison(entry: _Entry) -> None:
    """Guards against a search that stops with the first failed call."""
    entry.store.outage = True
    entry.reconcile()
    entry.store.outage = False
    entry.store_job(OWN)
    entry.reconcile()
    assert set(entry.runner.jobs) == {"j"}
