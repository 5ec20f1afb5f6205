"""Choice of an upstream and giving way. No network, no clock."""

from __future__ import annotations

import pytest

from carobspool_core.direct import (
    BatchUrgency,
    Load,
    Upstream,
    choose_batch_upstream,
    choose_upstream,
    excess_of_batch,
    share_of_excess,
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


def test_online_goes_where_least_online_runs() -> None:
    pool = [_upstream("x"), _upstream("y")]
    loads = {"x": Load(online=5), "y": Load(online=2)}
    chosen = choose_upstream(pool, loads, failure_domain="a", queue=lambda _: 6)
    assert chosen is pool[1]


def test_a_burst_spreads_over_the_pool() -> None:
    """Sixty requests at once over nine upstreams of eight slots: none gets much more than its
    share, and none is refused while there are places."""
    pool = [_upstream(f"u{number}", domain="abc"[number % 3]) for number in range(9)]
    loads: dict[str, Load] = {}
    for _ in range(60):
        chosen = choose_upstream(pool, loads, failure_domain="a", queue=lambda _: 6)
        assert chosen is not None
        loads[chosen.instance] = Load(online=loads.get(chosen.instance, Load()).online + 1)
    assert max(load.online for load in loads.values()) <= 8


def test_a_pool_that_is_overfull_refuses() -> None:
    pool = [_upstream("x", slots=8)]
    assert choose_upstream(pool, {"x": Load(online=8 + 5)}, failure_domain="a", queue=lambda _: 6)
    assert not choose_upstream(
        pool, {"x": Load(online=8 + 6)}, failure_domain="a", queue=lambda _: 6
    )


def test_a_suspect_is_used_only_when_nothing_else_is_left() -> None:
    pool = [_upstream("x"), _upstream("y")]
    loads = {"y": Load(online=7)}
    assert (
        choose_upstream(
            pool, loads, failure_domain="a", queue=lambda _: 6, suspects=frozenset({"x"})
        )
        is pool[1]
    )
    assert choose_upstream(
        pool[:1], loads, failure_domain="a", queue=lambda _: 6, suspects=frozenset({"x"})
    )


def test_batch_leaves_a_reserve_and_avoids_suspects() -> None:
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
def test_an_item_takes_more_of_the_reserve_the_less_time_it_has(
    urgency: BatchUrgency, room: int
) -> None:
    pool = [_upstream("x", slots=8)]
    assert choose_batch_upstream(pool, {"x": Load(batch=room - 1)}, urgency=urgency)
    assert not choose_batch_upstream(pool, {"x": Load(batch=room)}, urgency=urgency)


@pytest.mark.parametrize(("slots", "room"), [(1, 1), (2, 1), (5, 4), (6, 4), (8, 6)])
def test_the_reserve_fits_the_size_of_an_upstream(slots: int, room: int) -> None:
    pool = [_upstream("x", slots=slots)]
    assert choose_batch_upstream(pool, {"x": Load(batch=room - 1)})
    assert not choose_batch_upstream(pool, {"x": Load(batch=room)})


@pytest.mark.parametrize(
    ("online", "batch", "excess"),
    [(0, 8, 0), (1, 7, 0), (1, 8, 1), (3, 8, 3), (9, 4, 4), (9, 0, 0)],
)
def test_batch_gives_way_by_what_stands_in_the_way(online: int, batch: int, excess: int) -> None:
    """Eight slots: batch runs give way to online requests for as much as is too much."""
    assert excess_of_batch(_upstream("x"), Load(online, batch)) == excess


@pytest.mark.parametrize("excess", [1, 2, 5, 8, 12])
def test_entries_together_give_up_what_is_too_much_and_no_more(excess: int) -> None:
    """Eight runs of five entries at one upstream, and each entry decides alone. Sharing the excess
    out and rounding up, each of them cut a run where one was in the way."""
    runs = {"a": 1, "b": 1, "c": 3, "d": 1, "e": 2}
    shares = {entry: share_of_excess(_upstream("x"), excess, runs, entry) for entry in runs}
    assert sum(shares.values()) == min(excess, 8)
    assert all(shares[entry] <= runs[entry] for entry in runs)


def test_no_entry_is_always_the_first_to_give_way() -> None:
    runs = {"a": 1, "b": 1, "c": 1}
    first = {
        entry
        for number in range(30)
        for entry in runs
        if share_of_excess(_upstream(f"x{number}"), 1, runs, entry)
    }
    assert first == set(runs)
