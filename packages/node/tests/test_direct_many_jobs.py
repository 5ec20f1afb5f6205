"""What the acceptance of a job costs an entry that has thousands of open jobs.

The failure: each acceptance counted the tokens of all open jobs and announced them all, so that two
entries with 2,000 jobs each accepted no more than 60 a second.
"""

from __future__ import annotations

import pytest
from test_direct_peers import _own_hint

from carobspool_core import ManualClock, Millis
from carobspool_core.direct import (
    Configuration,
    JobInput,
    JobItem,
    Route,
    RouteKind,
    WeightedService,
)
from carobspool_core.organisations import waiting_tokens_key
from carobspool_node.direct._job_catalog import initial_progress
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._job_runner import MAX_COUNT_PAUSE, JobRunner
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._peer import AnnouncementContent
from carobspool_node.direct._peers import MAX_ANNOUNCEMENT_PAUSE, HintSources, Peers
from carobspool_node.direct._telemetry import Telemetry
from carobspool_standins.memory_store import MemoryObjects, MemoryStore

_ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/",
    kind=RouteKind.BATCH,
    timeout=1_000.0,
    target_latency=100.0,
    priority=1,
    services=(WeightedService(service="s", weight=1.0),),
)
_KEY = waiting_tokens_key("r", None)


class _Entry:
    """The jobs of an entry without threads."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000.0)
        self.records = JobRecords(MemoryStore(MemoryObjects(), "e"), 1_048_576)
        self.counts = 0
        self.runner = JobRunner(
            self.clock,
            LoadTable(self.clock, "z", name="e1"),
            None,  # type: ignore[arg-type]
            Telemetry(),
            configuration=lambda: Configuration(version=1, routes=(_ROUTE,)),
            usable=lambda service: [],
            ownership_uncertain_until=lambda: 0.0,
        )

    def accept(self, number: int) -> OwnedJob:
        """Add a job of one item with ten tokens."""
        item = JobItem(item_id=f"i{number}", path="/", headers={}, body=b"", tokens=10)
        job = JobInput(
            job_id=f"j{number}", host="h", path="/", owner="e#1", submitted=0.0, items=(item,)
        )
        owned = OwnedJob(
            job, initial_progress(job), self.records, "e#1", self.clock, requested_at=0.0
        )
        self.runner.add(owned)
        return owned


def test_jobs_accepted_between_two_counts_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a limit that is exceeded by the jobs accepted since the last count."""
    entry = _Entry()
    counts: list[int] = []
    count = entry.runner.waiting_tokens

    def count_slowly() -> dict[str, int]:
        counts.append(1)
        entry.clock.advance(5.0)
        # A job is accepted while the others are counted.
        found = count()
        if len(counts) == 1:
            entry.accept(0)
        return found

    monkeypatch.setattr(entry.runner, "waiting_tokens", count_slowly)
    assert entry.runner.recent_waiting_tokens(_KEY) == 10
    for number in range(1, 500):
        entry.accept(number)
        assert entry.runner.recent_waiting_tokens(_KEY) >= 10 * (number + 1)
    assert len(counts) == 1
    entry.clock.advance(MAX_COUNT_PAUSE)
    assert entry.runner.recent_waiting_tokens(_KEY) == 5_000
    assert len(counts) == 2


def test_a_quick_count_is_never_old() -> None:
    """Guards against jobs that are refused for tokens of items that have been finished since."""
    entry = _Entry()
    jobs = [entry.accept(number) for number in range(3)]
    assert entry.runner.recent_waiting_tokens(_KEY) == 30
    jobs[0].end()
    assert entry.runner.recent_waiting_tokens(_KEY) == 20


@pytest.mark.parametrize(("duration", "least", "most"), [(8.0, 3, 8), (0.0, 200, 200)])
def test_announcements_of_accepted_jobs_share_what_takes_long(
    duration: Millis, least: int, most: int
) -> None:
    """Guards against an entry that spends its time on announcements. The last job is announced as
    well, and each at once while that takes no time."""
    clock = ManualClock(100_000.0)
    sent: list[Millis] = []

    def describe() -> AnnouncementContent:
        clock.advance(duration)
        sent.append(clock.now())
        return _own_hint()

    peers = Peers(
        clock,
        Telemetry(),
        name="e1",
        incarnation="1",
        address=("127.0.0.1", 0),
        own=HintSources(
            loads=dict,
            backlog=tuple,
            urgent=lambda: None,
            describe=describe,
            upstream_sharers=lambda: None,
            identities_by_key=dict,
        ),
    )
    for _ in range(200):
        clock.advance(2.0)
        peers.announce_soon()
    assert least <= len(sent) <= most
    clock.advance(MAX_ANNOUNCEMENT_PAUSE)
    assert peers._must_announce(clock.now()) is (duration > 0.0)
    peers.announce()
    assert not peers._must_announce(clock.now() + MAX_ANNOUNCEMENT_PAUSE)
