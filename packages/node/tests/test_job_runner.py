"""The batch runner: jobs run to their end, are cancelled, and change hands in order."""

from __future__ import annotations

import json
import time
from collections import Counter

from _job_fleet import SHAPING, Fleet, assert_whole, until

from carobspool_core import (
    BatchItem,
    ItemOutcome,
    JobCounts,
    JobStatus,
    Outcome,
    broken_upstream,
    chunk_from_json,
    keyed_job_id,
    unavailable,
)
from carobspool_node.jobs._job_changes import cancel
from carobspool_node.jobs._job_results import result_content
from carobspool_node.jobs._job_runner import ChunkDone


def test_job_runs_to_its_end(fleet: Fleet) -> None:
    """Two entries share a job; every item runs once and the results are in input order."""
    fleet.start("a", "b")
    job = fleet.submit(95)
    ended = fleet.wait_for_end(job)
    assert ended.status is JobStatus.COMPLETED
    assert_whole(fleet, job, 95)
    assert len(fleet.upstreams.starts) == 95
    assert list(fleet.results(job)) == [f"poem-{number}" for number in range(95)]
    assert ended.counts.output_bytes == len(
        b"".join(result_content(fleet.client, job, failed=False))
    )
    until(lambda: fleet.objects.value(f"open/{job.id}") is None)


def test_a_released_chunk_is_claimed_at_once(fleet: Fleet) -> None:
    """A caller sees the job go on as soon as a leaving entry lets its chunks go.

    One of two entries says that it leaves and finishes what runs. The other looked at all chunks
    when it heard that, found these still claimed, and has run out of work by the time that they
    are released and the lease is given up.
    """
    fleet.start("a", "b")
    leaving = fleet.nodes["b"]
    fleet.upstreams.delay = 0.02
    fleet.upstreams.delays["b"] = 1.5
    job = fleet.submit(200)
    until(lambda: len(fleet.holders()) == 2)
    leaving.lease.leave()
    until(lambda: fleet.nodes["a"].members.available_nodes() == ("a",))
    assert leaving.runner.release_all(5_000.0) == 0
    leaving.lease.give_up()
    assert fleet.wait_for_end(job, 3.0).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 200)


def test_lost_hints(fleet: Fleet) -> None:
    """A job ends without any hint: its coordinator reads the chunks it has not heard of."""
    fleet.lose_hints = True
    fleet.start("a", "b")
    job = fleet.submit(95)
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 95)


def test_hint_before_the_job_is_known(fleet: Fleet) -> None:
    """A chunk's end that is told before the watch tells of its job is not lost."""
    fleet.probe_after = 3_600_000.0
    fleet.start("a")
    done = ChunkDone(job=keyed_job_id("press", "k"), chunk=0, counts=JobCounts(completed=10))
    fleet.nodes["a"].runner.chunk_done(done)
    time.sleep(0.1)
    job = fleet.submit(25)
    assert fleet.wait_for_end(job).counts.completed == 25
    assert len(fleet.upstreams.starts) == 15


def test_cancel_stops_running_items(fleet: Fleet) -> None:
    """A caller's cancel stops the job: nothing starts later, what had finished stays readable.

    Items run when the cancel is written; a watch tells the owners. They cancel what runs, write
    what had ended, and chunks that nobody had claimed get a final state as well.
    """
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(400)
    until(lambda: fleet.job(job.id).counts.completed > 0 or len(fleet.upstreams.starts) > 60)
    cancel(fleet.client, job, who="editor", reason="wrong file", now=9.0, hint=lambda job: None)
    time.sleep(0.3)
    started = len(fleet.upstreams.starts)
    ended = fleet.wait_for_end(job)
    assert ended.status is JobStatus.CANCELLED
    assert ended.audit[0].who == "editor"
    assert ended.audit[0].reason == "wrong file"
    assert len(fleet.upstreams.starts) == started < 400
    fleet.check_history()
    results = fleet.results(job)
    assert len(results) == ended.counts.completed + ended.counts.failed
    states = [chunk_from_json(json.loads(text)) for _, (_, text) in fleet._chunks()]
    assert [state.status.value for state in states] == ["done"] * len(job.chunk_sizes)


def test_cancel_while_an_owner_is_frozen(fleet: Fleet) -> None:
    """A thawed owner starts nothing of a job that was cancelled and ended while it was frozen."""
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(300)
    until(lambda: len(fleet.holders()) == 2)
    fleet.nodes["b"].freeze()
    cancel(fleet.client, job, who="editor", reason="", now=9.0, hint=lambda job: None)
    fleet.wait_for_end(job)
    time.sleep(1.1)
    started = len(fleet.upstreams.starts)
    fleet.nodes["b"].thaw()
    time.sleep(0.3)
    assert len(fleet.upstreams.starts) == started
    fleet.check_history()


def test_cancel_hint_reaches_an_entry_cut_off_from_the_store(fleet: Fleet) -> None:
    """An entry that cannot read the store stops a cancelled job's items on a hint."""
    fleet.start("a")
    fleet.upstreams.gate.clear()
    job = fleet.submit(30)
    until(lambda: len(fleet.upstreams.starts) >= 8)
    node = fleet.nodes["a"]
    node.store.outage = True
    node.runner.job_changed(job.id, cancelling=True)
    until(lambda: len(fleet.upstreams.cancels) == len(fleet.upstreams.starts))
    started = len(fleet.upstreams.starts)
    time.sleep(0.2)
    assert len(fleet.upstreams.starts) == started


def test_non_idempotent_items_run_at_most_once(fleet: Fleet) -> None:
    """A poet never gets two letters, whatever dies.

    One owner is killed and another frozen and thawed with letters under way. Successors do not
    know which were sent; those end as errors with the outcome unknown, the rest run, none twice.
    """
    fleet.start("a", "b", "c")
    fleet.upstreams.delay = 0.02
    job = fleet.submit(150, idempotent=False)
    until(lambda: len(fleet.holders()) == 3)
    fleet.nodes["b"].freeze()
    fleet.nodes["c"].kill()
    time.sleep(1.5)
    fleet.nodes["b"].thaw()
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 150)
    starts = Counter(custom_id for _, _, custom_id, _ in fleet.upstreams.starts)
    assert max(starts.values()) == 1
    for custom_id, line in fleet.results(job).items():
        if line["error"] is None:
            assert starts[custom_id] == 1
            continue
        assert line["error"]["outcome"] == "unknown"


def test_non_idempotent_items_wait_for_the_store(fleet: Fleet) -> None:
    """With the store down no non-idempotent item starts: its intent cannot be written."""
    fleet.start("a")
    fleet.upstreams.delay = 0.05
    job = fleet.submit(100, idempotent=False)
    until(lambda: len(fleet.upstreams.starts) > 0)
    fleet.nodes["a"].store.outage = True
    time.sleep(0.4)
    started = len(fleet.upstreams.starts)
    time.sleep(0.3)
    assert len(fleet.upstreams.starts) == started < 100
    fleet.nodes["a"].store.outage = False
    assert fleet.wait_for_end(job).counts.completed == 100
    assert len(fleet.upstreams.starts) == 100


def test_poisoned_items_end_as_errors(fleet: Fleet) -> None:
    """An item that breaks every upstream ends as an error after its attempts; the job ends."""

    def answer(item: BatchItem) -> ItemOutcome | None:
        if item.custom_id != "poem-3":
            return None
        return ItemOutcome(failure=broken_upstream("crashed", "It broke.", outcome=Outcome.UNKNOWN))

    fleet.upstreams.answer = answer
    fleet.start("a")
    job = fleet.submit(12)
    ended = fleet.wait_for_end(job)
    assert (ended.counts.completed, ended.counts.failed) == (11, 1)
    starts = Counter(custom_id for _, _, custom_id, _ in fleet.upstreams.starts)
    assert starts["poem-3"] == SHAPING.max_attempts
    assert fleet.results(job)["poem-3"]["error"]["code"] == "crashed"


def test_items_not_run_are_repeated_freely(fleet: Fleet) -> None:
    """A refusal that says "not run" never uses up an attempt, for non-idempotent items neither."""
    refusals: Counter[str] = Counter()

    def answer(item: BatchItem) -> ItemOutcome | None:
        refusals[item.custom_id] += 1
        if refusals[item.custom_id] > 2:
            return None
        return ItemOutcome(failure=unavailable("busy", "Busy.", retry_after_ms=1.0))

    fleet.upstreams.answer = answer
    fleet.start("a")
    job = fleet.submit(6, idempotent=False)
    assert fleet.wait_for_end(job).counts.completed == 6


def test_release_hands_claims_over_at_once(fleet: Fleet) -> None:
    """An entry that shuts down finishes what runs; another goes on before any lease expires."""
    fleet.start("a", "b")
    fleet.upstreams.delay = 0.03
    job = fleet.submit(300)
    until(lambda: len(fleet.holders()) == 2)
    leaving = fleet.nodes["b"]
    leaving.lease.leave()
    assert leaving.runner.release_all(5_000.0) == 0
    leaving.lease.give_up()
    assert fleet.upstreams.cancels == []
    assert fleet.wait_for_end(job).status is JobStatus.COMPLETED
    assert_whole(fleet, job, 300)
    assert len(fleet.upstreams.starts) == 300
