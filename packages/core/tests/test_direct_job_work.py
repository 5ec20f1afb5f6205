"""State of a job's items across runs, commits, conflicts and takeovers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carobspool_core.direct import (
    UNKNOWN_VERSION,
    Configuration,
    ItemOutcome,
    ItemWork,
    JobInput,
    JobItem,
    JobProgress,
    JobWork,
    PartialItem,
    Route,
    RouteKind,
    Upstream,
    WeightedService,
    job_from_json,
    job_to_json,
    progress_from_json,
    progress_to_json,
)


def _job(count: int = 3) -> JobInput:
    items = tuple(
        JobItem(item_id=f"i{number}", path="/p/", headers={"M": "m"}, body=b"\xff", tokens=10)
        for number in range(count)
    )
    return JobInput(job_id="j", host="h", path="/p/x", owner="a#1", submitted=1.0, items=items)


def _work(count: int = 3) -> JobWork:
    return JobWork(_job(count), JobProgress(owner="a#1", total=count))


def _configuration(*services: str) -> Configuration:
    route = Route(
        name="r",
        host="h",
        path_prefix="/p/",
        kind=RouteKind.BATCH,
        timeout=1_000.0,
        target_latency=100.0,
        priority=0,
        services=tuple(WeightedService(service=each, weight=1.0) for each in services),
    )
    return Configuration(version=1, routes=(route,))


def _waiting(work: JobWork, service: str) -> list[list[str]]:
    return [list(group.works) for group in work.waiting_items(0.0, _configuration(service))]


def test_records_round_trip_through_json() -> None:
    job = _job()
    assert job_from_json("j", job_to_json(job)) == job
    work = _work()
    item = work.open_items()[0]
    item.received_texts.append("text")
    work.finish(item, ItemOutcome.COMPLETED)
    work.record_failed_run(work.open_items()[0], max_attempts=3)
    progress = work.progress_to_commit("a#1")
    assert progress_from_json(progress_to_json(progress)) == progress
    assert progress.failures == {"i1": 1}


def test_a_result_is_readable_only_once_committed() -> None:
    work = _work()
    work.finish(work.open_items()[0], ItemOutcome.COMPLETED)
    assert not work.committed
    progress = work.progress_to_commit("a#1")
    work.apply_stored_progress(progress)
    assert [each.item_id for each in work.committed] == ["i0"]
    assert not work.has_uncommitted


def test_results_received_during_a_commit_keep_their_positions() -> None:
    """A second item finishes while a commit is in progress. A reader must see the first item at
    position 0 and the second at position 1, each of them once."""
    work = _work()
    first, second, _ = work.open_items()
    work.finish(first, ItemOutcome.COMPLETED)
    progress = work.progress_to_commit("a#1")
    work.finish(second, ItemOutcome.COMPLETED)
    work.apply_stored_progress(progress)
    assert work.has_uncommitted
    work.apply_stored_progress(work.progress_to_commit("a#1"))
    assert [each.item_id for each in work.committed] == ["i0", "i1"]


def test_failed_runs_are_counted_across_a_takeover() -> None:
    """An item fails twice at an owner, which then dies. The next owner gives the item up after its
    third failure."""
    work = _work(1)
    item = work.open_items()[0]
    assert not work.record_failed_run(item, max_attempts=3)
    assert not work.record_failed_run(item, max_attempts=3)
    next_owner = JobWork(
        _job(1), progress_from_json(progress_to_json(work.progress_to_commit("b#1")))
    )
    assert next_owner.record_failed_run(next_owner.open_items()[0], max_attempts=3)
    assert [each.outcome for each in next_owner.progress_to_commit("b#1").results] == [
        ItemOutcome.DEAD
    ]


def test_next_owner_resumes_after_the_committed_events() -> None:
    """Two owners are lost in the middle of an item. The final text is complete: each next owner
    receives the events after the last commit again."""
    work = _work(1)
    for number, owner in enumerate(("b#1", "c#1")):
        item = work.open_items()[0]
        assert item.last_event == number * 2
        item.received_texts.extend([f"t{number}0", f"t{number}1"])
        stored = progress_from_json(progress_to_json(work.progress_to_commit(owner)))
        item.received_texts.append("not committed")
        work = JobWork(_job(1), stored)
    item = work.open_items()[0]
    item.received_texts.append("end")
    work.finish(item, ItemOutcome.COMPLETED)
    (result,) = work.progress_to_commit("c#1").results
    assert result.text == "t00\nt01\nt10\nt11\nend"


def test_restart_discards_events_also_after_a_takeover() -> None:
    work = _work(1)
    work.open_items()[0].received_texts.append("t")
    work = JobWork(_job(1), work.progress_to_commit("b#1"))
    item = work.open_items()[0]
    item.discard_received()
    assert (item.last_event, item.text) == (0, "")
    assert not work.progress_to_commit("b#1").parts


def test_ended_job_commits_no_partial_items() -> None:
    work = _work(1)
    work.open_items()[0].received_texts.append("t")
    work.end()
    assert not work.progress_to_commit("a#1").parts


def test_rejected_item_is_dead_at_once_and_has_no_text() -> None:
    work = _work(1)
    item = work.open_items()[0]
    item.received_texts.append("half")
    work.record_rejection(item)
    (result,) = work.progress_to_commit("a#1").results
    assert (result.outcome, result.text) == (ItemOutcome.DEAD, "")


def test_ended_job_has_no_waiting_items() -> None:
    work = _work()
    work.end()
    assert work.waiting_items(0.0, _configuration("a")) == []
    assert work.finished
    assert work.waiting_tokens == 0


def test_interrupted_items_resume_before_new_ones_start() -> None:
    work = _work()
    interrupted = work.open_items()[2]
    work.start(interrupted)
    assert _waiting(work, "a") == [["i0", "i1"]]
    interrupted.received_texts.extend(["t"] * 5)
    interrupted.running = False
    assert _waiting(work, "a") == [["i2"], ["i0", "i1"]]


def test_items_wait_by_the_service_that_runs_them() -> None:
    """Guards against items that wait for the service of an earlier configuration."""
    work = _work(40)
    (group,) = work.waiting_items(0.0, _configuration("a"))
    assert (group.service, len(group.works)) == ("a", 40)
    groups = work.waiting_items(0.0, _configuration("a", "b"))
    assert {each.service for each in groups} == {"a", "b"}
    assert sum(len(each.works) for each in groups) == 40
    (group,) = work.waiting_items(0.0, Configuration(version=2, routes=()))
    assert group.route is None
    for item in work.open_items():
        work.finish(item, ItemOutcome.DEAD)
    assert not work.waiting_items(0.0, _configuration("a"))
    assert work.waiting_tokens == 0


@given(st.lists(st.tuples(st.sampled_from(["start", "end", "finish"]), st.integers(0, 5))))
def test_each_open_item_either_runs_or_waits_in_one_group(steps: list[tuple[str, int]]) -> None:
    """Guards against items that no pass finds, and against items that start twice."""
    work = _work(6)
    works = {each.item.item_id: each for each in work.open_items()}
    for step, number in steps:
        item = works[f"i{number}"]
        if step == "start" and item in work.open_items():
            work.start(item)
        elif step == "end":
            item.running = False
        elif step == "finish":
            work.finish(item, ItemOutcome.COMPLETED)
        waiting = [item_id for group in _waiting(work, "a") for item_id in group]
        running = [key for key, each in works.items() if each.running]
        left = [each.item.item_id for each in work.open_items()]
        assert sorted(waiting) == sorted(set(left) - set(running))
        assert work.waiting_tokens == 10 * len(left)


@given(st.lists(st.sampled_from(["finish", "propose", "adopt", "lose"]), max_size=40))
def test_interleaved_commits_neither_duplicate_items_nor_move_positions(steps: list[str]) -> None:
    """Commits are proposed, acknowledged, or acknowledged late because their answer was lost."""
    work = _work(6)
    stored = JobProgress(owner="a#1", total=6)
    proposed: JobProgress | None = None
    longest_seen: list[str] = []
    for step in steps:
        open_items = work.open_items()
        if step == "finish" and open_items:
            work.finish(open_items[0], ItemOutcome.COMPLETED)
        elif step == "propose":
            proposed = work.progress_to_commit("a#1")
            stored = proposed
        elif step == "adopt" and proposed is not None:
            work.apply_stored_progress(stored)
        elif step == "lose":
            work = JobWork(_job(6), stored)
            proposed = None
        committed = [each.item_id for each in work.committed]
        assert committed[: len(longest_seen)] == longest_seen[: len(committed)]
        longest_seen = max(longest_seen, committed, key=len)
        assert len(set(committed)) == len(committed)


def _engine(version: str) -> Upstream:
    return Upstream(
        instance="i",
        service="s",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
        version=version,
    )


def test_an_item_resumes_only_at_the_version_that_sent_its_events() -> None:
    """Guards against a text that two software versions have written."""
    work = ItemWork(item=_job().items[0])
    assert work.may_resume_at(_engine("v2"))
    work.received_texts.append("x")
    assert not work.may_resume_at(_engine(UNKNOWN_VERSION))
    work.version = "v1"
    assert work.may_resume_at(_engine("v1"))
    assert not work.may_resume_at(_engine("v2"))
    work.discard_received()
    assert work.may_resume_at(_engine("v2"))


def test_an_item_starts_over_once_it_has_waited_for_as_long_as_that_takes() -> None:
    """Guards against items that wait without end for the last busy server of their version."""
    work = ItemWork(item=_job().items[0], received_texts=["x"], version="v1")
    assert not work.may_start_over(9_999.0, repeated=0.0)
    work.waits_since = 1_000.0
    assert not work.may_start_over(1_999.0, repeated=1_000.0)
    assert work.may_start_over(2_000.0, repeated=1_000.0)


def test_stored_parts_keep_their_versions() -> None:
    """Guards against a next owner that resumes an item at another version, or at a guessed one."""
    versions = {"a": "v1", "b": "v2", "c": "v1"}
    parts = {
        key: PartialItem(last_event=1, text="t", version=each) for key, each in versions.items()
    }
    stored = progress_to_json(JobProgress(owner="e#1", total=3, parts=parts))
    assert {key: each.version for key, each in progress_from_json(stored).parts.items()} == versions
    # An entry of the previous version reads and writes a part of two elements, and no versions.
    assert stored["parts"] == {key: [1, "t"] for key in versions}
    del stored["parts_version"], stored["part_versions"]
    read = progress_from_json(stored)
    assert {each.version for each in read.parts.values()} == {UNKNOWN_VERSION}
