"""Tests of the choice of sidecars that an entry connects to."""

from __future__ import annotations

from collections import Counter

from carobspool_core import DesiredState, Model, Upstream, UpstreamKind
from carobspool_node.links._connections import Connections


def _state(engines: int, *, services: int = 0) -> DesiredState:
    upstreams = {
        f"engine-{number}": Upstream(
            host=f"engine-{number}",
            address=f"10.0.0.{number % 250}:9000",
            failure_domain="d",
            models=(f"m{number % 2}",),
        )
        for number in range(engines)
    }
    for number in range(services):
        host = f"plain-{number}"
        upstreams[host] = Upstream(
            host=host,
            address="10.0.1.1:9000",
            failure_domain="d",
            kind=UpstreamKind.SERVICE,
            service="orders",
        )
    models = {name: Model(name=name, version="1") for name in ("m0", "m1")}
    return DesiredState(revision=1, models=models, upstreams=upstreams)


def test_a_small_fleet_is_connected_whole() -> None:
    """At today's sizes each entry connects to every sidecar, of engines and plain services."""
    state = _state(9, services=3)
    assert set(Connections("e1").choose(state, ["e1", "e2"])) == set(state.upstreams)


def test_an_entry_without_a_lease_yet_connects_too() -> None:
    """An entry that starts while the store is down still reaches its sidecars."""
    assert len(Connections("e1").choose(_state(4), [])) == 4


def test_a_large_fleet_is_connected_in_subsets() -> None:
    """Each of 60 entries holds at most 24 sidecars of a model, and no sidecar is left alone."""
    state = _state(400)
    entries = [f"e{number}" for number in range(60)]
    held: Counter[str] = Counter()
    for entry in entries:
        chosen = Connections(entry).choose(state, entries)
        for model in ("m0", "m1"):
            count = sum(model in upstream.models for upstream in chosen.values())
            assert 1 <= count <= 24
        held.update(chosen.keys())
    assert set(held) == set(state.upstreams)
    assert min(held.values()) >= 3


def test_a_target_that_is_gone_is_forgotten() -> None:
    """What is kept of a model ends with its declaration."""
    connections = Connections("e1")
    connections.choose(_state(4), ["e1"])
    connections.choose(DesiredState(revision=2), ["e1"])
    assert connections.choose(DesiredState(revision=2), ["e1"]) == {}
