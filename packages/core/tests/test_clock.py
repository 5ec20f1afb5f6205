"""Tests of the clock type."""

from __future__ import annotations

import pytest

from carobspool_core import ManualClock, monotonic_clock


def test_manual_clock_moves_only_when_advanced() -> None:
    """A manual clock keeps its time until it is advanced."""
    clock = ManualClock(start=5.0)
    assert clock.now() == 5.0
    clock.advance(2.5)
    assert clock.now() == 7.5


def test_manual_clock_rejects_negative_steps() -> None:
    """A manual clock can't be moved backwards."""
    with pytest.raises(ValueError, match="never goes back"):
        ManualClock().advance(-1.0)


def test_monotonic_clock_does_not_go_back() -> None:
    """Two successive reads of the process clock never decrease."""
    clock = monotonic_clock()
    assert clock.now() <= clock.now()
