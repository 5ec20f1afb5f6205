"""Start order of the waiting items of all owned jobs."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core import Millis, wall_millis
from carobspool_core.direct import (
    UNKNOWN_SERVICE,
    BatchUrgency,
    Configuration,
    ItemDurationEstimate,
    ItemWork,
    Route,
    RouteKind,
    short_key_of,
    start_order_of,
    urgency_of,
)
from carobspool_node.direct._owned_job import OwnedJob


class WaitingItem(Struct, frozen=True, kw_only=True):
    """An item that can be started.

    Attributes:
        job: The job of the item.
        work: The item and its state.
        route: The route of the item; ``None`` when no batch route matches its path any more.
        service: Service that runs the item; empty without a route.
        urgency: Urgency class of the item.
        due: When the job is due, in wall-clock milliseconds. It is counted from the submission, not
            from when this entry became the owner: a job that was taken over has lost time already.
        start_order: Position among the waiting items of all entries at the time ``wall``; the
            lowest starts first.
        wall: Wall-clock milliseconds at which ``start_order`` was computed.
    """

    job: OwnedJob
    work: ItemWork
    route: Route | None
    service: str
    urgency: BatchUrgency
    due: float
    start_order: Millis
    wall: float

    @property
    def service_key(self) -> int:
        """Key of the service in hints; `UNKNOWN_SERVICE` without a route."""
        return short_key_of(self.service) if self.service else UNKNOWN_SERVICE

    def start_order_at(self, wall: float) -> Millis:
        """Return the item's start order at a later time, in wall-clock milliseconds."""
        return max(0.0, self.start_order - (wall - self.wall))


def order_waiting_items(
    jobs: Iterable[OwnedJob],
    configuration: Configuration,
    pace: ItemDurationEstimate,
    *,
    now: Millis,
) -> list[WaitingItem]:
    """Return the items that can be started, those that can no longer be on time last.

    Args:
        jobs: The owned jobs.
        configuration: The current routes.
        pace: Estimates how long items run.
        now: The current time of the process's clock, to which the end of each item's retry delay is
            compared.
    """
    found: list[WaitingItem] = []
    wall = wall_millis()
    for job in jobs:
        if job.lost or job.releasing or job.finished:
            continue
        with job.lock:
            waiting = job.work.waiting_items(now)
        job_route = configuration.route_for(job.input.host, job.input.path)
        target = job_route.completion_target if job_route is not None else 0.0
        retention = job_route.retention if job_route is not None else 0.0
        due = job.input.submitted + target
        for work in waiting:
            route = configuration.route_for(job.input.host, work.item.path)
            if route is not None and route.kind is not RouteKind.BATCH:
                route = None
            age = wall - job.input.submitted
            remaining = pace.estimate_remaining(work.last_event)
            urgency = urgency_of(
                age=age, completion_target=target, retention=retention, remaining=remaining
            )
            start_order = start_order_of(
                urgency, age=age, completion_target=target, remaining=remaining
            )
            found.append(
                WaitingItem(
                    job=job,
                    work=work,
                    route=route,
                    service=route.choose_service(work.item.item_id) if route is not None else "",
                    urgency=urgency,
                    due=due,
                    start_order=start_order,
                    wall=wall,
                )
            )
    found.sort(key=lambda each: each.start_order)
    return found
