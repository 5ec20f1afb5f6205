"""Settings of ``carobspoold``: data classes, and reading them from a file."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import Json, Millis, UpstreamKind
from carobspool_core.border import Problem, read_json, validate
from carobspool_node.roles._models import (
    EndpointModel,
    EntryModel,
    HttpModel,
    OrdersModel,
    SidecarModel,
)

ROLES = "'entry' or 'sidecar'"


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingsError(Problem):
    """One reason why a settings file is refused.

    Since 0.1.
    """


class AdmissionMode(StrEnum):
    """How a sidecar admits requests."""

    POLICY = "policy"
    STRAIGHT = "straight"
    CAP = "cap"


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An IP number and a port."""

    address: str
    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpSettings:
    """Where callers and operators connect.

    Attributes:
        address: IP number to listen on.
        port: Port to listen on.
        workers: Requests served at once.
        body_limit_bytes: Longest request body.
        request_timeout: Deadline of a request that names none, in milliseconds.
    """

    address: str
    port: int
    workers: int
    body_limit_bytes: int
    request_timeout: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionSettings:
    """How a sidecar admits requests; ``cap`` counts in the mode ``CAP`` only."""

    mode: AdmissionMode
    cap: int


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """How a sidecar gives orders, all in milliseconds.

    Attributes:
        lease_ttl: How long the right to give orders lasts after it was confirmed.
        timeout: Longest time of one order.
        check: Time between two readings of the engine's state.
    """

    lease_ttl: Millis
    timeout: Millis
    check: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry; durations in milliseconds."""

    node: str
    failure_domain: str
    http: HttpSettings
    peer: Endpoint
    object_api: str
    host_list: str | None
    peer_keys: Path
    statsd: Endpoint | None
    first_operator_key_hash: str | None
    lease_ttl: Millis
    shutdown_limit: Millis
    log_level: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarSettings:
    """Settings of a sidecar; durations in milliseconds."""

    node: str
    host: str
    failure_domain: str
    listen: Endpoint
    upstream: str
    kind: UpstreamKind
    service: str | None
    object_api: str
    peer_keys: Path
    order_key: str | None
    admission: AdmissionSettings
    orders: OrderSettings
    heartbeat: Millis
    statsd: Endpoint | None
    shutdown_limit: Millis
    log_level: str


def load_settings(
    path: Path,
) -> Result[EntrySettings | SidecarSettings, tuple[SettingsError, ...]]:
    """Read a settings file; every error comes at once.

    Args:
        path: File of JSON with comments.

    Since 0.1.
    """
    value = read_json(path)
    if not is_successful(value):
        return Failure(_own([value.failure()]))
    settings = value.unwrap()
    role = settings.get("role") if isinstance(settings, dict) else None
    if role == "entry":
        return _load_entry(settings, path)
    if role == "sidecar":
        return _load_sidecar(settings, path)
    found = "nothing" if role is None else repr(role)
    return Failure((_error(path, "role", found, ROLES),))


def _load_entry(
    value: Json, path: Path
) -> Result[EntrySettings | SidecarSettings, tuple[SettingsError, ...]]:
    model = validate(EntryModel, value, file=path.name)
    if not is_successful(model):
        return Failure(_own(model.failure()))
    return Success(_entry(model.unwrap(), path.parent))


def _load_sidecar(
    value: Json, path: Path
) -> Result[EntrySettings | SidecarSettings, tuple[SettingsError, ...]]:
    model = validate(SidecarModel, value, file=path.name)
    if not is_successful(model):
        return Failure(_own(model.failure()))
    settings = model.unwrap()
    if settings.kind == "service" and settings.service is None:
        return Failure((_error(path, "service", "nothing", "the service's name"),))
    if settings.kind == "engine" and settings.service is not None:
        allowed = "nothing: the kind is 'engine'"
        return Failure((_error(path, "service", repr(settings.service), allowed),))
    return Success(_sidecar(settings, path.parent))


def _entry(model: EntryModel, folder: Path) -> EntrySettings:
    return EntrySettings(
        node=model.node,
        failure_domain=model.failure_domain,
        http=_http(model.http),
        peer=_endpoint(model.peer),
        object_api=model.object_api,
        host_list=model.host_list,
        peer_keys=folder / model.peer_keys,
        statsd=_optional_endpoint(model.statsd),
        first_operator_key_hash=model.first_operator_key_hash,
        lease_ttl=model.lease_ttl_ms,
        shutdown_limit=model.shutdown_limit_ms,
        log_level=model.log_level,
    )


def _sidecar(model: SidecarModel, folder: Path) -> SidecarSettings:
    admission = model.admission
    return SidecarSettings(
        node=model.node,
        host=model.host,
        failure_domain=model.failure_domain,
        listen=_endpoint(model.listen),
        upstream=model.upstream,
        kind=UpstreamKind(model.kind),
        service=model.service,
        object_api=model.object_api,
        peer_keys=folder / model.peer_keys,
        order_key=model.order_key,
        admission=AdmissionSettings(mode=AdmissionMode(admission.mode), cap=admission.cap),
        orders=_orders(model.orders),
        heartbeat=model.heartbeat_ms,
        statsd=_optional_endpoint(model.statsd),
        shutdown_limit=model.shutdown_limit_ms,
        log_level=model.log_level,
    )


def _http(model: HttpModel) -> HttpSettings:
    return HttpSettings(
        address=model.address,
        port=model.port,
        workers=model.workers,
        body_limit_bytes=model.body_limit_bytes,
        request_timeout=model.request_timeout_ms,
    )


def _orders(model: OrdersModel) -> OrderSettings:
    return OrderSettings(
        lease_ttl=model.lease_ttl_ms, timeout=model.timeout_ms, check=model.check_ms
    )


def _endpoint(model: EndpointModel) -> Endpoint:
    return Endpoint(address=model.address, port=model.port)


def _optional_endpoint(model: EndpointModel | None) -> Endpoint | None:
    return None if model is None else _endpoint(model)


def _error(path: Path, place: str, found: str, allowed: str) -> SettingsError:
    return SettingsError(file=path.name, path=place, found=found, allowed=allowed)


def _own(problems: Iterable[Problem]) -> tuple[SettingsError, ...]:
    return tuple(
        SettingsError(file=each.file, path=each.path, found=each.found, allowed=each.allowed)
        for each in problems
    )
