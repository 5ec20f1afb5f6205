"""When an entry that shuts down releases its jobs, simulated for rolling restarts."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from carobspool_core.direct import HandoverCandidate, should_release_jobs

STEP = 50.0
SILENT_AFTER = 900.0
EXIT_WITHOUT_JOBS_AFTER = 4_500.0
"""Time from the stop signal to the exit of an entry without jobs."""
EXIT_AFTER = 6_800.0
"""Time from the stop signal to the exit of an entry that keeps its jobs."""
RESTART_TIME = 1_100.0
"""Time from an exit to the first hints of the next process."""
FIRST_HINT_DELAY = 500.0


def test_jobs_are_released_at_once_if_another_entry_stays_up() -> None:
    staying = HandoverCandidate(since_last_hint=100.0, leaving=False, store_ok=True)
    assert should_release_jobs([staying], time_left=6_800.0, silent_after=SILENT_AFTER)


@pytest.mark.parametrize(
    "unfit",
    [
        HandoverCandidate(since_last_hint=100.0, leaving=True, store_ok=True),
        HandoverCandidate(since_last_hint=1_000.0, leaving=False, store_ok=True),
        HandoverCandidate(since_last_hint=100.0, leaving=False, store_ok=False),
    ],
)
def test_jobs_are_kept_until_shortly_before_the_exit_if_no_entry_can_take_them_over(
    unfit: HandoverCandidate,
) -> None:
    assert not should_release_jobs([unfit], time_left=6_800.0, silent_after=SILENT_AFTER)
    assert not should_release_jobs([], time_left=1_700.0, silent_after=SILENT_AFTER)
    assert should_release_jobs([unfit], time_left=1_600.0, silent_after=SILENT_AFTER)


@dataclass(slots=True)
class _Entry:
    """An entry in a rolling restart, which is stopped, exits and starts again."""

    stopped_at: float
    has_jobs: bool = True
    exited_at: float | None = None

    def accepts_jobs(self, now: float) -> bool:
        return now < self.stopped_at or self.is_back(now)

    def is_back(self, now: float) -> bool:
        return self.exited_at is not None and now >= self.exited_at + RESTART_TIME

    def runs_jobs(self, now: float) -> bool:
        return self.has_jobs and (self.exited_at is None or self.is_back(now))


def _longest_time_without_owner(entries: int, gap: float) -> float:
    """Simulate a rolling restart; return the longest time during which no entry owns the jobs."""
    fleet = [_Entry(stopped_at=number * gap) for number in range(entries)]
    without_owner = longest = 0.0
    for step in range(int((entries * gap + 15_000.0) / STEP)):
        now = step * STEP
        up = [each for each in fleet if each.accepts_jobs(now)]
        released = False
        for each in fleet:
            if each.exited_at is not None or now < each.stopped_at:
                continue
            others = [
                HandoverCandidate(since_last_hint=0.0, leaving=False, store_ok=True)
                for other in up
                if other is not each
                and (
                    other.exited_at is None
                    or now >= other.exited_at + RESTART_TIME + FIRST_HINT_DELAY
                )
            ]
            time_left = each.stopped_at + EXIT_AFTER - now
            if each.has_jobs and should_release_jobs(
                others, time_left=time_left, silent_after=SILENT_AFTER
            ):
                each.has_jobs = False
                released = True
            if not each.has_jobs and now >= each.stopped_at + EXIT_WITHOUT_JOBS_AFTER:
                each.exited_at = now
        if up and not any(each.runs_jobs(now) for each in fleet):
            # All entries that are up know of released jobs, and one of them takes the jobs over.
            up[0].has_jobs = True
        has_owner = released or any(each.runs_jobs(now) for each in fleet)
        without_owner = 0.0 if has_owner else without_owner + STEP
        longest = max(longest, without_owner)
    return longest


@pytest.mark.parametrize(("entries", "gap"), [(5, 600.0), (4, 600.0), (5, 300.0), (5, 2_000.0)])
def test_jobs_always_have_an_owner_during_a_rolling_restart(entries: int, gap: float) -> None:
    """All entries receive the stop signal before the first one is back. Releasing the jobs at the
    signal left them without an owner for 3.3 to 5.0 s. The last entry must keep them for as long as
    it may."""
    assert _longest_time_without_owner(entries, gap) <= 500.0
