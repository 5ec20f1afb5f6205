"""Which runs get a copy of their memory, and at which engine."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core._rendezvous import preferred_node
from carobspool_core.direct import Route, RouteKind, Upstream

MEMORY_SHARE = 0.8
"""Share of an engine's memory that known requests and copies may occupy. The rest is left for the
requests and copies that other entries have placed since."""
MIN_HEALTHY = 2
"""A copy needs an engine other than the one that runs the request."""


class BackupCandidate(Struct, frozen=True, kw_only=True):
    """An engine that may receive a copy.

    Attributes:
        upstream: The engine.
        in_use: Number of its slots that are known to be in use.
        tokens: Tokens of the requests and copies that are known to be in its memory.
    """

    upstream: Upstream
    in_use: int
    tokens: float


def needs_backup(route: Route, *, is_suspect: bool, healthy: int) -> bool:
    """Return whether a request gets a copy while copies are in force for its service.

    A resumable stream runs again elsewhere. A request that is suspected of crashing engines would
    be carried on to the next engine by its copy.

    Args:
        route: The route that matches the request.
        is_suspect: Whether the request is suspected of crashing engines.
        healthy: Number of healthy engines of the service.
    """
    may_run_once_only = route.kind is RouteKind.STREAM and not route.resumable
    return may_run_once_only and not is_suspect and healthy >= MIN_HEALTHY


def choose_backup(
    request_id: str,
    source: Upstream,
    candidates: Iterable[BackupCandidate],
    *,
    tokens: int,
    capacity: int | None,
) -> Upstream | None:
    """Return the engine that receives the copy of a run, ``None`` if there is none with room.

    It runs the same software version, since a stream can go on at no other one.

    Engines of the source's failure domain come first, because a copy between domains takes twice as
    long. Among these the smallest share of slots in use decides. Ties are resolved by rendezvous
    hashing on the request id, so that the copies of one engine's runs spread over the others.

    Args:
        request_id: Id of the request.
        source: The engine that runs the request.
        candidates: Healthy engines of the service that accept requests.
        tokens: Tokens that the request occupies at its end, 0 if it states none.
        capacity: Tokens that an engine of the service holds, ``None`` if not declared.
    """
    best: tuple[bool, float] | None = None
    equal: dict[str, Upstream] = {}
    for each in candidates:
        upstream = each.upstream
        if upstream.instance == source.instance or upstream.address == source.address:
            continue
        if not upstream.runs_version(source.version):
            continue
        if capacity is not None and each.tokens + tokens > capacity * MEMORY_SHARE:
            continue
        crosses = upstream.failure_domain != source.failure_domain
        rank = (crosses, each.in_use / max(1, upstream.slots))
        if best is None or rank < best:
            best = rank
            equal = {}
        if rank == best:
            equal[upstream.identity] = upstream
    chosen = preferred_node(request_id, tuple(equal))
    return None if chosen is None else equal[chosen]
