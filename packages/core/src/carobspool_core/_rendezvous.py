"""Rendezvous hashing: every process selects the same node for a key, without coordination.

Membership changes many times an hour. When a node leaves, only the keys that it owned move, and
they spread over all other nodes. With ``hash(key) % n`` nearly every key would move, and with it
every prefix cache and every claim.

A node's score is one XXH3 digest of its name, seeded with the key's digest. The cost is linear in
the number of nodes; `preferred_node` and `preferred_nodes` do not sort all nodes.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence

from xxhash import xxh3_64_intdigest


def rank_nodes(key: str, nodes: Sequence[str]) -> list[str]:
    """Return all nodes, the most preferred for ``key`` first.

    The result depends only on the set of nodes, not on the order of ``nodes``.

    Args:
        key: The key to place.
        nodes: Distinct names of the nodes.

    Since 0.1.
    """
    return sorted(nodes, key=_score_for(key), reverse=True)


def preferred_nodes(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` most preferred nodes for ``key`` in order: the head of `rank_nodes`.

    Since 0.1.
    """
    return heapq.nlargest(count, nodes, key=_score_for(key))


def preferred_node(key: str, nodes: Sequence[str]) -> str | None:
    """Return the most preferred node for ``key``, or ``None`` if there are no nodes.

    Since 0.1.
    """
    return max(nodes, key=_score_for(key), default=None)


def _score_for(key: str) -> Callable[[str], tuple[int, str]]:
    seed = xxh3_64_intdigest(key.encode())

    def score(node: str) -> tuple[int, str]:
        return xxh3_64_intdigest(node.encode(), seed), node

    return score
