"""The desired state: what operators declare, as plain data.

The models that validate files at the border stand in ``carobspool_core.schema``; inside the system
only these classes are used.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from carobspool_core._clock import Millis


class UpstreamKind(StrEnum):
    """What stands behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class CallerRole(StrEnum):
    """What a key allows."""

    CALLER = "caller"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Upper bounds over the whole system; ``None`` means no bound.

    Attributes:
        requests_per_minute: Requests accepted in a minute.
        tokens_per_minute: Estimated tokens, prompt and answer together, in a minute.
        concurrent: Requests in progress at once.
    """

    requests_per_minute: float | None = None
    tokens_per_minute: float | None = None
    concurrent: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer that owns callers, files and jobs."""

    name: str
    weight: float = 1.0
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """One holder of a key.

    Attributes:
        id: Name of the caller.
        organisation: Its organisation's name.
        key_hashes: SHA-256 (hex) of each valid bearer key; keys themselves are never kept.
        role: What the key allows.
        weight: Share among callers when an upstream is full.
        limits: Bounds of this caller.
    """

    id: str
    organisation: str
    key_hashes: tuple[str, ...]
    role: CallerRole = CallerRole.CALLER
    weight: float = 1.0
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A model that the fleet serves."""

    name: str
    version: str
    adapters: tuple[str, ...] = ()
    weight_bytes: int = 0
    context_tokens: int = 8192


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One upstream and the sidecar before it.

    Attributes:
        host: Name of the upstream's host.
        address: ``ip:port`` on which its sidecar takes connections.
        failure_domain: Where it stands.
        kind: Model engine or plain service.
        models: Models to be loaded, for an engine.
        service: Name of the service, for a plain service.
        role: Role that the engine is ordered to take.
        slots: Requests it runs side by side.
        checks_fencing: Whether it refuses an order with an old fencing number.
        checks_orders: Whether it checks who gives it orders.
    """

    host: str
    address: str
    failure_domain: str
    kind: UpstreamKind = UpstreamKind.ENGINE
    models: tuple[str, ...] = ()
    service: str | None = None
    role: str = "serve"
    slots: int = 32
    checks_fencing: bool = False
    checks_orders: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How calls of a plain service below a path prefix are treated."""

    prefix: str
    methods: tuple[str, ...] = ("GET", "HEAD")
    idempotent: bool = True
    timeout: Millis = 30_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A plain service; the longest matching route prefix decides."""

    name: str
    routes: tuple[Route, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchShaping:
    """How batch jobs are cut and run.

    Attributes:
        chunk_items: Items in a chunk, before adapting to the job's size.
        chunk_bytes: Compressed bytes in a chunk.
        max_items: Items in a job.
        max_attempts: Tries of one item before it ends as an error.
        due: Time within which results are due, from acceptance.
    """

    chunk_items: int = 256
    chunk_bytes: int = 262_144
    max_items: int = 560_000
    max_attempts: int = 4
    due: Millis = 86_400_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OnlineSlowdown:
    """How much batch work may slow online requests, against the unloaded baseline.

    Attributes:
        first_token: Allowed ratio of the 95th percentile of the time to the first token.
        between_tokens: Allowed ratio of the 95th percentile of the time between tokens.
        between_tokens_allowance: Time between tokens, in milliseconds, that is acceptable whatever
            the ratio; 0 to go by the ratio alone.
    """

    first_token: float = 1.15
    between_tokens: float = 2.0
    between_tokens_allowance: Millis = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DesiredState:
    """Everything that operators declare, as one unit.

    Attributes:
        revision: Number of the revision, 0 before the first.
    """

    revision: int = 0
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    callers: Mapping[str, Caller] = field(default_factory=dict)
    models: Mapping[str, Model] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    batch: BatchShaping = BatchShaping()
    online_slowdown: OnlineSlowdown = OnlineSlowdown()
