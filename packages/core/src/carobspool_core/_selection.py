"""Selects one upstream among the candidates for a request.

Load pattern: bursts of requests of very unequal cost, many of them with the same prompt prefix,
over upstreams whose load reports arrive late. Choosing the least loaded upstream would send a whole
burst to the same upstream. A uniformly random choice would queue a short request behind long ones
while another upstream has a free slot. The less busy of two random choices avoids both.

Requests with the same prefix prefer the same upstream. Otherwise each upstream would compute every
prefix, and its limited cache would hold few of them. The preference ends when the preferred
upstream is busier than the others: without that bound one frequent prefix overloads a single
upstream while the others are idle.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from carobspool_core._messages import Priority
from carobspool_core._pools import Pool, PooledUpstream
from carobspool_core._rendezvous import preferred_nodes
from carobspool_core._route_types import RouteRequest, RoutingSettings


def candidates_for(pool: Pool, request: RouteRequest) -> Sequence[PooledUpstream]:
    """Return the upstreams that may take a request; `Pool.active` itself if all of them may."""
    # If all other upstreams are lost or were tried, an ejected upstream is better than a refusal.
    return _eligible(pool.active, request) or _eligible(pool.usable, request)


def _eligible(
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


def least_busy_of_random(
    upstreams: Sequence[PooledUpstream], rng: Random, settings: RoutingSettings
) -> PooledUpstream:
    """Return the least busy of a few distinct upstreams sampled at random.

    If all sampled upstreams are full, sample again among those that seem to have a free slot.
    """
    best = _sample_least_busy(upstreams, rng, settings)
    if not settings.search_free_slot or not is_full(best, settings):
        return best
    free = [each for each in upstreams if not is_full(each, settings)]
    return _sample_least_busy(free, rng, settings) if free else best


def _sample_least_busy(
    upstreams: Sequence[PooledUpstream], rng: Random, settings: RoutingSettings
) -> PooledUpstream:
    count = len(upstreams)
    index = int(rng.random() * count)
    best = upstreams[index]
    if count == 1:
        return best
    for _ in range(settings.sample_size - 1):
        index = (index + 1 + int(rng.random() * (count - 1))) % count
        other = upstreams[index]
        if load_key(other, settings) < load_key(best, settings):
            best = other
    return best


def own_domain_unless_busier(
    upstream: PooledUpstream,
    own_domain: Sequence[PooledUpstream],
    rng: Random,
    settings: RoutingSettings,
) -> PooledUpstream:
    """Return a random upstream of the own failure domain if it is nearly idle and no busier.

    Staying in the failure domain saves 3 ms of round-trip time; waiting for a slot costs hundreds
    of milliseconds. Among busier upstreams, this third candidate would only make all entries of a
    failure domain follow the same load report.

    Args:
        upstream: The upstream selected so far, returned otherwise.
        own_domain: The candidates in the entry's own failure domain.
        rng: Source of the random choice.
        settings: Routing parameters.
    """
    if not settings.prefer_own_domain or not own_domain:
        return upstream
    candidate = own_domain[int(rng.random() * len(own_domain))]
    if candidate.estimate.requests >= candidate.declared.slots * settings.own_domain_share:
        return upstream
    return candidate if load_key(candidate, settings) <= load_key(upstream, settings) else upstream


def preferred_upstream(prefix_key: str, upstreams: Sequence[PooledUpstream]) -> PooledUpstream:
    """Return the upstream whose cache should hold a prefix.

    Args:
        prefix_key: Digest of the prompt's leading part.
        upstreams: At least one.
    """
    by_host = {each.host: each for each in upstreams}
    return by_host[preferred_nodes(prefix_key, by_host, 1)[0]]


def has_capacity(
    upstream: PooledUpstream, cost_tokens: int, pool: Pool, settings: RoutingSettings
) -> bool:
    """Return whether a preferred upstream may take another request of ``cost_tokens``."""
    if upstream.estimate.requests < upstream.declared.slots * settings.affinity_free_share:
        return True
    # A warm cache saves part of the prompt's cost; waiting for a slot takes as long as a
    # whole answer.
    if settings.free_slot_first and not upstream.has_free_slot:
        return False
    tokens = upstream.estimate.tokens + cost_tokens
    return tokens <= settings.load_bound * pool.tokens_per_slot * upstream.declared.slots


def least_busy(upstreams: Sequence[PooledUpstream], settings: RoutingSettings) -> PooledUpstream:
    """Return the least busy of all upstreams.

    Used for suspects, so that few other requests run at the same upstream.
    """
    return min(upstreams, key=lambda each: load_key(each, settings))


def load_key(upstream: PooledUpstream, settings: RoutingSettings) -> tuple[bool, float]:
    """Return the sort key by which upstreams are compared; the lowest is the least busy."""
    tokens = upstream.estimate.tokens / upstream.declared.slots
    return is_full(upstream, settings), tokens


def is_full(upstream: PooledUpstream, settings: RoutingSettings) -> bool:
    """Return whether an upstream counts as having no free slot.

    An upstream that runs a suspect counts as full, so that a crash affects few other requests. With
    ``free_slot_first`` off, no other upstream counts as full.
    """
    if upstream.estimate.suspects:
        return True
    return settings.free_slot_first and not upstream.has_free_slot
