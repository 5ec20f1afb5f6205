"""Which job comes next at an entry: weighted fair over organisations, urgent jobs first."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from carobspool_core import (
    Clock,
    DesiredState,
    Dispatcher,
    Job,
    JobShare,
    make_dispatcher,
    wall_millis,
)


def make_job_choice(
    clock: Clock, state: Callable[[], DesiredState]
) -> Callable[[Sequence[Job]], str]:
    """Return the choice among jobs that have an item or a chunk to start.

    Args:
        clock: This process's clock.
        state: Returns the configuration in force, for the organisations' weights.
    """
    dispatcher = make_dispatcher(clock)
    known: set[str] = set()
    offered: set[str] = set()

    def choose(jobs: Sequence[Job]) -> str:
        wanted = {job.id for job in jobs}
        for job in jobs:
            if job.id not in known:
                known.add(job.id)
                dispatcher.add_job(_share(job, state(), clock))
            if job.id not in offered:
                offered.add(job.id)
                dispatcher.offer(job.id, 1)
        return _take(dispatcher, wanted, offered, clock) or jobs[0].id

    return choose


def _take(dispatcher: Dispatcher, wanted: set[str], offered: set[str], clock: Clock) -> str | None:
    # An offer of an earlier call may be of a job that has nothing to start any more.
    while True:
        taken = dispatcher.take(1, clock.now())
        if not taken:
            return None
        offered.discard(taken[0])
        if taken[0] in wanted:
            return taken[0]


def _share(job: Job, state: DesiredState, clock: Clock) -> JobShare:
    organisation = state.organisations.get(job.organisation)
    return JobShare(
        id=job.id,
        organisation=job.organisation,
        weight=organisation.weight if organisation is not None else 1.0,
        due=clock.now() + job.due_at - wall_millis(),
        items_left=job.items,
    )
