"""What the operator declares for entries that call upstreams directly: routes and limits."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis
from carobspool_core.organisations import OrganisationDirectory


class RouteKind(StrEnum):
    """What may be repeated of the requests on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


class WeightedService(Struct, frozen=True, kw_only=True):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


class Route(Struct, frozen=True, kw_only=True):
    """One route of the operator.

    Attributes:
        name: The operator's name for it.
        host: Value of the ``Host`` header that selects it.
        path_prefix: Begins and ends with a slash; the longest match wins.
        kind: What may be repeated.
        timeout: Longest time that a request may be kept waiting.
        target_latency: Time within which an answer, or a stream's first event, is on time.
        priority: 0 is the most urgent.
        services: Where its requests go.
        max_attempts: Upstreams on which one request may run; for a batch item, failed runs.
        resumable: Whether a stream can go on at another upstream after its last event.
        completion_target: Batch only: time from the first submission to the last result.
        retention: Batch only: time from the first submission after which an item may be given up.
        waiting_limit: Batch only: tokens of unfinished items of one organisation, of all callers
            where there are none; 0 is no limit.
        needs_key: Whether callers show a key, where organisations are declared.
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
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in (RouteKind.SAFE, RouteKind.BATCH) or self.resumable

    def service_for(self, key: str) -> str:
        """Return the service for a request; the same key always gets the same one."""
        total = sum(each.weight for each in self.services)
        point = xxh3_64_intdigest(key.encode()) / 2**64 * total
        for each in self.services:
            point -= each.weight
            if point < 0:
                return each.service
        return self.services[-1].service


class CallerLimits(Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: Millis = 3_000.0
    idle_timeout: Millis = 15_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of everything that the operator declares; versions only grow.

    Attributes:
        version: Its number.
        routes: Where requests go.
        limits: What one caller may send.
        organisations: Who may send requests, ``None`` when anybody may.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    organisations: OrganisationDirectory | None = field(default=None, compare=False)
    _by_host: Mapping[str, tuple[Route, ...]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda each: -len(each.path_prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "_by_host", longest_first)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``, if there is one."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def has_open_jobs_at(self, host: str) -> bool:
        """Whether a host has a batch route whose callers show no key."""
        return any(
            route.kind is RouteKind.BATCH and not route.needs_key
            for route in self._by_host.get(host, ())
        )
