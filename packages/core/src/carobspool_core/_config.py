"""The desired state that operators declare, as plain data classes.

The models that validate configuration files are in ``carobspool_core.schema``; the rest of the
system uses only these classes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from carobspool_core._clock import Millis


class UpstreamKind(StrEnum):
    """Kind of upstream behind a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class CallerRole(StrEnum):
    """What the holder of a key may do."""

    CALLER = "caller"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Rate and concurrency limits over the whole system; ``None`` means no limit.

    Attributes:
        requests_per_minute: Requests accepted per minute.
        tokens_per_minute: Estimated prompt and response tokens per minute.
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
    """A client that authenticates with a key.

    Attributes:
        id: Name of the caller.
        organisation: Name of the caller's organisation.
        key_hashes: SHA-256 (hex) of each valid bearer key; the keys themselves are never stored.
        role: What the caller may do.
        weight: Share among callers when an upstream is full.
        limits: Limits of this caller.
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
    """An upstream and the sidecar in front of it.

    Attributes:
        host: Name of the upstream's host.
        address: ``ip:port`` on which the sidecar accepts connections.
        failure_domain: Failure domain of the host.
        kind: Model engine or plain service.
        models: Models to load, for an engine.
        service: Name of the service, for a plain service.
        role: Role that the engine should have.
        slots: Number of requests that the upstream runs at once.
        checks_fencing: Whether the engine refuses an order with an old fencing token.
        checks_orders: Whether the engine authenticates the sender of orders.
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
    """How requests to a plain service are handled for the paths below a prefix."""

    prefix: str
    methods: tuple[str, ...] = ("GET", "HEAD")
    idempotent: bool = True
    timeout: Millis = 30_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A plain service; a request is handled by the route with the longest matching prefix."""

    name: str
    routes: tuple[Route, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchShaping:
    """How batch jobs are split into chunks and run.

    Attributes:
        chunk_items: Largest number of items in a chunk; larger jobs have larger chunks.
        chunk_bytes: Largest compressed size of a chunk; larger jobs have larger chunks.
        max_items: Largest number of items in a job.
        max_attempts: Number of attempts at an item before it ends as an error.
        due: Time from the acceptance of a job until its results are due.
    """

    chunk_items: int = 256
    chunk_bytes: int = 262_144
    max_items: int = 560_000
    max_attempts: int = 4
    due: Millis = 86_400_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OnlineSlowdown:
    """How much batch work may slow online requests, relative to the baseline without batch work.

    Attributes:
        first_token: Allowed ratio of the 95th percentile of the time to the first token.
        between_tokens: Allowed ratio of the 95th percentile of the time between tokens.
        between_tokens_allowance: Time between tokens, in milliseconds, that is acceptable whatever
            the ratio; 0 to apply the ratio alone.
    """

    first_token: float = 1.15
    between_tokens: float = 2.0
    between_tokens_allowance: Millis = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DesiredState:
    """The complete declared configuration, versioned as a whole.

    Attributes:
        revision: Number of the revision; 0 before the first revision.
    """

    revision: int = 0
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    callers: Mapping[str, Caller] = field(default_factory=dict)
    models: Mapping[str, Model] = field(default_factory=dict)
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    batch: BatchShaping = BatchShaping()
    online_slowdown: OnlineSlowdown = OnlineSlowdown()
