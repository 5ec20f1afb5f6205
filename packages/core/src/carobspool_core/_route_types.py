"""Input, output and settings of routing."""

from __future__ import annotations

from dataclasses import dataclass

from carobspool_core._messages import Priority


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """Routing parameters, varied mainly to measure the effect of each mechanism.

    Attributes:
        sample_size: Number of random upstreams compared for a request; 1 ignores load, 2 is enough
            to avoid herding.
        affinity: Whether requests with the same prefix prefer the same upstream.
        ejection: Whether slow and failing upstreams are ejected.
        prefer_own_domain: Whether an upstream of the entry's own failure domain is compared as
            well, and chosen if it is no busier.
        own_domain_share: Fraction of occupied slots from which that upstream is not preferred.
        lag_correction: Whether this entry's own requests are added to the reported load.
        free_slot_first: Whether an upstream with a free slot precedes a full upstream with fewer
            tokens: a long request in one slot does not delay requests in other slots.
        search_free_slot: Whether all upstreams are searched for a free slot if the sampled ones
            are full.
        load_bound: Multiple of the pool's mean load above which a preferred upstream is not used.
            1.25 keeps at least four fifths of the pool busy before affinity can overload an
            upstream.
        affinity_free_share: Fraction of occupied slots below which a preferred upstream is always
            used: a half-empty engine delays no request, however small the mean load.
    """

    sample_size: int = 2
    affinity: bool = True
    ejection: bool = True
    prefer_own_domain: bool = True
    lag_correction: bool = True
    free_slot_first: bool = True
    search_free_slot: bool = True
    own_domain_share: float = 0.25
    load_bound: float = 1.25
    affinity_free_share: float = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclaredUpstream:
    """An upstream as declared.

    Attributes:
        host: Name of the upstream's host.
        failure_domain: Failure domain of the host.
        targets: Models and services that the upstream should serve.
        slots: Number of requests that the upstream runs concurrently.
    """

    host: str
    failure_domain: str
    targets: tuple[str, ...]
    slots: int = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteRequest:
    """The properties of a request that routing uses.

    Attributes:
        target: Model or service.
        cost_tokens: Estimated tokens, prompt and answer together.
        prefix_key: Digest of the prompt's prefix; ``None`` if affinity has no benefit.
        failure_domain: Failure domain of the entry.
        priority: Online or batch; batch requests are sent only to upstreams with credits left.
        exclude: Hosts already tried.
        suspect: Whether the request is suspected of crashing upstreams.
    """

    target: str
    cost_tokens: int
    prefix_key: str | None = None
    failure_domain: str = ""
    priority: Priority = Priority.ONLINE
    exclude: frozenset[str] = frozenset()
    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteChoice:
    """The chosen upstream.

    Attributes:
        host: Name of the upstream's host.
        affinity: Whether the prefix determined the choice, so that its cache is probably warm.
    """

    host: str
    affinity: bool
