"""When a leaving entry gives up its jobs, played through rolling restarts."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from carobspool_core.direct import Successor, lets_jobs_go

STEP = 50.0
SILENT_AFTER = 900.0
DRAIN = 4_500.0
"""How long an entry without jobs serves on after it was told to stop."""
LONGEST = 6_800.0
"""How long one with jobs does."""
START = 1_100.0
"""From an exit to the first hints of the next process."""
HINT = 500.0


def test_jobs_go_at_once_when_another_entry_stays() -> None:
    staying = Successor(silent_for=100.0, leaving=False, store_ok=True)
    assert lets_jobs_go([staying], time_left=6_800.0, silent_after=SILENT_AFTER)


@pytest.mark.parametrize(
    "unfit",
    [
        Successor(silent_for=100.0, leaving=True, store_ok=True),
        Successor(silent_for=1_000.0, leaving=False, store_ok=True),
        Successor(silent_for=100.0, leaving=False, store_ok=False),
    ],
)
def test_jobs_stay_until_shortly_before_the_exit_when_nobody_can_take_them(
    unfit: Successor,
) -> None:
    assert not lets_jobs_go([unfit], time_left=6_800.0, silent_after=SILENT_AFTER)
    assert not lets_jobs_go([], time_left=1_700.0, silent_after=SILENT_AFTER)
    assert lets_jobs_go([unfit], time_left=1_600.0, silent_after=SILENT_AFTER)


@dataclass(slots=True)
class _Entry:
    """One entry of a rolling restart: told to stop, gone, and started again."""

    told: float
    has_jobs: bool = True
    gone_at: float | None = None

    def is_up(self, now: float) -> bool:
        return now < self.told or self.is_back(now)

    def is_back(self, now: float) -> bool:
        return self.gone_at is not None and now >= self.gone_at + START

    def works(self, now: float) -> bool:
        return self.has_jobs and (self.gone_at is None or self.is_back(now))


def _longest_standstill(entries: int, gap: float) -> float:
    """Play a rolling restart; return the longest time in which no entry has the jobs."""
    fleet = [_Entry(told=number * gap) for number in range(entries)]
    standstill = longest = 0.0
    for step in range(int((entries * gap + 15_000.0) / STEP)):
        now = step * STEP
        up = [each for each in fleet if each.is_up(now)]
        released = False
        for each in fleet:
            if each.gone_at is not None or now < each.told:
                continue
            others = [
                Successor(silent_for=0.0, leaving=False, store_ok=True)
                for other in up
                if other is not each
                and (other.gone_at is None or now >= other.gone_at + START + HINT)
            ]
            time_left = each.told + LONGEST - now
            if each.has_jobs and lets_jobs_go(
                others, time_left=time_left, silent_after=SILENT_AFTER
            ):
                each.has_jobs = False
                released = True
            if not each.has_jobs and now >= each.told + DRAIN:
                each.gone_at = now
        if up and not any(each.works(now) for each in fleet):
            # Released jobs are known to all that are up; one of them takes them over.
            up[0].has_jobs = True
        working = released or any(each.works(now) for each in fleet)
        standstill = 0.0 if working else standstill + STEP
        longest = max(longest, standstill)
    return longest


@pytest.mark.parametrize(("entries", "gap"), [(5, 600.0), (4, 600.0), (5, 300.0), (5, 2_000.0)])
def test_work_does_not_stand_still_in_a_rolling_restart(entries: int, gap: float) -> None:
    """All entries are told to stop before the first one is back. Letting go at the signal left the
    jobs without an owner until then: 3.3 to 5.0 s. The last one keeps them until it may not."""
    assert _longest_standstill(entries, gap) <= 500.0
