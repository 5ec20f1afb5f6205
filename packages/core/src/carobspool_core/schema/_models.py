"""Models that validate the desired state in the form of operators' files."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated, Literal

from pydantic import AfterValidator, Field

from carobspool_core.border import BorderModel

HIGHEST_PORT = 65_535
MIB = 1_048_576

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
"""Name of an organisation, caller, host or service; restricted since object keys contain it."""

ModelName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$")]

KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
"""SHA-256 of a bearer key in lower-case hex."""

Weight = Annotated[float, Field(gt=0, le=10_000)]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("ip:port with a numeric IP address") from None
    if not port.isdecimal() or not 0 < int(port) <= HIGHEST_PORT:
        raise ValueError(f"ip:port with a port from 1 to {HIGHEST_PORT}")
    return value


Address = Annotated[str, AfterValidator(_check_address)]
"""An IP address and a port, ``ip:port``."""


class LimitsModel(BorderModel):
    """Limits on usage; a limit that is left out does not apply."""

    requests_per_minute: Annotated[float, Field(gt=0)] | None = None
    tokens_per_minute: Annotated[float, Field(gt=0)] | None = None
    concurrent: Annotated[int, Field(gt=0)] | None = None


class OrganisationModel(BorderModel):
    """A customer."""

    name: Name
    weight: Weight = 1.0
    limits: LimitsModel = LimitsModel()


class CallerModel(BorderModel):
    """A holder of API keys; files contain only the hashes of keys, never a key itself."""

    id: Name
    organisation: Name
    key_hashes: Annotated[list[KeyHash], Field(min_length=1, max_length=8)]
    role: Literal["caller", "operator"] = "caller"
    weight: Weight = 1.0
    limits: LimitsModel = LimitsModel()


class ModelModel(BorderModel):
    """A model that the fleet serves."""

    name: ModelName
    version: ModelName
    adapters: list[ModelName] = []
    weight_bytes: Annotated[int, Field(ge=0)] = 0
    context_tokens: Annotated[int, Field(gt=0)] = 8192


class UpstreamModel(BorderModel):
    """An upstream, its address, and what it serves."""

    host: Name
    address: Address
    failure_domain: Name
    kind: Literal["engine", "service"] = "engine"
    models: list[ModelName] = []
    service: Name | None = None
    role: Name = "serve"
    slots: Annotated[int, Field(gt=0, le=4096)] = 32
    checks_fencing: bool = False
    checks_orders: bool = False


class RouteModel(BorderModel):
    """How requests below a path prefix are handled."""

    prefix: Annotated[str, Field(pattern=r"^/[^?#\s]*$")]
    methods: Annotated[
        list[Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]],
        Field(min_length=1),
    ] = ["GET", "HEAD"]
    idempotent: bool = True
    timeout_ms: Annotated[float, Field(gt=0, le=3_600_000)] = 30_000.0


class ServiceModel(BorderModel):
    """A service other than a model engine, with its routes."""

    name: Name
    routes: list[RouteModel] = []


class BatchModel(BorderModel):
    """How batch jobs are split into chunks and retried, and when they are due."""

    chunk_items: Annotated[int, Field(gt=0, le=65_536)] = 256
    chunk_bytes: Annotated[int, Field(ge=1024, lt=MIB)] = 262_144
    max_items: Annotated[int, Field(gt=0)] = 560_000
    max_attempts: Annotated[int, Field(gt=0, le=100)] = 4
    due_ms: Annotated[float, Field(gt=0)] = 86_400_000.0


class OnlineSlowdownModel(BorderModel):
    """How much batch work may slow online requests, as ratios of the unloaded baseline."""

    first_token: Annotated[float, Field(ge=1, le=100)] = 1.15
    between_tokens: Annotated[float, Field(ge=1, le=100)] = 2.0
    between_tokens_allowance_ms: Annotated[float, Field(ge=0, le=10_000)] = 0.0


class StateModel(BorderModel):
    """One file of the desired state, or the whole state; each section may be left out."""

    organisations: list[OrganisationModel] = []
    callers: list[CallerModel] = []
    models: list[ModelModel] = []
    upstreams: list[UpstreamModel] = []
    services: list[ServiceModel] = []
    batch: BatchModel | None = None
    online_slowdown: OnlineSlowdownModel | None = None
