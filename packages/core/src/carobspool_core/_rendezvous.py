"""Rendezvous hashing: every process picks the same node for a key, without talking to the others.

Answers membership that changes many times an hour: when a node goes, only the keys that it owned
move, and they spread over all the others. With ``hash(key) % n`` nearly every key would move, and
with it every prefix cache and every claim.

A score is one XXH3 digest of the node's name seeded with the key's digest. The cost is linear in
the nodes; `owner` and `first` never sort.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence

from xxhash import xxh3_64_intdigest


def rank(key: str, nodes: Sequence[str]) -> list[str]:
    """Return all nodes, the one preferred for ``key`` first.

    The order depends on the set of nodes alone, not on the order in which they are given.

    Args:
        key: What is to be placed.
        nodes: Names of the nodes, each once.

    Since 0.1.
    """
    return sorted(nodes, key=_score_for(key), reverse=True)


def first(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` preferred nodes for ``key`` in order: the head of `rank`.

    Since 0.1.
    """
    return heapq.nlargest(count, nodes, key=_score_for(key))


def owner(key: str, nodes: Sequence[str]) -> str | None:
    """Return the node preferred for ``key``, or ``None`` when there are no nodes.

    Since 0.1.
    """
    return max(nodes, key=_score_for(key), default=None)


def _score_for(key: str) -> Callable[[str], tuple[int, str]]:
    seed = xxh3_64_intdigest(key.encode())

    def score(node: str) -> tuple[int, str]:
        return xxh3_64_intdigest(node.encode(), seed), node

    return score
