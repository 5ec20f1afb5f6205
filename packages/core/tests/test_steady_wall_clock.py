"""The time of day of a process whose host's clock jumps."""

from __future__ import annotations

import pytest

from carobspool_core import ManualClock, SteadyWallClock
from carobspool_core._clock import CORRECTION, STEP_LASTS


class _Host:
    def __init__(self) -> None:
        self.clock = ManualClock(5_000.0)
        self.step = 0.0
        self.steady = SteadyWallClock(self.clock, lambda: self.clock.now() + 1e12 + self.step)

    def error(self) -> float:
        """Return how far the steady time is from the time of a clock that never jumped."""
        return self.steady.millis() - (self.clock.now() + 1e12)


@pytest.mark.parametrize("step", [-3_100.0, 3_100.0, -30_000.0])
def test_a_jump_that_is_taken_back_changes_nothing(step: float) -> None:
    """Guards against items that are given up before their retention, since a clock has jumped."""
    host = _Host()
    for _ in range(20):
        host.step = step
        assert host.error() == 0.0
        host.clock.advance(STEP_LASTS / 2)
        assert host.error() == 0.0
        host.step = 0.0
        assert host.error() == 0.0
        host.clock.advance(STEP_LASTS)
        assert host.error() == 0.0


def test_a_step_that_lasts_is_followed() -> None:
    host = _Host()
    host.step = 3_100.0
    assert host.error() == 0.0
    host.clock.advance(STEP_LASTS)
    assert host.error() == 3_100.0


def test_a_clock_that_was_wrong_is_corrected_at_once() -> None:
    host = _Host()
    host.step = CORRECTION
    assert host.error() == CORRECTION
