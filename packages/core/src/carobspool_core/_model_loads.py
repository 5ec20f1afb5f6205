"""Decides which models to load and unload next.

Load pattern: one configuration change moves many upstreams to another model or version. If all of
them changed at once, all would be loading together: none would be left to serve requests, and the
weight store's bandwidth would be divided among so many loads that none would be ready for a long
time.

`plan_model_loads` returns only the orders of the next step and is called again with the resulting
state. It therefore keeps no state, a lost order is issued again, and a new declaration takes effect
in the middle of a rollout.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from carobspool_core._model_fleet import (
    Candidate,
    FleetState,
    LoadOrder,
    LoadOrderKind,
    ModelVersion,
    UpstreamModels,
    WeightStoreLimits,
)


def plan_model_loads(
    upstreams: Sequence[UpstreamModels],
    weight_bytes: Mapping[str, int],
    limits: WeightStoreLimits,
) -> list[LoadOrder]:
    """Return the orders that can be issued now.

    A model that is still declared for some upstream never loses its last ready upstream. When two
    models could replace each other only by breaking this rule, no order is issued for either model,
    and `blocked_model_loads` returns the hosts of their upstreams.

    Args:
        upstreams: Declared and actual models of all engines.
        weight_bytes: Size of each model's weights; 0 for an unknown model.
        limits: Limits of the weight store.

    Since 0.1.
    """
    state = FleetState(upstreams)
    orders = _plan_unloads(state)
    unloading_hosts = {order.host for order in orders}
    orders.extend(_plan_loads(state, unloading_hosts, weight_bytes, limits))
    return orders


def blocked_model_loads(upstreams: Sequence[UpstreamModels]) -> list[str]:
    """Return the hosts that lack a declared model and have no memory for it yet.

    For operators: when nothing is loading and `plan_model_loads` returns no orders, these hosts
    stay blocked until more memory is available.

    Since 0.1.
    """
    return sorted(
        upstream.host
        for upstream in upstreams
        if _missing(upstream) and not _has_memory_for_model(upstream)
    )


def _plan_unloads(state: FleetState) -> list[LoadOrder]:
    orders: list[LoadOrder] = []
    state.unavailable = _becoming_ready(state)
    groups: dict[tuple[str, str], list[Candidate]] = {}
    for upstream in state.upstreams:
        unwanted = _unwanted(upstream)
        if upstream.loading or not unwanted:
            continue
        removable = [version for version in unwanted if state.is_redundant(upstream, version)]
        if removable:
            orders.append(_make_order(upstream, LoadOrderKind.UNLOAD, removable[0]))
            continue
        key = (unwanted[0].model, upstream.failure_domain)
        groups.setdefault(key, []).append((upstream, unwanted[0]))
    orders.extend(_unload_by_failure_domain(state, groups))
    return orders


def _unload_by_failure_domain(
    state: FleetState, groups: dict[tuple[str, str], list[Candidate]]
) -> list[LoadOrder]:
    """Unload models one by one, each from the failure domain with the most ready upstreams."""
    orders = []
    while groups:
        key = max(groups, key=lambda group: (state.ready_by_domain.get(group, 0), group))
        candidates = groups[key]
        if not candidates or not state.can_unload(key[0]):
            del groups[key]
            continue
        upstream, unwanted = candidates.pop()
        state.record_unload(upstream, key[0])
        orders.append(_make_order(upstream, LoadOrderKind.UNLOAD, unwanted))
    return orders


def _becoming_ready(state: FleetState) -> dict[str, int]:
    """Count for each model the upstreams that lack it and are loading or have memory for it.

    An upstream without memory for another model is not counted: it waits for unloads elsewhere, and
    counting it could prevent those unloads.
    """
    counts: dict[str, int] = {}
    for upstream in state.upstreams:
        if not upstream.loading and not _has_memory_for_model(upstream):
            continue
        ready = {version.model for version in upstream.ready}
        for model in {version.model for version in upstream.declared} - ready:
            counts[model] = counts.get(model, 0) + 1
    return counts


def _plan_loads(
    state: FleetState,
    unloading_hosts: set[str],
    weight_bytes: Mapping[str, int],
    limits: WeightStoreLimits,
) -> list[LoadOrder]:
    orders: list[LoadOrder] = []
    sizes = [
        weight_bytes.get(version.model, 0)
        for upstream in state.upstreams
        for version in upstream.loading
    ]
    candidates = _load_candidates(state, unloading_hosts)
    loading = _loading_by_domain(state)
    while candidates:
        upstream, wanted = min(candidates, key=_load_priority(state, loading))
        candidates.remove((upstream, wanted))
        size = weight_bytes.get(wanted.model, 0)
        if not _within_limits([*sizes, size], limits):
            break
        sizes.append(size)
        key = (wanted.model, upstream.failure_domain)
        loading[key] = loading.get(key, 0) + 1
        orders.append(_make_order(upstream, LoadOrderKind.LOAD, wanted))
        candidates = [candidate for candidate in candidates if candidate[0] is not upstream]
    return orders


def _loading_by_domain(state: FleetState) -> dict[tuple[str, str], int]:
    """Count the running loads of each model in each failure domain."""
    loading: dict[tuple[str, str], int] = {}
    for upstream in state.upstreams:
        for version in upstream.loading:
            key = (version.model, upstream.failure_domain)
            loading[key] = loading.get(key, 0) + 1
    return loading


def _load_candidates(state: FleetState, unloading_hosts: set[str]) -> list[Candidate]:
    candidates: list[Candidate] = []
    for upstream in state.upstreams:
        # Orders to one upstream are serial: a load is planned only after the upstream's state shows
        # that the unload is complete.
        if (
            upstream.loading
            or upstream.host in unloading_hosts
            or not _has_memory_for_model(upstream)
        ):
            continue
        candidates.extend((upstream, wanted) for wanted in _missing(upstream))
    return candidates


def _load_priority(
    state: FleetState, loading: Mapping[tuple[str, str], int]
) -> Callable[[Candidate], tuple[bool, float, int, str, str, ModelVersion]]:
    """Return a sort key for loads; the smallest key is loaded first.

    Models that are neither ready nor loading anywhere come first, then the models that are ready or
    loading at the smallest fraction of their declared upstreams, then the failure domains with the
    fewest ready or loading upstreams.
    """

    def key(candidate: Candidate) -> tuple[bool, float, int, str, str, ModelVersion]:
        upstream, wanted = candidate
        model = wanted.model
        ready = state.ready.get(model, 0)
        ready += sum(count for (name, _), count in loading.items() if name == model)
        ready_fraction = ready / max(1, state.declared.get(model, 1))
        in_domain = state.ready_in_same_domain(upstream, model)
        in_domain += loading.get((model, upstream.failure_domain), 0)
        return ready > 0, ready_fraction, in_domain, model, upstream.host, wanted

    return key


def _within_limits(sizes: list[int], limits: WeightStoreLimits) -> bool:
    """Return whether the weight store can serve these loads at once; a single load always fits."""
    if len(sizes) == 1:
        return True
    if len(sizes) > limits.max_concurrent_loads:
        return False
    return sum(sizes) / limits.bytes_per_second * 1000.0 <= limits.max_load_time


def _missing(upstream: UpstreamModels) -> list[ModelVersion]:
    return sorted(upstream.declared - upstream.ready - upstream.loading)


def _unwanted(upstream: UpstreamModels) -> list[ModelVersion]:
    """Return the ready models to unload; an old version stays while the new one fits beside it."""
    extra = sorted(upstream.ready - upstream.declared)
    if not _has_memory_for_model(upstream):
        return extra
    missing = {version.model for version in _missing(upstream)}
    return [version for version in extra if version.model not in missing]


def _has_memory_for_model(upstream: UpstreamModels) -> bool:
    return len(upstream.ready) + len(upstream.loading) < upstream.max_models


def _make_order(upstream: UpstreamModels, kind: LoadOrderKind, version: ModelVersion) -> LoadOrder:
    return LoadOrder(host=upstream.host, kind=kind, model=version.model, version=version.version)
