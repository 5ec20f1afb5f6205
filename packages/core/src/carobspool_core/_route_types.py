"""What routing is told and what it answers."""

from __future__ import annotations

from dataclasses import dataclass

from carobspool_core._messages import Priority


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """What of routing may be varied, mainly to measure what each part is worth.

    Attributes:
        choices: Upstreams compared for a request; 1 is blind, 2 is enough against herds.
        affinity: Whether equal prefixes prefer equal upstreams.
        ejection: Whether slow and failing upstreams are taken out.
        prefer_own_domain: Whether one upstream of the entry's own failure domain is compared too,
            and taken when it is no busier.
        near_share: Share of the slots up to which that one is taken.
        lag_correction: Whether this entry's own requests are added to reports.
        free_slot_first: Whether an upstream with a free slot goes before a full one with fewer
            tokens: one long request in a slot delays nobody in the others.
        search_free_slot: Whether all upstreams are looked through when those drawn are full.
        load_bound: Times the pool's mean load above which a preferred upstream is left. 1.25
            keeps at least four fifths of the pool busy before anyone is preferred into overload.
        free_share: Share of the slots up to which a preferred upstream is never left: an engine
            that is half empty delays nobody, however small the mean.
    """

    choices: int = 2
    affinity: bool = True
    ejection: bool = True
    prefer_own_domain: bool = True
    lag_correction: bool = True
    free_slot_first: bool = True
    search_free_slot: bool = True
    near_share: float = 0.25
    load_bound: float = 1.25
    free_share: float = 0.75


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """An upstream as declared.

    Attributes:
        host: Name of the upstream's host.
        failure_domain: Where it stands.
        targets: Models and services that it should serve.
        slots: Requests that it runs side by side.
    """

    host: str
    failure_domain: str
    targets: tuple[str, ...]
    slots: int = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteRequest:
    """What routing needs to know of a request.

    Attributes:
        target: Model or service.
        cost_tokens: Estimated tokens, prompt and answer together.
        prefix_key: Digest of the prompt's leading part; ``None`` when affinity is of no use.
        failure_domain: The entry's own.
        priority: Online or batch; batch goes only where credits are left.
        exclude: Hosts already tried.
        suspect: Whether it is suspected of crashing upstreams.
    """

    target: str
    cost_tokens: int
    prefix_key: str | None = None
    failure_domain: str = ""
    priority: Priority = Priority.ONLINE
    exclude: frozenset[str] = frozenset()
    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The chosen upstream.

    Attributes:
        host: Its name.
        affinity: Whether the prefix decided, so that a warm cache may be expected.
    """

    host: str
    affinity: bool
