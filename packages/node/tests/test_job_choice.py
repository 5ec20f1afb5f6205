"""Tests of the choice among jobs at an entry."""

from __future__ import annotations

from collections import Counter

from carobspool_core import DesiredState, Job, ManualClock, Organisation
from carobspool_node.jobs._job_choice import FORGET_AFTER, TIDY_INTERVAL, _JobChoice

_STATE = DesiredState(
    revision=1,
    organisations={"a": Organisation(name="a", weight=3.0), "b": Organisation(name="b")},
)


def _job(name: str, organisation: str, items: int = 1000) -> Job:
    return Job(
        id=name,
        organisation=organisation,
        caller="c",
        content="",
        input_file="",
        input_id="",
        endpoint="/v1/chat/completions",
        metadata={},
        chunk_sizes=(items,),
        created_at=0.0,
        due_at=1e15,
    )


def test_organisations_share_by_weight() -> None:
    """Of four items three are of the organisation with three times the weight."""
    choice = _JobChoice(ManualClock(), lambda: _STATE)
    jobs = [_job("long", "a", 560_000), _job("short", "b", 20)]
    counts = Counter(choice.choose(jobs) for _ in range(400))
    assert abs(counts["long"] - 300) <= 4


def test_a_short_job_of_the_same_organisation_is_not_starved() -> None:
    """A job of 20 items gets every other place beside one of 560,000."""
    choice = _JobChoice(ManualClock(), lambda: _STATE)
    jobs = [_job("long", "a", 560_000), _job("short", "a", 20)]
    counts = Counter(choice.choose(jobs) for _ in range(40))
    assert counts["short"] == 20


def test_jobs_that_ended_are_forgotten() -> None:
    """What is remembered does not grow with the jobs of the past, and a returning job is served."""
    clock = ManualClock()
    choice = _JobChoice(clock, lambda: _STATE)
    for number in range(100):
        choice.choose([_job(f"old-{number}", "a")])
    clock.advance(FORGET_AFTER + TIDY_INTERVAL)
    assert choice.choose([_job("new", "b")]) == "new"
    assert len(choice._asked_at) == 1
    assert choice.choose([_job("old-1", "a")]) == "old-1"
