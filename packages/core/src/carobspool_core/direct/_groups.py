"""Partition of entries and upstreams into groups.

Load pattern: hundreds of entries and thousands of upstreams. If each entry used every upstream, it
would have to report each request to all other entries, and the traffic would grow with the square
of the number of entries. Entries therefore form groups. Each group uses its own part of the large
services, and loads are reported only inside a group. A group has enough upstreams to absorb a
burst, and a small fleet is a single group.

Entries and upstreams are each ordered by a hash and cut into ranges. The sizes of the ranges differ
by one at most, and at most one member of each group moves when an entry or an upstream joins or
leaves. The hash spreads each failure domain over the groups.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TypeVar

from xxhash import xxh3_64_intdigest

MIN_ENTRIES_PER_GROUP = 16
"""Lower limit, since callers are spread unevenly over entries."""
MIN_UPSTREAMS_PER_GROUP = 32
"""Lower limit of the upstreams of the largest service that a group uses."""
MIN_UPSTREAMS_PER_PART = 8
"""Lower limit of a group's part of a service; all groups share a service that is too small."""

_Member = TypeVar("_Member")


def group_count(*, entries: int, upstreams: int) -> int:
    """Return the number of groups.

    Args:
        entries: Number of live entries.
        upstreams: Number of upstreams of the largest service.
    """
    return max(1, min(entries // MIN_ENTRIES_PER_GROUP, upstreams // MIN_UPSTREAMS_PER_GROUP))


def group_of_entry(name: str, names: Iterable[str], groups: int) -> tuple[int, frozenset[str]]:
    """Return the index of the group of an entry, and the names of all entries in the group.

    Args:
        name: Name of the entry.
        names: Names of all entries.
        groups: Number of groups.
    """
    ordered = sorted({*names, name}, key=_hash_order)
    index = ordered.index(name) * groups // len(ordered)
    members = (each for at, each in enumerate(ordered) if at * groups // len(ordered) == index)
    return index, frozenset(members)


def upstreams_of_group(
    upstreams: Sequence[_Member], instances: Sequence[str], number: int, groups: int
) -> Sequence[_Member]:
    """Return the upstreams of one service that a group uses.

    Args:
        upstreams: All upstreams of the service.
        instances: Ids of the upstreams, in the same order.
        number: Index of the group.
        groups: Number of groups.
    """
    if groups == 1 or len(upstreams) < groups * MIN_UPSTREAMS_PER_PART:
        return upstreams
    order = sorted(range(len(upstreams)), key=lambda at: _hash_order(instances[at]))
    first, last = _bounds(len(order), number, groups)
    return [upstreams[at] for at in order[first:last]]


def _bounds(count: int, number: int, groups: int) -> tuple[int, int]:
    """Return start and end of the range of a group in ``count`` ordered members."""
    return -(-number * count // groups), -(-(number + 1) * count // groups)


def _hash_order(name: str) -> tuple[int, str]:
    return xxh3_64_intdigest(name.encode()), name
