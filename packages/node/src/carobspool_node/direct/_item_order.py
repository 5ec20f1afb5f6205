"""The waiting items of all owned jobs, in the order in which they are started."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core import Millis, wall_millis
from carobspool_core.direct import (
    BatchUrgency,
    Configuration,
    ItemPace,
    ItemWork,
    Route,
    RouteKind,
    turn_of,
    urgency_of,
)
from carobspool_node.direct._owned_job import OwnedJob


class WaitingItem(Struct, frozen=True, kw_only=True):
    """An item that can be started.

    Attributes:
        job: Its job.
        work: The item.
        route: Its route; ``None`` when no route leads to it any more.
        urgency: How it stands.
        due: When its job is due, by the wall clock. Counted from the submission, not from when
            this entry took the job on: a job that was taken over has lost time already.
        turn: Where it stands among the items of all entries when ``wall`` was read.
        wall: Wall-clock milliseconds.
    """

    job: OwnedJob
    work: ItemWork
    route: Route | None
    urgency: BatchUrgency
    due: float
    turn: Millis
    wall: float

    def turn_at(self, wall: float) -> Millis:
        """Return its turn at a later time."""
        return max(0.0, self.turn - (wall - self.wall))


def order_waiting_items(
    jobs: Iterable[OwnedJob], configuration: Configuration, pace: ItemPace, *, now: Millis
) -> list[WaitingItem]:
    """Return the items that can be started; what can no longer be on time comes last.

    Args:
        jobs: The owned jobs.
        configuration: The routes.
        pace: How long items run.
        now: The clock's instant, for pauses between the runs of an item.
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
            remaining = pace.remaining(work.last_event)
            urgency = urgency_of(
                age=age, completion_target=target, retention=retention, remaining=remaining
            )
            turn = turn_of(urgency, age=age, completion_target=target, remaining=remaining)
            found.append(
                WaitingItem(
                    job=job,
                    work=work,
                    route=route,
                    urgency=urgency,
                    due=due,
                    turn=turn,
                    wall=wall,
                )
            )
    found.sort(key=lambda each: each.turn)
    return found
