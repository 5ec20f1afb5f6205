"""Tests of the selection of orders to an engine."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import (
    DeclaredEngine,
    DesiredState,
    EngineOrder,
    EngineOrderKind,
    EngineState,
    EpochRecord,
    Model,
    RunningModel,
    Upstream,
    UpstreamKind,
    declared_engine,
    describe_differences,
    epoch_from_json,
    epoch_to_json,
    next_order,
    takeover_delay,
)

versions = st.sampled_from(["1", "2"])
adapters = st.lists(st.sampled_from(["a", "b", "c"]), unique=True).map(tuple)
names = st.sampled_from(["m", "n", "o"])
running = st.builds(RunningModel, version=versions, adapters=adapters, ready=st.booleans())
engine_states = st.builds(
    EngineState, models=st.dictionaries(names, running), role=st.sampled_from(["serve", "off"])
)
declared_engines = st.builds(
    DeclaredEngine,
    models=st.dictionaries(
        names, st.builds(Model, name=names, version=versions, adapters=adapters)
    ),
    role=st.just("serve"),
)


def apply_order(state: EngineState, order: EngineOrder) -> EngineState:
    """Return the state of an engine after it has carried out an order."""
    models = dict(state.models)
    name = order.model or ""
    if order.kind is EngineOrderKind.ROLE:
        return replace(state, role=order.role or "")
    if order.kind is EngineOrderKind.UNLOAD:
        del models[name]
    if order.kind is EngineOrderKind.LOAD:
        kept = models[name].adapters if name in models else ()
        models[name] = RunningModel(version=order.version or "", adapters=kept)
    if order.kind is EngineOrderKind.ADAPTER:
        extended = (*models[name].adapters, order.adapter or "")
        models[name] = replace(models[name], adapters=extended)
    return replace(state, models=models)


@given(declared_engines, engine_states)
def test_orders_converge_to_the_declared_state(
    declared: DeclaredEngine, state: EngineState
) -> None:
    """From any state, an engine reaches the declared state after a bounded number of orders."""
    models = {name: replace(model, ready=True) for name, model in state.models.items()}
    state = replace(state, models=models)
    for _ in range(20):
        order = next_order(declared, state)
        if order is None:
            break
        state = apply_order(state, order)
    assert describe_differences(declared, state) == ()


@given(declared_engines, engine_states)
def test_an_order_is_selected_only_for_a_difference(
    declared: DeclaredEngine, state: EngineState
) -> None:
    """An engine that runs what is declared gets no order."""
    if not describe_differences(declared, state):
        assert next_order(declared, state) is None


def test_no_second_order_while_a_model_loads() -> None:
    """No order is selected while the declared version is loading."""
    declared = DeclaredEngine(models={"m": Model(name="m", version="2", adapters=("a",))})
    state = EngineState(models={"m": RunningModel(version="2", ready=False)}, role="serve")
    assert next_order(declared, state) is None
    assert "m: loading 2" in describe_differences(declared, state)


def test_only_declared_engines_get_orders() -> None:
    """A host that is not declared, or is declared as a plain service, gets no orders."""
    service = Upstream(
        host="s", address="127.0.0.1:1", failure_domain="d", kind=UpstreamKind.SERVICE
    )
    engine = Upstream(host="e", address="127.0.0.1:2", failure_domain="d", models=("m",))
    state = DesiredState(
        models={"m": Model(name="m", version="1")}, upstreams={"s": service, "e": engine}
    )
    assert declared_engine(state, "s") is None
    assert declared_engine(state, "none") is None
    found = declared_engine(state, "e")
    assert found is not None
    assert list(found.models) == ["m"]


@pytest.mark.parametrize(("released", "wait"), [(True, 0.0), (False, 75.0)])
def test_new_holder_waits_for_the_lease_and_the_longest_order(released: bool, wait: float) -> None:
    """A new holder sends orders at once only if the previous holder released its right."""
    record = EpochRecord(
        epoch=4, holder="a", incarnation="i", lease_ttl=15.0, order_timeout=60.0, released=released
    )
    assert epoch_from_json(epoch_to_json(record)).unwrap() == record
    assert takeover_delay(record) == wait
    assert takeover_delay(None) == 0.0
    assert epoch_from_json({"epoch": -1}).failure().detail
