"""Tests of model loads: the declared state is reached without losing all ready upstreams."""

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

LIMITS = WeightStoreLimits(bytes_per_second=1e9, max_concurrent_loads=4)
SIZES = {"a": 10_000_000_000, "b": 10_000_000_000}


def model_version(name: str) -> ModelVersion:
    """Return version ``1`` of model ``a`` for ``a1``."""
    return ModelVersion(model=name[0], version=name[1:])


def upstream(n: int, declared: str, ready: str = "", room: int = 1) -> UpstreamModels:
    """Return upstream ``n`` in one of three failure domains; names are separated by spaces."""
    return UpstreamModels(
        host=f"up-{n}",
        failure_domain=f"fd-{n % 3}",
        declared=frozenset(model_version(name) for name in declared.split()),
        ready=frozenset(model_version(name) for name in ready.split()),
        max_models=room,
    )


def apply_orders(fleet: list[UpstreamModels], orders: list[LoadOrder]) -> list[UpstreamModels]:
    """Return the fleet after its unloads have completed and its loads have started."""
    by_host = {each.host: each for each in fleet}
    for order in orders:
        each = by_host[order.host]
        which = frozenset({ModelVersion(model=order.model, version=order.version)})
        if order.kind is LoadOrderKind.UNLOAD:
            by_host[order.host] = replace(each, ready=each.ready - which)
            continue
        by_host[order.host] = replace(each, loading=each.loading | which)
    return list(by_host.values())


def finish_loads(fleet: list[UpstreamModels]) -> list[UpstreamModels]:
    """Return the fleet after all loads have completed."""
    return [replace(each, ready=each.ready | each.loading, loading=frozenset()) for each in fleet]


def ready_counts(fleet: list[UpstreamModels]) -> dict[str, int]:
    """Count the upstreams that have each model ready, in any version."""
    ready_models = [{version.model for version in each.ready} for each in fleet]
    return {model: sum(model in ready for ready in ready_models) for model in ("a", "b")}


def run_rollout(fleet: list[UpstreamModels]) -> tuple[list[UpstreamModels], int, int]:
    """Carry out planned orders until there are none left.

    Returns:
        The final fleet, the lowest number of ready upstreams of ``a``, and the highest number of
        concurrent loads.
    """
    min_ready, max_loading = ready_counts(fleet)["a"], 0
    for _ in range(200):
        orders = plan_model_loads(fleet, SIZES, LIMITS)
        if not orders and not any(each.loading for each in fleet):
            break
        fleet = apply_orders(fleet, orders)
        max_loading = max(max_loading, sum(len(each.loading) for each in fleet))
        min_ready = min(min_ready, ready_counts(fleet)["a"])
        fleet = finish_loads(fleet)
    return fleet, min_ready, max_loading


def test_rollout_of_a_new_version_keeps_three_quarters_ready() -> None:
    """While twelve upstreams change version, at least nine are ready and at most four load."""
    fleet, min_ready, max_loading = run_rollout([upstream(n, "a2", "a1") for n in range(12)])
    assert all(each.ready == each.declared for each in fleet)
    assert min_ready >= 9
    assert max_loading <= 4


def test_the_last_ready_upstream_stays_until_another_is_ready() -> None:
    """Two upstreams change version one after the other; a single upstream is blocked."""
    fleet, min_ready, _ = run_rollout([upstream(0, "a2", "a1"), upstream(1, "a2", "a1")])
    assert all(each.ready == each.declared for each in fleet)
    assert min_ready == 1
    alone = [upstream(0, "a2", "a1")]
    assert plan_model_loads(alone, SIZES, LIMITS) == []
    assert blocked_model_loads(alone) == ["up-0"]


def test_with_room_the_new_version_is_loaded_before_the_old_is_unloaded() -> None:
    """A single upstream with memory for two versions always has one ready."""
    fleet, min_ready, _ = run_rollout([upstream(0, "a2", "a1", room=2)])
    assert fleet[0].ready == fleet[0].declared
    assert min_ready == 1


def test_loads_stay_within_the_limits_of_the_weight_store() -> None:
    """Concurrent loads are limited in number and by the time they take with shared bandwidth."""
    empty = [upstream(n, "a1") for n in range(20)]
    assert len(plan_model_loads(empty, SIZES, LIMITS)) == 4
    slow = replace(LIMITS, bytes_per_second=40_000_000.0)
    assert len(plan_model_loads(empty, SIZES, slow)) == 2
    slower = replace(LIMITS, bytes_per_second=1_000.0)
    assert len(plan_model_loads(empty, SIZES, slower)) == 1


def test_a_model_without_ready_upstreams_is_loaded_first_and_spread() -> None:
    """The first loads are of the model without a ready upstream, one in each failure domain."""
    fleet = [upstream(n, "a1", "a1" if n < 3 else "") for n in range(9)]
    fleet += [upstream(n, "b1") for n in range(9, 18)]
    orders = plan_model_loads(fleet, SIZES, replace(LIMITS, max_concurrent_loads=3))
    domains = {each.host: each.failure_domain for each in fleet}
    assert [order.model for order in orders] == ["b", "b", "b"]
    assert len({domains[order.host] for order in orders}) == 3


def test_unreachable_upstream_gets_no_orders_and_does_not_count_as_ready() -> None:
    """Its ready model does not allow the last reachable upstream to unload that model."""
    unreachable = replace(upstream(0, "a1", "a1"), reachable=False)
    assert plan_model_loads([unreachable, upstream(1, "b1", "a1")], SIZES, LIMITS) == []


MODELS = st.sampled_from(["a1", "a2", "b1", "b2"])


@settings(max_examples=150, deadline=None)
@given(
    pairs=st.lists(st.tuples(MODELS, st.one_of(st.just(""), MODELS), st.integers(1, 2)), max_size=9)
)
def test_no_declared_model_that_was_ready_ever_becomes_unready(
    pairs: list[tuple[str, str, int]],
) -> None:
    """From any state, a declared model with a ready upstream keeps at least one throughout."""
    fleet = [upstream(n, wanted, ready, room) for n, (wanted, ready, room) in enumerate(pairs)]
    declared = {version.model for each in fleet for version in each.declared}
    for _ in range(40):
        before = ready_counts(fleet)
        fleet = apply_orders(fleet, plan_model_loads(fleet, SIZES, LIMITS))
        assert all(len(each.ready) + len(each.loading) <= each.max_models for each in fleet)
        after = ready_counts(fleet)
        assert all(after[model] or not before[model] for model in declared)
        fleet = finish_loads(fleet)
    stuck = [each.host for each in fleet if each.ready != each.declared]
    assert set(stuck) <= set(blocked_model_loads(fleet))
