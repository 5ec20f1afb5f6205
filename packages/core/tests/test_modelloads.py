"""Model loads: what runs becomes what is declared, with somebody ready all the time."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from carobspool_core import (
    LoadOrder,
    LoadOrderKind,
    ModelVersion,
    UpstreamModels,
    WeightStoreLimits,
    blocked_model_loads,
    plan_model_loads,
)

LIMITS = WeightStoreLimits(bytes_per_second=1e9, concurrent=4)
SIZES = {"a": 10_000_000_000, "b": 10_000_000_000}


def one(name: str) -> ModelVersion:
    """Return ``a1`` as model ``a`` in version ``1``."""
    return ModelVersion(model=name[0], version=name[1:])


def upstream(n: int, declared: str, ready: str = "", room: int = 1) -> UpstreamModels:
    """Return upstream ``n`` in one of three failure domains; names are separated by blanks."""
    return UpstreamModels(
        host=f"up-{n}",
        failure_domain=f"fd-{n % 3}",
        declared=frozenset(one(name) for name in declared.split()),
        ready=frozenset(one(name) for name in ready.split()),
        room=room,
    )


def carried_out(fleet: list[UpstreamModels], orders: list[LoadOrder]) -> list[UpstreamModels]:
    """Return the fleet after unloads took effect and loads began."""
    by_host = {each.host: each for each in fleet}
    for order in orders:
        each = by_host[order.host]
        which = frozenset({ModelVersion(model=order.model, version=order.version)})
        if order.kind is LoadOrderKind.UNLOAD:
            by_host[order.host] = replace(each, ready=each.ready - which)
            continue
        by_host[order.host] = replace(each, loading=each.loading | which)
    return list(by_host.values())


def loaded(fleet: list[UpstreamModels]) -> list[UpstreamModels]:
    """Return the fleet after all loads ended."""
    return [replace(each, ready=each.ready | each.loading, loading=frozenset()) for each in fleet]


def ready_counts(fleet: list[UpstreamModels]) -> dict[str, int]:
    """Count the upstreams that have each model ready, in any version."""
    names = [{one.model for one in each.ready} for each in fleet]
    return {model: sum(model in each for each in names) for model in ("a", "b")}


def rollout(fleet: list[UpstreamModels]) -> tuple[list[UpstreamModels], int, int]:
    """Follow the plan to its end; return the fleet, least ready of ``a``, most loads at once."""
    least, most = ready_counts(fleet)["a"], 0
    for _ in range(200):
        orders = plan_model_loads(fleet, SIZES, LIMITS)
        if not orders and not any(each.loading for each in fleet):
            break
        fleet = carried_out(fleet, orders)
        most = max(most, sum(len(each.loading) for each in fleet))
        least = min(least, ready_counts(fleet)["a"])
        fleet = loaded(fleet)
    return fleet, least, most


def test_a_new_version_rolls_out_with_three_quarters_ready() -> None:
    """A new version on twelve upstreams keeps nine of them answering, at most four loading."""
    fleet, least, most = rollout([upstream(n, "a2", "a1") for n in range(12)])
    assert all(each.ready == each.declared for each in fleet)
    assert least >= 9
    assert most <= 4


def test_the_last_ready_upstream_stays_until_another_is_ready() -> None:
    """Two upstreams change version one after the other; one alone that must change waits."""
    fleet, least, _ = rollout([upstream(0, "a2", "a1"), upstream(1, "a2", "a1")])
    assert all(each.ready == each.declared for each in fleet)
    assert least == 1
    alone = [upstream(0, "a2", "a1")]
    assert plan_model_loads(alone, SIZES, LIMITS) == []
    assert blocked_model_loads(alone) == ["up-0"]


def test_with_room_the_new_version_is_loaded_before_the_old_goes() -> None:
    """A single upstream with room for two versions never stops answering."""
    fleet, least, _ = rollout([upstream(0, "a2", "a1", room=2)])
    assert fleet[0].ready == fleet[0].declared
    assert least == 1


def test_loads_keep_to_what_the_weight_store_gives() -> None:
    """Loads at once are bounded by its count and by the time that sharing its rate would take."""
    empty = [upstream(n, "a1") for n in range(20)]
    assert len(plan_model_loads(empty, SIZES, LIMITS)) == 4
    slow = replace(LIMITS, bytes_per_second=40_000_000.0)
    assert len(plan_model_loads(empty, SIZES, slow)) == 2
    slower = replace(LIMITS, bytes_per_second=1_000.0)
    assert len(plan_model_loads(empty, SIZES, slower)) == 1


def test_a_model_that_nobody_serves_is_loaded_first_and_spread() -> None:
    """The first loads go to the model without a ready upstream, one in each failure domain."""
    fleet = [upstream(n, "a1", "a1" if n < 3 else "") for n in range(9)]
    fleet += [upstream(n, "b1") for n in range(9, 18)]
    orders = plan_model_loads(fleet, SIZES, replace(LIMITS, concurrent=3))
    domains = {each.host: each.failure_domain for each in fleet}
    assert [order.model for order in orders] == ["b", "b", "b"]
    assert len({domains[order.host] for order in orders}) == 3


def test_an_upstream_that_cannot_be_reached_counts_for_nothing() -> None:
    """It gets no orders, and what it has ready does not let the last other one go."""
    gone = replace(upstream(0, "a1", "a1"), reachable=False)
    assert plan_model_loads([gone, upstream(1, "b1", "a1")], SIZES, LIMITS) == []


MODELS = st.sampled_from(["a1", "a2", "b1", "b2"])


@settings(max_examples=150, deadline=None)
@given(
    pairs=st.lists(st.tuples(MODELS, st.one_of(st.just(""), MODELS), st.integers(1, 2)), max_size=9)
)
def test_no_declared_model_that_was_ready_ever_becomes_unready(
    pairs: list[tuple[str, str, int]],
) -> None:
    """From any start, a declared model with a ready upstream keeps one through the whole plan."""
    fleet = [upstream(n, want, has, room) for n, (want, has, room) in enumerate(pairs)]
    declared = {each.model for one_ in fleet for each in one_.declared}
    for _ in range(40):
        before = ready_counts(fleet)
        fleet = carried_out(fleet, plan_model_loads(fleet, SIZES, LIMITS))
        assert all(len(each.ready) + len(each.loading) <= each.room for each in fleet)
        after = ready_counts(fleet)
        assert all(after[model] or not before[model] for model in declared)
        fleet = loaded(fleet)
    stuck = [each.host for each in fleet if each.ready != each.declared]
    assert set(stuck) <= set(blocked_model_loads(fleet))
