"""To which sidecars an entry connects: all of a small fleet, a bounded subset of a large one."""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core import DesiredState, SubsetAssignment, Upstream, make_subset_assignment


class Connections:
    """The choice for one entry, kept cheap under small changes of entries and upstreams.

    Since 0.1.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._subsets: dict[str, SubsetAssignment] = {}

    def choose(self, state: DesiredState, live: Iterable[str]) -> dict[str, Upstream]:
        """Return the upstreams to connect to, by host.

        Args:
            state: The configuration in force.
            live: Names of the live entries, with or without this one.
        """
        entries = sorted({*live, self._entry})
        hosts_of = _hosts_by_target(state)
        chosen: set[str] = set()
        for target, hosts in hosts_of.items():
            subset = self._subsets.setdefault(target, make_subset_assignment())
            subset.set_members(entries, hosts)
            chosen.update(subset.sidecars_of(self._entry))
        for target in [target for target in self._subsets if target not in hosts_of]:
            del self._subsets[target]
        return {host: state.upstreams[host] for host in sorted(chosen)}


def _hosts_by_target(state: DesiredState) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for host, upstream in state.upstreams.items():
        names = upstream.models if upstream.service is None else (upstream.service,)
        for name in names:
            found.setdefault(name, []).append(host)
    return found
