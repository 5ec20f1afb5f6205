"""Convert the validated models to the data classes of the desired state, and those to JSON."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from carobspool_core._config import (
    BatchShaping,
    Caller,
    CallerRole,
    DesiredState,
    Limits,
    Model,
    OnlineSlowdown,
    Organisation,
    Route,
    Service,
    Upstream,
    UpstreamKind,
)
from carobspool_core._ports import Json
from carobspool_core.schema._models import (
    BatchModel,
    CallerModel,
    LimitsModel,
    ModelModel,
    OnlineSlowdownModel,
    OrganisationModel,
    RouteModel,
    ServiceModel,
    StateModel,
    UpstreamModel,
)

_NO_LIMITS = Limits()
_ALL_UNSET = (None, None, None)


def to_state(files: Sequence[StateModel], *, revision: int = 0) -> DesiredState:
    """Return the desired state that validated files declare together.

    Args:
        files: The files, or pieces of them; each may hold a few of the sections.
        revision: Revision number of the result.
    """
    batches = [to_batch(each.batch) for each in files if each.batch is not None]
    slowdowns = [
        to_slowdown(each.online_slowdown) for each in files if each.online_slowdown is not None
    ]
    return DesiredState(
        revision=revision,
        organisations={
            item.name: to_organisation(item) for each in files for item in each.organisations
        },
        callers={item.id: to_caller(item) for each in files for item in each.callers},
        models={item.name: to_model(item) for each in files for item in each.models},
        upstreams={item.host: to_upstream(item) for each in files for item in each.upstreams},
        services={item.name: to_service(item) for each in files for item in each.services},
        batch=batches[0] if batches else BatchShaping(),
        online_slowdown=slowdowns[0] if slowdowns else OnlineSlowdown(),
    )


def to_organisation(model: OrganisationModel) -> Organisation:
    """Convert a validated organisation."""
    return Organisation(name=model.name, weight=model.weight, limits=_to_limits(model.limits))


def to_caller(model: CallerModel) -> Caller:
    """Convert a validated caller."""
    return Caller(
        id=model.id,
        organisation=model.organisation,
        key_hashes=tuple(model.key_hashes),
        role=CallerRole(model.role),
        weight=model.weight,
        limits=_to_limits(model.limits),
    )


def to_model(model: ModelModel) -> Model:
    """Convert a validated model declaration."""
    return Model(
        name=model.name,
        version=model.version,
        adapters=tuple(model.adapters),
        weight_bytes=model.weight_bytes,
        context_tokens=model.context_tokens,
    )


def to_upstream(model: UpstreamModel) -> Upstream:
    """Convert a validated upstream."""
    return Upstream(
        host=model.host,
        address=model.address,
        failure_domain=model.failure_domain,
        kind=UpstreamKind(model.kind),
        models=tuple(model.models),
        service=model.service,
        role=model.role,
        slots=model.slots,
        checks_fencing=model.checks_fencing,
        checks_orders=model.checks_orders,
    )


def to_service(model: ServiceModel) -> Service:
    """Convert a validated service."""
    return Service(name=model.name, routes=tuple(_to_route(route) for route in model.routes))


def to_batch(model: BatchModel) -> BatchShaping:
    """Convert the validated section ``batch``."""
    return BatchShaping(
        chunk_items=model.chunk_items,
        chunk_bytes=model.chunk_bytes,
        max_items=model.max_items,
        max_attempts=model.max_attempts,
        due=model.due_ms,
    )


def to_slowdown(model: OnlineSlowdownModel) -> OnlineSlowdown:
    """Convert the validated section ``online_slowdown``."""
    return OnlineSlowdown(
        first_token=model.first_token,
        between_tokens=model.between_tokens,
        between_tokens_allowance=model.between_tokens_allowance_ms,
    )


def entry_to_json(entry: Any) -> Json:
    """Return one entry of the desired state as JSON in the form of operators' files.

    Every field is present, except limits that are not set.
    """
    return _JSON_CONVERTERS[type(entry)](entry)


def dump_state(state: DesiredState) -> Json:
    """Return the whole state as JSON that `parse_state` accepts, in a fixed order.

    The revision number is not part of it.

    Since 0.1.
    """
    return {
        "organisations": _sorted_entries(state.organisations),
        "callers": _sorted_entries(state.callers),
        "models": _sorted_entries(state.models),
        "upstreams": _sorted_entries(state.upstreams),
        "services": _sorted_entries(state.services),
        "batch": entry_to_json(state.batch),
        "online_slowdown": entry_to_json(state.online_slowdown),
    }


def _sorted_entries(entries: Any) -> list[Json]:
    return [entry_to_json(entries[name]) for name in sorted(entries)]


def _to_limits(model: LimitsModel) -> Limits:
    bounds = (model.requests_per_minute, model.tokens_per_minute, model.concurrent)
    if bounds == _ALL_UNSET:
        return (
            _NO_LIMITS  # One shared instance, since most of many thousand callers have no limits.
        )
    return Limits(
        requests_per_minute=model.requests_per_minute,
        tokens_per_minute=model.tokens_per_minute,
        concurrent=model.concurrent,
    )


def _to_route(model: RouteModel) -> Route:
    return Route(
        prefix=model.prefix,
        methods=tuple(model.methods),
        idempotent=model.idempotent,
        timeout=model.timeout_ms,
    )


def _limits_json(limits: Limits) -> Json:
    bounds = {
        "requests_per_minute": limits.requests_per_minute,
        "tokens_per_minute": limits.tokens_per_minute,
        "concurrent": limits.concurrent,
    }
    return {name: bound for name, bound in bounds.items() if bound is not None}


def _organisation_json(entry: Organisation) -> Json:
    return {"name": entry.name, "weight": entry.weight, "limits": _limits_json(entry.limits)}


def _caller_json(entry: Caller) -> Json:
    return {
        "id": entry.id,
        "organisation": entry.organisation,
        "key_hashes": list(entry.key_hashes),
        "role": str(entry.role),
        "weight": entry.weight,
        "limits": _limits_json(entry.limits),
    }


def _model_json(entry: Model) -> Json:
    return {
        "name": entry.name,
        "version": entry.version,
        "adapters": list(entry.adapters),
        "weight_bytes": entry.weight_bytes,
        "context_tokens": entry.context_tokens,
    }


def _upstream_json(entry: Upstream) -> Json:
    return {
        "host": entry.host,
        "address": entry.address,
        "failure_domain": entry.failure_domain,
        "kind": str(entry.kind),
        "models": list(entry.models),
        "service": entry.service,
        "role": entry.role,
        "slots": entry.slots,
        "checks_fencing": entry.checks_fencing,
        "checks_orders": entry.checks_orders,
    }


def _route_json(route: Route) -> Json:
    return {
        "prefix": route.prefix,
        "methods": list(route.methods),
        "idempotent": route.idempotent,
        "timeout_ms": route.timeout,
    }


def _service_json(entry: Service) -> Json:
    return {"name": entry.name, "routes": [_route_json(route) for route in entry.routes]}


def _batch_json(entry: BatchShaping) -> Json:
    return {
        "chunk_items": entry.chunk_items,
        "chunk_bytes": entry.chunk_bytes,
        "max_items": entry.max_items,
        "max_attempts": entry.max_attempts,
        "due_ms": entry.due,
    }


def _slowdown_json(entry: OnlineSlowdown) -> Json:
    return {
        "first_token": entry.first_token,
        "between_tokens": entry.between_tokens,
        "between_tokens_allowance_ms": entry.between_tokens_allowance,
    }


_JSON_CONVERTERS: dict[type, Any] = {
    Organisation: _organisation_json,
    Caller: _caller_json,
    Model: _model_json,
    Upstream: _upstream_json,
    Service: _service_json,
    BatchShaping: _batch_json,
    OnlineSlowdown: _slowdown_json,
}
