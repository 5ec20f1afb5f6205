"""The choice of one upstream among those that may be chosen.

Load pattern: bursts of requests of very unequal cost, and many with the same prompt prefix, over
upstreams whose load is known late. "The least loaded" sends a whole burst to one upstream; a blind
choice sends a short request behind long ones while a slot is free elsewhere. Two random choices
avoid both.

Equal prefixes prefer equal upstreams, or each upstream would compute every prefix and its limited
cache hold few of them. The preference ends where the favourite is busier than others: without
that bound one hot prefix loads a single upstream while the others idle.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from carobspool_core._messages import Priority
from carobspool_core._pools import Pool, PooledUpstream
from carobspool_core._rendezvous import first
from carobspool_core._route_types import RouteRequest, RoutingSettings


def candidates_for(pool: Pool, request: RouteRequest) -> Sequence[PooledUpstream]:
    """Return the upstreams that may take a request; `Pool.chosen` itself when all of them may."""
    # When all others are lost or were tried, an ejected upstream is better than a refusal.
    return _allowed(pool.chosen, request) or _allowed(pool.usable, request)


def _allowed(
    upstreams: Sequence[PooledUpstream], request: RouteRequest
) -> Sequence[PooledUpstream]:
    found = upstreams
    if request.exclude:
        found = [each for each in found if each.host not in request.exclude]
    if request.priority is Priority.BATCH:
        found = [each for each in found if each.estimate.credits]
    if request.suspect:
        found = [each for each in found if not each.estimate.suspects]
    return found


def lighter_of_random(
    upstreams: Sequence[PooledUpstream], rng: Random, settings: RoutingSettings
) -> PooledUpstream:
    """Return the least busy of a few different upstreams drawn at random.

    When all of these are full, the draw is repeated among those that seem to have a free slot.
    """
    best = _drawn(upstreams, rng, settings)
    if not settings.search_free_slot or not is_avoided(best, settings):
        return best
    free = [each for each in upstreams if not is_avoided(each, settings)]
    return _drawn(free, rng, settings) if free else best


def _drawn(
    upstreams: Sequence[PooledUpstream], rng: Random, settings: RoutingSettings
) -> PooledUpstream:
    count = len(upstreams)
    index = int(rng.random() * count)
    best = upstreams[index]
    if count == 1:
        return best
    for _ in range(settings.choices - 1):
        index = (index + 1 + int(rng.random() * (count - 1))) % count
        other = upstreams[index]
        if busyness(other, settings) < busyness(best, settings):
            best = other
    return best


def near_unless_busier(
    upstream: PooledUpstream,
    near: Sequence[PooledUpstream],
    rng: Random,
    settings: RoutingSettings,
) -> PooledUpstream:
    """Return an upstream of the entry's own failure domain if it is nearly idle and no busier.

    The domain saves 3 ms of a round trip; waiting for a slot costs hundreds. On busier upstreams
    the third candidate only makes the entries of a domain run after the same report.
    """
    if not settings.prefer_own_domain or not near:
        return upstream
    candidate = near[int(rng.random() * len(near))]
    if candidate.estimate.requests >= candidate.declared.slots * settings.near_share:
        return upstream
    return candidate if busyness(candidate, settings) <= busyness(upstream, settings) else upstream


def favourite(prefix_key: str, upstreams: Sequence[PooledUpstream]) -> PooledUpstream:
    """Return the upstream that should hold a prefix's cache.

    Args:
        prefix_key: Digest of the prompt's leading part.
        upstreams: At least one.
    """
    by_host = {each.host: each for each in upstreams}
    return by_host[first(prefix_key, by_host, 1)[0]]


def is_light(
    upstream: PooledUpstream, cost_tokens: int, pool: Pool, settings: RoutingSettings
) -> bool:
    """Return whether a favourite may take a request of ``cost_tokens`` more."""
    if upstream.estimate.requests < upstream.declared.slots * settings.free_share:
        return True
    # A warm cache saves a part of a prompt; a wait for a slot costs a whole answer.
    if settings.free_slot_first and not upstream.has_free_slot:
        return False
    tokens = upstream.estimate.tokens + cost_tokens
    return tokens <= settings.load_bound * pool.tokens_per_slot * upstream.declared.slots


def least_busy(upstreams: Sequence[PooledUpstream], settings: RoutingSettings) -> PooledUpstream:
    """Return the least busy upstream of all: for suspects, which should have few beside them."""
    return min(upstreams, key=lambda each: busyness(each, settings))


def busyness(upstream: PooledUpstream, settings: RoutingSettings) -> tuple[bool, float]:
    """Return the key by which upstreams are compared; less is better."""
    tokens = upstream.estimate.tokens / upstream.declared.slots
    return is_avoided(upstream, settings), tokens


def is_avoided(upstream: PooledUpstream, settings: RoutingSettings) -> bool:
    """Return whether an upstream seems to have no free slot.

    One that runs a suspect counts as full, so that few are beside it if it crashes.
    """
    if upstream.estimate.suspects:
        return True
    return settings.free_slot_first and not upstream.has_free_slot
