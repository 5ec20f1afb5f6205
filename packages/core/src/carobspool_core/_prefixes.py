"""Which prompt prefixes come again, and so are worth keeping on one upstream.

Load pattern: prompts that all begin differently. Sent each to the favourite of its prefix they are
spread by a hash, which loads upstreams unevenly and meets no cache. Only a prefix that was seen
before is given an affinity; its second prompt may miss the cache, its third finds it.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_PREFIXES = 20_000
"""Prefixes remembered: 30 s of letter 1's peak at one entry of 380, or hours of today's load; about
100 bytes each."""


class Prefixes:
    """Prefixes seen lately by one entry; not safe for several threads. Since 0.1."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: OrderedDict[str, None] = OrderedDict()

    def repeated(self, key: str) -> bool:
        """Note a prefix and return whether it was seen before."""
        known = key in self._seen
        self._seen[key] = None
        self._seen.move_to_end(key)
        if len(self._seen) > MAX_PREFIXES:
            self._seen.popitem(last=False)
        return known


def make_prefixes() -> Prefixes:
    """Return the memory of an entry that has seen no prompt.

    Since 0.1.
    """
    return Prefixes()
