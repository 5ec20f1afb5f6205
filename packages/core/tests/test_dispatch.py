"""Tests of batch dispatch: which job gets the next credit."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobspool_core import Dispatcher, DispatchJob, ManualClock, make_dispatcher

FAR_DUE_TIME = 1e12


def job(
    id: str, organisation: str, items: int, weight: float = 1.0, due: float = FAR_DUE_TIME
) -> DispatchJob:
    """Return the scheduling data of a job."""
    return DispatchJob(
        id=id, organisation=organisation, weight=weight, due_at=due, items_left=items
    )


def dispatcher_of(*jobs: DispatchJob) -> Dispatcher:
    """Return a dispatcher in which all items of the jobs are ready."""
    dispatcher = make_dispatcher(ManualClock())
    for each in jobs:
        dispatcher.add_job(each)
        dispatcher.add_ready_items(each.id, each.items_left)
    return dispatcher


def test_small_job_gets_an_equal_share_beside_a_large_job() -> None:
    """A job of 20 items gets every second credit beside a job of 560,000 items.

    This holds for jobs of one organisation and for jobs of two organisations.
    """
    for organisation in ("other", "large"):
        large = job("a-large", "large", 560_000)
        dispatcher = dispatcher_of(large, job("b-small", organisation, 20))
        dispatched = dispatcher.assign_credits(41, 0.0)
        assert Counter(dispatched)["b-small"] == 20


def test_credits_follow_the_weights_of_organisations_not_their_number_of_jobs() -> None:
    """An organisation with 50 jobs and weight 1 gets a third of the credits beside weight 2."""
    many = [job(f"many-{n}", "many", 10_000) for n in range(50)]
    dispatcher = dispatcher_of(*many, job("one", "one", 10_000, weight=2.0))
    counts = Counter(dispatcher.assign_credits(3_000, 0.0))
    assert 1_990 <= counts["one"] <= 2_010
    assert all(19 <= counts[each.id] <= 21 for each in many)


def test_an_organisation_that_was_idle_does_not_catch_up() -> None:
    """An organisation idle for 10,000 credits gets its share from then on, and no more."""
    dispatcher = dispatcher_of(job("a", "a", 50_000), job("b", "b", 1))
    dispatcher.assign_credits(10_000, 0.0)
    dispatcher.add_ready_items("b", 1_000)
    dispatcher.add_job(job("b", "b", 1_000))
    assert 95 <= Counter(dispatcher.assign_credits(200, 0.0))["b"] <= 105


def test_new_job_does_not_starve_an_older_job_of_its_organisation() -> None:
    """A new job and a long-running job of the same organisation get equal shares."""
    dispatcher = dispatcher_of(job("old", "a", 50_000))
    dispatcher.assign_credits(10_000, 0.0)
    dispatcher.add_job(job("new", "a", 1_000))
    dispatcher.add_ready_items("new", 1_000)
    assert 95 <= Counter(dispatcher.assign_credits(200, 0.0))["new"] <= 105


def end_times(due: float, *, has_due_time: bool = True) -> dict[str, float]:
    """Run four jobs at 100 credits a second until job ``due`` ends.

    Returns:
        When each job that ended did so, in milliseconds.
    """
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    left = {"due": 2_000, "x": 20_000, "y": 20_000, "z": 20_000}
    for name, items in left.items():
        due_at = due if name == "due" and has_due_time else FAR_DUE_TIME
        dispatcher.add_job(job(name, name, items, due=due_at))
        dispatcher.add_ready_items(name, items)
    ended = {}
    while "due" not in ended:
        clock.advance(100.0)
        for name in dispatcher.assign_credits(10, clock.now()):
            left[name] -= 1
            if not left[name]:
                ended[name] = clock.now()
    return ended


def test_job_at_risk_of_missing_its_due_time_is_prioritised() -> None:
    """A job that would be late with its fair share finishes in time.

    2,000 items at a quarter of 100 credits a second take 80 s; the job is due in 50 s.
    """
    assert end_times(50_000.0, has_due_time=False)["due"] > 75_000.0
    assert end_times(50_000.0)["due"] <= 50_000.0


@pytest.mark.parametrize("at_once", [1, 10])
def test_urgent_jobs_take_at_most_half_of_the_credits(at_once: int) -> None:
    """Ten urgent jobs that can't meet their due time do not starve another organisation's job."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    for n in range(10):
        dispatcher.add_job(job(f"urgent-{n}", "urgent", 1_000_000, due=100_000.0))
        dispatcher.add_ready_items(f"urgent-{n}", 1_000_000)
    dispatcher.add_job(job("other", "other", 10_000))
    dispatcher.add_ready_items("other", 10_000)
    counts: Counter[str] = Counter()
    for _ in range(300):
        clock.advance(100.0)
        for _ in range(10 // at_once):
            counts.update(dispatcher.assign_credits(at_once, clock.now()))
    assert counts["other"] >= 0.24 * counts.total()


@settings(max_examples=100, deadline=None)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["add", "offer", "remove", "take", "wait"]),
            st.integers(0, 5),
            st.integers(1, 30),
        ),
        max_size=60,
    )
)
def test_dispatch_uses_exactly_the_items_that_are_ready(
    steps: list[tuple[str, int, int]],
) -> None:
    """After any sequence of changes, only ready items are dispatched and none is left out."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    ready: Counter[str] = Counter()
    known = set()
    for action, which, count in steps:
        name = f"job-{which}"
        if action == "add":
            known.add(name)
            dispatcher.add_job(job(name, f"org-{which % 3}", count, due=5_000.0 * count))
        elif action == "offer":
            dispatcher.add_ready_items(name, count)
            ready[name] += count if name in known else 0
        elif action == "remove":
            dispatcher.remove_job(name)
            known.discard(name)
            del ready[name]
        elif action == "wait":
            clock.advance(100.0 * count)
        else:
            dispatched = dispatcher.assign_credits(count, clock.now())
            assert len(dispatched) == min(count, ready.total())
            ready.subtract(dispatched)
            assert min(ready.values(), default=0) >= 0
    assert Counter(dispatcher.assign_credits(10_000, clock.now())) == +ready


def test_job_with_a_reused_id_is_distinct_from_the_removed_job() -> None:
    """A job added under the id of a removed job is not confused with its stale queue entries."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    for _ in range(3):
        dispatcher.remove_job("a")
        dispatcher.add_job(job("a", "o", 100, due=1_000.0))
        dispatcher.add_ready_items("a", 5)
    assert dispatcher.assign_credits(10, clock.now()) == ["a"] * 5
