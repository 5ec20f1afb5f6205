"""Which job comes next at an entry: weighted fair over organisations, urgent jobs first."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from carobspool_core import (
    Clock,
    DesiredState,
    Dispatcher,
    DispatchJob,
    Job,
    Millis,
    make_dispatcher,
    wall_millis,
)

TIDY_INTERVAL: Millis = 10_000.0
FORGET_AFTER: Millis = 60_000.0
"""A job that had nothing to start for this long has ended, or is added anew when it has."""


def make_job_choice(
    clock: Clock, state: Callable[[], DesiredState]
) -> Callable[[Sequence[Job]], str]:
    """Return the choice among jobs that have an item or a chunk to start.

    Args:
        clock: This process's clock.
        state: Returns the configuration in force, for the organisations' weights.
    """
    choice = _JobChoice(clock, state)
    return choice.choose


class _JobChoice:
    """The jobs that the dispatcher knows; those that are no longer asked about are forgotten."""

    def __init__(self, clock: Clock, state: Callable[[], DesiredState]) -> None:
        self._clock = clock
        self._state = state
        self._dispatcher = make_dispatcher(clock)
        self._asked_at: dict[str, Millis] = {}
        self._offered: set[str] = set()
        self._tidied_at: Millis = clock.now()

    def choose(self, jobs: Sequence[Job]) -> str:
        """Return the id of the job that comes next."""
        now = self._clock.now()
        tidy = now - self._tidied_at > TIDY_INTERVAL
        wanted = {job.id for job in jobs}
        for job in jobs:
            if tidy or job.id not in self._asked_at:
                self._dispatcher.add_job(_share(job, self._state(), self._clock))
            self._asked_at[job.id] = now
            if job.id not in self._offered:
                self._offered.add(job.id)
                self._dispatcher.add_ready_items(job.id, 1)
        if tidy:
            self._tidy(now)
        return _take(self._dispatcher, wanted, self._offered, self._clock) or jobs[0].id

    def _tidy(self, now: Millis) -> None:
        self._tidied_at = now
        ended = [job for job, at in self._asked_at.items() if now - at > FORGET_AFTER]
        for job in ended:
            del self._asked_at[job]
            self._offered.discard(job)
            self._dispatcher.remove_job(job)


def _take(dispatcher: Dispatcher, wanted: set[str], offered: set[str], clock: Clock) -> str | None:
    # An offer of an earlier call may be of a job that has nothing to start any more.
    while True:
        taken = dispatcher.assign_credits(1, clock.now())
        if not taken:
            return None
        offered.discard(taken[0])
        if taken[0] in wanted:
            return taken[0]


def _share(job: Job, state: DesiredState, clock: Clock) -> DispatchJob:
    organisation = state.organisations.get(job.organisation)
    return DispatchJob(
        id=job.id,
        organisation=job.organisation,
        weight=organisation.weight if organisation is not None else 1.0,
        due_at=clock.now() + job.due_at - wall_millis(),
        items_left=max(1, job.items - job.counts.completed - job.counts.failed),
    )
