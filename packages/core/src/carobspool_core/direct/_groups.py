"""Which entries share which upstreams.

Load pattern: hundreds of entries and thousands of upstreams. Were each entry to use them all, each
would have to tell all others of each request, and what is told would grow with the square of the
entries. So entries form groups, each with its own part of the large services; loads are told inside
a group. A group keeps enough upstreams that a burst finds room, and small fleets are one group.

Both are cut from one order by hash: parts differ by one member at most, and when an entry or an
upstream comes or goes one member of each group moves at most. The hash mixes failure domains.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TypeVar

from xxhash import xxh3_64_intdigest

ENTRIES_OF_A_GROUP = 16
"""Least number of entries of a group; callers are spread unevenly over entries."""
UPSTREAMS_OF_A_GROUP = 32
"""Least number of upstreams of the largest service that a group uses."""
UPSTREAMS_TO_SHARE_OUT = 8
"""Least number of upstreams that each group has of a service; a smaller service is used by all."""

_Member = TypeVar("_Member")


def group_count(*, entries: int, upstreams: int) -> int:
    """Return how many groups there are.

    Args:
        entries: Entries that live.
        upstreams: Upstreams of the largest service.
    """
    return max(1, min(entries // ENTRIES_OF_A_GROUP, upstreams // UPSTREAMS_OF_A_GROUP))


def members_of_group(name: str, names: Iterable[str], groups: int) -> tuple[int, frozenset[str]]:
    """Return the number of an entry's group, and the entries in it.

    Args:
        name: The entry.
        names: Names of all entries.
        groups: Number of groups.
    """
    ordered = sorted({*names, name}, key=_place)
    number = ordered.index(name) * groups // len(ordered)
    members = (each for at, each in enumerate(ordered) if at * groups // len(ordered) == number)
    return number, frozenset(members)


def part_of_group(
    upstreams: Sequence[_Member], instances: Sequence[str], number: int, groups: int
) -> Sequence[_Member]:
    """Return the upstreams of one service that a group uses.

    Args:
        upstreams: All upstreams of the service.
        instances: Their ids, in the same order.
        number: Number of the group.
        groups: Number of groups.
    """
    if groups == 1 or len(upstreams) < groups * UPSTREAMS_TO_SHARE_OUT:
        return upstreams
    order = sorted(range(len(upstreams)), key=lambda at: _place(instances[at]))
    first, last = _bounds(len(order), number, groups)
    return [upstreams[at] for at in order[first:last]]


def _bounds(count: int, number: int, groups: int) -> tuple[int, int]:
    return -(-number * count // groups), -(-(number + 1) * count // groups)


def _place(name: str) -> tuple[int, str]:
    return xxh3_64_intdigest(name.encode()), name
