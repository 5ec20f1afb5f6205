"""Start order of the waiting items of all owned jobs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from carobspool_core import Millis, steady_wall_millis
from carobspool_core.direct import (
    UNKNOWN_SERVICE,
    BatchUrgency,
    Configuration,
    ItemDurationEstimate,
    ItemWork,
    Route,
    WaitingGroup,
    lowest_groups,
    short_key_of,
    start_order_of,
    urgency_of,
)
from carobspool_node.direct._owned_job import OwnedJob


class WaitingItems(Struct, frozen=True, kw_only=True):
    """Equally urgent items of one job that can be started.

    Attributes:
        job: The job of the items.
        works: The items and their states by id; items that start or finish leave the mapping, or
            are marked as running.
        route: The route of the items; ``None`` when no batch route matches their paths any more.
        service: Service that runs the items; empty without a route.
        urgency: Urgency class of the items.
        due: When the job is due, in wall-clock milliseconds. It is counted from the submission, not
            from when this entry became the owner: a job that was taken over has lost time already.
        start_order: Position among the waiting items of all entries at the time ``wall``; the
            lowest starts first.
        wall: Wall-clock milliseconds at which ``start_order`` was computed.
    """

    job: OwnedJob
    works: Mapping[str, ItemWork]
    route: Route | None
    service: str
    urgency: BatchUrgency
    due: float
    start_order: Millis
    wall: float

    def start_order_at(self, wall: float) -> Millis:
        """Return the items' start order at a later time, in wall-clock milliseconds."""
        return max(0.0, self.start_order - (wall - self.wall))


class WaitingReport(Struct, frozen=True):
    """The waiting items that an entry reports to its peers.

    Attributes:
        groups: The items at the time ``wall``.
        wall: Wall-clock milliseconds.
    """

    groups: tuple[WaitingGroup, ...] = ()
    wall: float = 0.0

    def groups_at(self, wall: float) -> tuple[WaitingGroup, ...]:
        """Return the groups at a later time."""
        elapsed = wall - self.wall
        return tuple(
            WaitingGroup(max(0.0, each.start_order - elapsed), each.items, each.service_key)
            for each in self.groups
        )


def order_waiting_items(
    jobs: Iterable[OwnedJob],
    configuration: Configuration,
    pace: ItemDurationEstimate,
    *,
    now: Millis,
) -> list[WaitingItems]:
    """Return the items that can be started, those that can no longer be on time last.

    Args:
        jobs: The owned jobs.
        configuration: The current routes.
        pace: Estimates how long items run.
        now: The current time of the process's clock, to which the end of each item's retry delay is
            compared.
    """
    found: list[WaitingItems] = []
    wall = steady_wall_millis()
    for job in jobs:
        if job.lost or job.releasing:
            continue
        with job.lock:
            groups = job.work.waiting_items(now, configuration)
        if not groups:
            continue
        job_route = configuration.route_for(job.input.host, job.input.path)
        target = job_route.completion_target if job_route is not None else 0.0
        retention = job_route.retention if job_route is not None else 0.0
        due = job.input.submitted + target
        age = wall - job.input.submitted
        for group in groups:
            remaining = pace.estimate_remaining(group.last_event)
            urgency = urgency_of(
                age=age, completion_target=target, retention=retention, remaining=remaining
            )
            start_order = start_order_of(
                urgency, age=age, completion_target=target, remaining=remaining
            )
            found.append(
                WaitingItems(
                    job=job,
                    works=group.works,
                    route=group.route,
                    service=group.service,
                    urgency=urgency,
                    due=due,
                    start_order=start_order,
                    wall=wall,
                )
            )
    found.sort(key=lambda each: each.start_order)
    return found


def report_waiting_items(order: Iterable[WaitingItems]) -> WaitingReport:
    """Return the report of the items that wait after a pass.

    Args:
        order: All items, in the order of `order_waiting_items`.
    """
    wall = steady_wall_millis()
    keys: dict[str, int] = {"": UNKNOWN_SERVICE}
    waiting: list[WaitingGroup] = []
    for each in order:
        # Only an item that is a group of its own stays in its group while it runs.
        count = len(each.works)
        if count <= 1:
            count = sum(not work.running for work in list(each.works.values()))
        if not count:
            continue
        if each.service not in keys:
            keys[each.service] = short_key_of(each.service)
        waiting.append(WaitingGroup(each.start_order_at(wall), count, keys[each.service]))
    return WaitingReport(lowest_groups(waiting), wall)
