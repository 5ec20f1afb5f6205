"""Choose the subset of upstreams that this entry uses, and find the entries that share it."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from msgspec import Struct

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream, group_count, group_of_entry, upstreams_of_group

GROUP_CACHE_TIME: Millis = 250.0
"""Time for which the group is cached, since each request needs it."""


class UpstreamSplit(Struct, frozen=True, kw_only=True):
    """The upstreams of a service, split into those that this entry uses and the others.

    Attributes:
        near: Upstreams that this entry uses; the entries of its group report their loads.
        far: All other upstreams, for requests that find no slot among the near ones.
    """

    near: Sequence[Upstream]
    far: Sequence[Upstream]

    def running(self, version: str | None) -> UpstreamSplit:
        """Return the upstreams that run a software version; ``None`` stands for any version."""
        if version is None:
            return self
        return UpstreamSplit(
            near=[each for each in self.near if each.runs_version(version)],
            far=[each for each in self.far if each.runs_version(version)],
        )


class _Group(Struct, frozen=True, kw_only=True):
    """The group of this entry: its number among ``groups`` groups, and the names of its members."""

    number: int
    groups: int
    members: frozenset[str]


class GroupAssignment:
    """Assigns this entry to a group, and upstreams to that group; safe for threads.

    Args:
        clock: The process's clock.
        name: Name of this entry.
        members: Returns the names of the other entries.
        usable: Returns the usable upstreams of a service, as the same list until they change.
        largest_service: Returns the number of upstreams of the largest service.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        *,
        members: Callable[[], frozenset[str]],
        usable: Callable[[str], Sequence[Upstream]],
        largest_service: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._name = name
        self._members = members
        self._usable = usable
        self._largest_service = largest_service
        self._lock = threading.Lock()
        self._group = _Group(number=0, groups=1, members=frozenset({name}))
        self._group_valid_until: Millis = 0.0
        self._splits: dict[str, tuple[Sequence[Upstream], _Group, UpstreamSplit]] = {}

    def near(self, service: str) -> Sequence[Upstream]:
        """Return the upstreams of a service that this entry uses."""
        return self.split_upstreams(service).near

    def split_upstreams(self, service: str) -> UpstreamSplit:
        """Return the upstreams of a service, split into near and far ones."""
        upstreams = self._usable(service)
        group = self._current_group()
        if group.groups == 1:
            return UpstreamSplit(near=upstreams, far=())
        known = self._splits.get(service)
        if known is not None and known[0] is upstreams and known[1] is group:
            return known[2]
        split = _split_for_group(upstreams, group)
        self._splits[service] = (upstreams, group, split)
        return split

    def group_members(self) -> frozenset[str] | None:
        """Return the names of the entries that use the same upstreams, ``None`` for all entries."""
        group = self._current_group()
        return None if group.groups == 1 else group.members

    def _current_group(self) -> _Group:
        now = self._clock.now()
        with self._lock:
            if now < self._group_valid_until:
                return self._group
            self._group_valid_until = now + GROUP_CACHE_TIME
            names = self._members() | {self._name}
            groups = group_count(entries=len(names), upstreams=self._largest_service())
            number, members = 0, names
            if groups > 1:
                number, members = group_of_entry(self._name, names, groups)
            found = _Group(number=number, groups=groups, members=members)
            if found != self._group:
                self._group = found
            return self._group


def _split_for_group(upstreams: Sequence[Upstream], group: _Group) -> UpstreamSplit:
    instances = [each.instance for each in upstreams]
    near = upstreams_of_group(upstreams, instances, group.number, group.groups)
    if near is upstreams:
        return UpstreamSplit(near=upstreams, far=())
    names = {each.instance for each in near}
    return UpstreamSplit(near=near, far=[each for each in upstreams if each.instance not in names])
