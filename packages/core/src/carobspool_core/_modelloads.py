"""The order in which models are loaded and unloaded.

Load pattern: one applied change moves many upstreams to another model or version. Carried out at
once, all of them would be loading together: nobody is left to answer, and the weight store's rate
is shared so thinly that none is ready for long.

`plan_model_loads` gives the orders of the next step alone and is called again with what then runs.
So it needs no memory, a lost order is given again, and a new declaration takes effect in the
middle.
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
    """Return the orders that may be given now.

    A model that is still declared somewhere never loses its last ready upstream. When two models
    could only swap places that way, neither is ordered; `blocked_model_loads` names the upstreams.

    Args:
        upstreams: All engines, declared and actual.
        weight_bytes: Size of each model's weights; 0 for an unknown one.
        limits: What the weight store gives.

    Since 0.1.
    """
    state = FleetState(upstreams)
    orders = _unloads(state)
    freed = {order.host for order in orders}
    orders.extend(_loads(state, freed, weight_bytes, limits))
    return orders


def blocked_model_loads(upstreams: Sequence[UpstreamModels]) -> list[str]:
    """Return hosts that lack a declared model and have no room for it until others move.

    For operators: when nothing is loading and `plan_model_loads` gives no orders, these can't be
    helped without more room.

    Since 0.1.
    """
    return sorted(each.host for each in upstreams if _missing(each) and not _has_room(each))


def _unloads(state: FleetState) -> list[LoadOrder]:
    orders: list[LoadOrder] = []
    state.taken = _in_transition(state)
    groups: dict[tuple[str, str], list[Candidate]] = {}
    for upstream in state.upstreams:
        unwanted = _unwanted(upstream)
        if upstream.loading or not unwanted:
            continue
        spare = [one for one in unwanted if state.is_spare(upstream, one)]
        if spare:
            orders.append(_order(upstream, LoadOrderKind.UNLOAD, spare[0]))
            continue
        key = (unwanted[0].model, upstream.failure_domain)
        groups.setdefault(key, []).append((upstream, unwanted[0]))
    orders.extend(_take_from_groups(state, groups))
    return orders


def _take_from_groups(
    state: FleetState, groups: dict[tuple[str, str], list[Candidate]]
) -> list[LoadOrder]:
    """Take models away, each time from the failure domain that has the most of them ready."""
    orders = []
    while groups:
        key = max(groups, key=lambda each: (state.ready_in.get(each, 0), each))
        candidates = groups[key]
        if not candidates or not state.may_take(key[0]):
            del groups[key]
            continue
        upstream, unwanted = candidates.pop()
        state.take(upstream, key[0])
        orders.append(_order(upstream, LoadOrderKind.UNLOAD, unwanted))
    return orders


def _in_transition(state: FleetState) -> dict[str, int]:
    """Count by model the upstreams that are about to serve it and don't yet.

    One that has no room is not counted: it waits for others to move, and counting it could keep
    them from moving.
    """
    counts: dict[str, int] = {}
    for each in state.upstreams:
        if not each.loading and not _has_room(each):
            continue
        ready = {one.model for one in each.ready}
        for model in {one.model for one in each.declared} - ready:
            counts[model] = counts.get(model, 0) + 1
    return counts


def _loads(
    state: FleetState,
    freed: set[str],
    weight_bytes: Mapping[str, int],
    limits: WeightStoreLimits,
) -> list[LoadOrder]:
    orders: list[LoadOrder] = []
    sizes = [weight_bytes.get(one.model, 0) for each in state.upstreams for one in each.loading]
    waiting = _load_candidates(state, freed)
    placed = _being_placed(state)
    while waiting:
        upstream, wanted = min(waiting, key=_by_need(state, placed))
        waiting.remove((upstream, wanted))
        size = weight_bytes.get(wanted.model, 0)
        if not _fits([*sizes, size], limits):
            break
        sizes.append(size)
        key = (wanted.model, upstream.failure_domain)
        placed[key] = placed.get(key, 0) + 1
        orders.append(_order(upstream, LoadOrderKind.LOAD, wanted))
        waiting = [one for one in waiting if one[0] is not upstream]
    return orders


def _being_placed(state: FleetState) -> dict[tuple[str, str], int]:
    placed: dict[tuple[str, str], int] = {}
    for each in state.upstreams:
        for one in each.loading:
            key = (one.model, each.failure_domain)
            placed[key] = placed.get(key, 0) + 1
    return placed


def _load_candidates(state: FleetState, freed: set[str]) -> list[Candidate]:
    candidates: list[Candidate] = []
    for each in state.upstreams:
        # Orders of one upstream are serial: the load follows when the unload has been read back.
        if each.loading or each.host in freed or not _has_room(each):
            continue
        candidates.extend((each, wanted) for wanted in _missing(each))
    return candidates


def _by_need(
    state: FleetState, placed: Mapping[tuple[str, str], int]
) -> Callable[[Candidate], tuple[bool, float, int, str, str, ModelVersion]]:
    """Order loads: models that nobody serves, then those with the least of their declared share
    ready, then failure domains with the fewest."""

    def key(candidate: Candidate) -> tuple[bool, float, int, str, str, ModelVersion]:
        upstream, wanted = candidate
        model = wanted.model
        ready = state.ready.get(model, 0)
        ready += sum(count for (name, _), count in placed.items() if name == model)
        share = ready / max(1, state.declared.get(model, 1))
        beside = state.ready_beside(upstream, model)
        beside += placed.get((model, upstream.failure_domain), 0)
        return ready > 0, share, beside, model, upstream.host, wanted

    return key


def _fits(sizes: list[int], limits: WeightStoreLimits) -> bool:
    if len(sizes) == 1:
        return True
    if len(sizes) > limits.concurrent:
        return False
    return sum(sizes) / limits.bytes_per_second * 1000.0 <= limits.max_load_time


def _missing(upstream: UpstreamModels) -> list[ModelVersion]:
    return sorted(upstream.declared - upstream.ready - upstream.loading)


def _unwanted(upstream: UpstreamModels) -> list[ModelVersion]:
    """Return the ready models that may go; an old version stays while there is room for the new."""
    extra = sorted(upstream.ready - upstream.declared)
    if not _has_room(upstream):
        return extra
    awaited = {one.model for one in _missing(upstream)}
    return [one for one in extra if one.model not in awaited]


def _has_room(upstream: UpstreamModels) -> bool:
    return len(upstream.ready) + len(upstream.loading) < upstream.room


def _order(upstream: UpstreamModels, kind: LoadOrderKind, which: ModelVersion) -> LoadOrder:
    return LoadOrder(host=upstream.host, kind=kind, model=which.model, version=which.version)
