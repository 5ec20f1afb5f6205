"""Operator configuration of entries that call upstreams directly: routes and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis
from carobspool_core.organisations import OrganisationDirectory


class RouteKind(StrEnum):
    """Kind of the requests on a route; decides whether a request may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(Struct, frozen=True, kw_only=True):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """A route that maps requests to services.

    Attributes:
        name: Name of the route.
        host: Value of the ``Host`` header that selects the route.
        path_prefix: Path prefix that selects the route. Begins and ends with a slash; the longest
            match wins.
        kind: Decides whether requests may be retried.
        timeout: Longest time that a caller may wait for a request.
        target_latency: Time within which an answer, or the first event of a stream, is on time.
        priority: Priority of the requests; 0 is the most urgent.
        services: Services that receive the requests, with their weights.
        max_attempts: Number of upstreams on which one request may run; for a batch item, number of
            failed runs.
        resumable: Whether a stream can continue at another upstream after its last event.
        completion_target: Batch only: time from the first submission to the last result.
        retention: Batch only: time from the first submission after which an item may be given up.
        waiting_limit: Batch only: limit of the tokens of unfinished items of one organisation, or
            of all callers if no organisations are declared; 0 is no limit.
        needs_key: Whether callers must present a key if organisations are declared.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: Millis
    target_latency: Millis
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    resumable: bool = False
    completion_target: Millis = 0.0
    retention: Millis = 0.0
    waiting_limit: int = 0
    needs_key: bool = True

    @property
    def is_retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.SAFE, RouteKind.BATCH) or self.resumable

    @property
    def service_names(self) -> frozenset[str]:
        """Names of the services that receive the requests."""
        return frozenset(weighted.service for weighted in self.services)

    def choose_service(self, key: str) -> str:
        """Return the service for a request, chosen by weight; equal keys get the same service."""
        total = sum(weighted.weight for weighted in self.services)
        # Ids in JSON may contain lone surrogates, which UTF-8 can't represent.
        point = xxh3_64_intdigest(key.encode(errors="replace")) / 2**64 * total
        for weighted in self.services:
            point -= weighted.weight
            if point < 0:
                return weighted.service
        return self.services[-1].service


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Size limits and timeouts of a caller's connection."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: Millis = 3_000.0
    idle_timeout: Millis = 15_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Version number; a later configuration has a higher one.
        routes: All routes.
        limits: Size limits and timeouts of callers' connections.
        organisations: Organisations that may send requests, ``None`` if any caller may.
        engine_memory: Tokens that an engine of a service keeps in memory, by service; services
            without a declared size are absent.
        engine_backups: Services whose engines can keep a copy of a run's memory on another engine.
        engine_moves: Services whose engines can stop a run and move its memory to another engine.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    organisations: OrganisationDirectory | None = field(default=None, compare=False)
    engine_memory: Mapping[str, int] = field(default_factory=dict, hash=False)
    engine_backups: frozenset[str] = frozenset()
    engine_moves: frozenset[str] = frozenset()
    _by_host: Mapping[str, tuple[Route, ...]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", longest_first)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix of ``path``, if any."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def has_keyless_batch_route(self, host: str) -> bool:
        """Whether a host has a batch route that callers may use without a key."""
        return any(
            route.kind is RouteKind.BATCH and not route.needs_key
            for route in self._by_host.get(host, ())
        )
