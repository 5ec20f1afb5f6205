"""Prefix affinity with bounded load: equal prompt prefixes meet a warm cache, up to a limit.

Load pattern: many requests with the same prompt prefix. Without affinity each upstream computes
and keeps every prefix, and the limited cache memory of the engines holds few of them. Without the
bound one hot prefix would load a single upstream while others idle.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from carobspool_core._rendezvous import first

FAVOURITES = 2
"""Upstreams tried by preference: with two, a hot prefix that overflows is still computed at only
two places."""


def favourites(prefix_key: str, hosts: Iterable[str]) -> list[str]:
    """Return the upstreams that should hold the prefix's cache, best first."""
    return first(prefix_key, hosts, FAVOURITES)


def pick_favourite(
    prefix_key: str, hosts: Iterable[str], is_acceptable: Callable[[str], bool]
) -> str | None:
    """Return the best favourite that is not above the bound, or ``None``.

    Args:
        prefix_key: Digest of the prompt's leading part.
        hosts: Upstreams that may be chosen.
        is_acceptable: Whether an upstream's load allows one more request.
    """
    for host in favourites(prefix_key, hosts):
        if is_acceptable(host):
            return host
    return None
