"""Placement on upstreams and preemption of batch runs. No network, no clock."""

from __future__ import annotations

import pytest

from carobspool_core.direct import (
    BatchUrgency,
    Load,
    Upstream,
    choose_batch_upstream,
    choose_upstream,
    excess_batch_runs,
    runs_to_cancel,
)


def _upstream(name: str, *, domain: str = "a", slots: int = 8, ready: bool = True) -> Upstream:
    return Upstream(
        instance=name,
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain=domain,
        slots=slots,
        ready=ready,
    )


def test_online_request_goes_to_the_least_loaded_upstream() -> None:
    pool = [_upstream("x"), _upstream("y")]
    loads = {"x": Load(online=5), "y": Load(online=2)}
    chosen = choose_upstream(pool, loads, failure_domain="a", queue_limit_of=lambda _: 6)
    assert chosen is pool[1]


def test_burst_is_spread_over_all_upstreams() -> None:
    """Sixty requests arrive at once for nine upstreams of eight slots. No upstream gets much more
    than its share, and no request is refused while slots are free."""
    pool = [_upstream(f"u{number}", domain="abc"[number % 3]) for number in range(9)]
    loads: dict[str, Load] = {}
    for _ in range(60):
        chosen = choose_upstream(pool, loads, failure_domain="a", queue_limit_of=lambda _: 6)
        assert chosen is not None
        loads[chosen.instance] = Load(online=loads.get(chosen.instance, Load()).online + 1)
    assert max(load.online for load in loads.values()) <= 8


def test_no_upstream_is_chosen_when_all_queues_are_full() -> None:
    pool = [_upstream("x", slots=8)]
    assert choose_upstream(
        pool, {"x": Load(online=8 + 5)}, failure_domain="a", queue_limit_of=lambda _: 6
    )
    assert not choose_upstream(
        pool, {"x": Load(online=8 + 6)}, failure_domain="a", queue_limit_of=lambda _: 6
    )


def test_suspect_is_used_only_if_no_other_upstream_is_left() -> None:
    pool = [_upstream("x"), _upstream("y")]
    loads = {"y": Load(online=7)}
    assert (
        choose_upstream(
            pool, loads, failure_domain="a", queue_limit_of=lambda _: 6, suspects=frozenset({"x"})
        )
        is pool[1]
    )
    assert choose_upstream(
        pool[:1], loads, failure_domain="a", queue_limit_of=lambda _: 6, suspects=frozenset({"x"})
    )


def test_batch_items_leave_a_reserve_and_avoid_suspects() -> None:
    pool = [_upstream("x", slots=4)]
    assert choose_batch_upstream(pool, {"x": Load(online=1, batch=1)})
    assert not choose_batch_upstream(pool, {"x": Load(online=1, batch=2)})
    assert not choose_batch_upstream(pool, {}, suspects=frozenset({"x"}))


@pytest.mark.parametrize(
    ("urgency", "room"),
    [
        (BatchUrgency.LATE, 6),
        (BatchUrgency.ORDINARY, 6),
        (BatchUrgency.DELAYED, 7),
        (BatchUrgency.URGENT, 8),
    ],
)
def test_items_with_less_time_use_more_of_the_reserve(urgency: BatchUrgency, room: int) -> None:
    pool = [_upstream("x", slots=8)]
    assert choose_batch_upstream(pool, {"x": Load(batch=room - 1)}, urgency=urgency)
    assert not choose_batch_upstream(pool, {"x": Load(batch=room)}, urgency=urgency)


@pytest.mark.parametrize(("slots", "room"), [(1, 1), (2, 1), (5, 4), (6, 4), (8, 6)])
def test_reserve_depends_on_the_slots_of_the_upstream(slots: int, room: int) -> None:
    pool = [_upstream("x", slots=slots)]
    assert choose_batch_upstream(pool, {"x": Load(batch=room - 1)})
    assert not choose_batch_upstream(pool, {"x": Load(batch=room)})


@pytest.mark.parametrize(
    ("online", "batch", "excess"),
    [(0, 8, 0), (1, 7, 0), (1, 8, 1), (3, 8, 3), (9, 4, 4), (9, 0, 0)],
)
def test_excess_is_the_number_of_batch_runs_that_block_online_requests(
    online: int, batch: int, excess: int
) -> None:
    """At an upstream of eight slots, only batch runs beyond the slots are cancelled, and only if
    online requests run there."""
    assert excess_batch_runs(_upstream("x"), Load(online, batch)) == excess


@pytest.mark.parametrize("excess", [1, 2, 5, 8, 12])
def test_entries_together_cancel_exactly_the_excess(excess: int) -> None:
    """Five entries have eight runs at one upstream, and each entry decides alone. With proportional
    shares, rounded up, each entry cancelled a run although one cancellation was enough."""
    runs = {"a": 1, "b": 1, "c": 3, "d": 1, "e": 2}
    shares = {entry: runs_to_cancel(_upstream("x"), excess, runs, entry) for entry in runs}
    assert sum(shares.values()) == min(excess, 8)
    assert all(shares[entry] <= runs[entry] for entry in runs)


def test_order_of_cancelling_entries_differs_by_upstream() -> None:
    runs = {"a": 1, "b": 1, "c": 1}
    first = {
        entry
        for number in range(30)
        for entry in runs
        if runs_to_cancel(_upstream(f"x{number}"), 1, runs, entry)
    }
    assert first == set(runs)
