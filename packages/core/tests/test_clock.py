"""Tests of the clock type."""

from __future__ import annotations

import pytest

from carobspool_core import ManualClock, monotonic_clock


def test_manual_clock_moves_only_when_advanced() -> None:
    """A manual clock stands still until it is advanced."""
    clock = ManualClock(start=5.0)
    assert clock.now() == 5.0
    clock.advance(2.5)
    assert clock.now() == 7.5


def test_manual_clock_refuses_to_go_back() -> None:
    """A manual clock never goes back."""
    with pytest.raises(ValueError, match="never goes back"):
        ManualClock().advance(-1.0)


def test_monotonic_clock_does_not_go_back() -> None:
    """Two readings of the process clock are in order."""
    clock = monotonic_clock()
    assert clock.now() <= clock.now()
