"""The unfinished items of one batch job, grouped by where they run.

Load pattern: an entry owns a hundred thousand waiting items, of which a few can start at a time.
Nearly all of them are untouched, so that those of one job are equally urgent. They are grouped once
for each configuration, and a pass over the items visits each group and not each item.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct

from carobspool_core.direct._configuration import Configuration, Route, RouteKind
from carobspool_core.direct._item_work import ItemWork


class ItemGroup(Struct, frozen=True, eq=False):
    """Items of one job that run at the same service by the same route.

    Attributes:
        route: The route of the items; ``None`` when no batch route matches their paths any more.
        service: Service that runs the items; empty without a route.
        works: The items by id; those that start or finish leave a group of untouched items.
        last_event: Id of the last event that each item has received.
    """

    route: Route | None
    service: str
    works: Mapping[str, ItemWork]
    last_event: int = 0


class OpenItems:
    """The items of a job that have no result. Not thread-safe.

    Args:
        host: Selects the routes of the items, together with their paths.
        works: The items.
    """

    __slots__ = ("_begun", "_configuration", "_groups", "_host", "_tokens", "_untouched")

    def __init__(self, host: str, works: Iterable[ItemWork]) -> None:
        self._host = host
        self._begun: dict[str, ItemWork] = {}
        self._untouched: dict[str, ItemWork] = {}
        self._tokens = 0
        for work in works:
            is_begun = work.failures > 0 or work.committed_part is not None
            (self._begun if is_begun else self._untouched)[work.item.item_id] = work
            self._tokens += work.item.tokens
        self._configuration: Configuration | None = None
        self._groups: list[tuple[ItemGroup, dict[str, ItemWork]]] = []

    def __len__(self) -> int:
        return len(self._begun) + len(self._untouched)

    @property
    def tokens(self) -> int:
        """Tokens of all items."""
        return self._tokens

    def all(self) -> list[ItemWork]:
        """Return all items."""
        return [*self._begun.values(), *self._untouched.values()]

    def begun(self) -> Collection[ItemWork]:
        """Return the items that a run of this owner or an earlier one has begun."""
        return self._begun.values()

    def untouched(self, configuration: Configuration) -> Sequence[ItemGroup]:
        """Return the groups of the items that no run has begun."""
        if configuration is not self._configuration:
            self._group(configuration)
        return [group for group, works in self._groups if works]

    def group_of(self, work: ItemWork, configuration: Configuration) -> ItemGroup:
        """Return a group of one item."""
        route, service = self._destination(work, configuration)
        return ItemGroup(route, service, {work.item.item_id: work}, work.last_event)

    def begin(self, work: ItemWork) -> None:
        """Record that a run of an item begins."""
        if self._untouched.pop(work.item.item_id, None) is not None:
            self._leave_group(work.item.item_id)
            self._begun[work.item.item_id] = work

    def remove(self, item_id: str) -> bool:
        """Remove an item that has a result; return whether it was among the items."""
        work = self._begun.pop(item_id, None)
        if work is None:
            work = self._untouched.pop(item_id, None)
            self._leave_group(item_id)
        if work is None:
            return False
        self._tokens -= work.item.tokens
        return True

    def _leave_group(self, item_id: str) -> None:
        for _, works in self._groups:
            if works.pop(item_id, None) is not None:
                return

    def _group(self, configuration: Configuration) -> None:
        found: dict[tuple[str, str], tuple[ItemGroup, dict[str, ItemWork]]] = {}
        for item_id, work in self._untouched.items():
            route, service = self._destination(work, configuration)
            key = ("", "") if route is None else (route.name, service)
            if key not in found:
                works: dict[str, ItemWork] = {}
                found[key] = ItemGroup(route, service, works), works
            found[key][1][item_id] = work
        self._groups = list(found.values())
        self._configuration = configuration

    def _destination(
        self, work: ItemWork, configuration: Configuration
    ) -> tuple[Route | None, str]:
        route = configuration.route_for(self._host, work.item.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None, ""
        return route, route.choose_service(work.item.item_id)
