"""Dispatch: which job gets the next credit."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobspool_core import Dispatcher, JobShare, ManualClock, make_dispatcher

FAR = 1e12


def job(id: str, organisation: str, items: int, weight: float = 1.0, due: float = FAR) -> JobShare:
    """Return a job's share."""
    return JobShare(id=id, organisation=organisation, weight=weight, due=due, items_left=items)


def dispatcher_of(*jobs: JobShare) -> Dispatcher:
    """Return a dispatcher with all items of the jobs ready."""
    dispatcher = make_dispatcher(ManualClock())
    for each in jobs:
        dispatcher.add_job(each)
        dispatcher.offer(each.id, each.items_left)
    return dispatcher


def test_a_job_of_twenty_is_done_beside_one_of_560_000() -> None:
    """The small job of another organisation gets each second credit, one of the same likewise."""
    for organisation in ("other", "large"):
        large = job("a-large", "large", 560_000)
        dispatcher = dispatcher_of(large, job("b-small", organisation, 20))
        taken = dispatcher.take(41, 0.0)
        assert Counter(taken)["b-small"] == 20


def test_credits_follow_the_weights_of_organisations_not_their_number_of_jobs() -> None:
    """An organisation with 50 jobs and weight 1 gets a third beside one job of weight 2."""
    many = [job(f"many-{n}", "many", 10_000) for n in range(50)]
    dispatcher = dispatcher_of(*many, job("one", "one", 10_000, weight=2.0))
    counts = Counter(dispatcher.take(3_000, 0.0))
    assert 1_990 <= counts["one"] <= 2_010
    assert all(19 <= counts[each.id] <= 21 for each in many)


def test_an_organisation_that_was_idle_does_not_catch_up() -> None:
    """One that comes back after 10,000 credits shares from then on; it does not take all."""
    dispatcher = dispatcher_of(job("a", "a", 50_000), job("b", "b", 1))
    dispatcher.take(10_000, 0.0)
    dispatcher.offer("b", 1_000)
    dispatcher.add_job(job("b", "b", 1_000))
    assert 95 <= Counter(dispatcher.take(200, 0.0))["b"] <= 105


def test_a_new_job_of_a_busy_organisation_does_not_shut_out_the_old() -> None:
    """A job that joins an organisation takes turns with the job that has run for long."""
    dispatcher = dispatcher_of(job("old", "a", 50_000))
    dispatcher.take(10_000, 0.0)
    dispatcher.add_job(job("new", "a", 1_000))
    dispatcher.offer("new", 1_000)
    assert 95 <= Counter(dispatcher.take(200, 0.0))["new"] <= 105


def finished_at(due: float, *, boost: bool = True) -> dict[str, float]:
    """Run three jobs at 100 credits a second; return when each ended, in milliseconds."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    left = {"due": 2_000, "x": 20_000, "y": 20_000, "z": 20_000}
    for name, items in left.items():
        date = due if name == "due" and boost else FAR
        dispatcher.add_job(job(name, name, items, due=date))
        dispatcher.offer(name, items)
    ended = {}
    while "due" not in ended:
        clock.advance(100.0)
        for name in dispatcher.take(10, clock.now()):
            left[name] -= 1
            if not left[name]:
                ended[name] = clock.now()
    return ended


def test_a_job_about_to_miss_its_due_time_is_boosted_in_time() -> None:
    """2,000 items at a quarter of 100 credits a second take 80 s; due in 50 s they are in time."""
    assert finished_at(50_000.0, boost=False)["due"] > 75_000.0
    assert finished_at(50_000.0)["due"] <= 50_000.0


@pytest.mark.parametrize("at_once", [1, 10])
def test_urgent_jobs_take_at_most_half_of_the_credits(at_once: int) -> None:
    """With ten hopelessly urgent jobs the job of another organisation still gets its turns."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    for n in range(10):
        dispatcher.add_job(job(f"urgent-{n}", "hasty", 1_000_000, due=100_000.0))
        dispatcher.offer(f"urgent-{n}", 1_000_000)
    dispatcher.add_job(job("calm", "calm", 10_000))
    dispatcher.offer("calm", 10_000)
    counts: Counter[str] = Counter()
    for _ in range(300):
        clock.advance(100.0)
        for _ in range(10 // at_once):
            counts.update(dispatcher.take(at_once, clock.now()))
    assert counts["calm"] >= 0.24 * counts.total()


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
def test_only_what_was_offered_is_taken_and_none_is_forgotten(
    steps: list[tuple[str, int, int]],
) -> None:
    """Whatever comes and goes, a taken item was offered before, and no ready item is left out."""
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
            dispatcher.offer(name, count)
            ready[name] += count if name in known else 0
        elif action == "remove":
            dispatcher.remove_job(name)
            known.discard(name)
            del ready[name]
        elif action == "wait":
            clock.advance(100.0 * count)
        else:
            taken = dispatcher.take(count, clock.now())
            assert len(taken) == min(count, ready.total())
            ready.subtract(taken)
            assert min(ready.values(), default=0) >= 0
    assert Counter(dispatcher.take(10_000, clock.now())) == +ready


def test_a_job_that_is_removed_and_added_again_is_a_new_one() -> None:
    """Ids that come back while their old places still stand in the queues are told apart."""
    clock = ManualClock()
    dispatcher = make_dispatcher(clock)
    for _ in range(3):
        dispatcher.remove_job("a")
        dispatcher.add_job(job("a", "o", 100, due=1_000.0))
        dispatcher.offer("a", 5)
    assert dispatcher.take(10, clock.now()) == ["a"] * 5
