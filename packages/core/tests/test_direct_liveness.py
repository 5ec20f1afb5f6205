"""When peers are lost and own jobs in doubt, played through silences and separations."""

from __future__ import annotations

import pytest

from carobspool_core import Millis
from carobspool_core.direct import DEAD_AFTER, DOUBT_TIME, FORGET_AFTER, GONE_AFTER, Liveness

TICK: Millis = 100.0


class _Fleet:
    """One entry that looks at one peer each tick."""

    def __init__(self) -> None:
        self.now: Millis = 0.0
        self.heard: Millis | None = 0.0
        self.liveness = Liveness(self.now)
        self.lost_at: list[Millis] = []
        self.gone_at: list[Millis] = []

    @property
    def doubts(self) -> bool:
        """Whether a proof of this moment may already be too old."""
        return self.liveness.doubt_until >= self.now

    def wait(self, duration: Millis, *, hearing: bool, leaving: bool = False) -> None:
        """Let time pass."""
        until = self.now + duration
        while self.now < until:
            self.now += TICK
            if hearing:
                self.hear()
            self.liveness.look(self.now)
            if self.heard is None:
                continue
            silence = self.now - self.heard
            found = self.liveness.judge("e2#1", silence, leaving=leaving, now=self.now)
            if found.is_lost:
                self.lost_at.append(silence)
            if found.is_gone:
                self.gone_at.append(silence)
            if found.is_forgotten:
                self.heard = None

    def hear(self) -> None:
        """Hear the peer."""
        silence = None if self.heard is None else self.now - self.heard
        self.liveness.heard(silence, self.now)
        self.heard = self.now


@pytest.fixture
def fleet() -> _Fleet:
    """An entry that has heard its peer for so long that it doubts nothing."""
    found = _Fleet()
    found.wait(DOUBT_TIME + TICK, hearing=True)
    assert not found.doubts
    return found


def test_a_silent_peer_is_lost_then_gone_once(fleet: _Fleet) -> None:
    fleet.wait(FORGET_AFTER - TICK, hearing=False)
    assert fleet.lost_at[0] == DEAD_AFTER
    assert fleet.gone_at == [GONE_AFTER]


def test_a_peer_that_comes_back_in_time_is_not_lost(fleet: _Fleet) -> None:
    for _ in range(5):
        fleet.wait(DEAD_AFTER - 2 * TICK, hearing=False)
        fleet.hear()
    assert fleet.lost_at == []
    assert fleet.doubts


def test_a_separation_is_a_doubt_for_as_long_as_it_lasts_and_at_its_end(fleet: _Fleet) -> None:
    for _ in range(20):
        fleet.wait(1_000.0, hearing=False)
        assert fleet.doubts
    fleet.wait(FORGET_AFTER + DOUBT_TIME, hearing=False)
    assert not fleet.doubts
    fleet.hear()
    assert fleet.doubts


def test_a_process_that_stood_still_doubts(fleet: _Fleet) -> None:
    """Others may have taken it for dead; that they are heard again right after says nothing."""
    fleet.now += 10_000.0
    assert fleet.liveness.look(fleet.now) == 10_000.0
    fleet.wait(DOUBT_TIME - TICK, hearing=True)
    assert fleet.doubts


def test_a_peer_that_leaves_is_a_doubt_once(fleet: _Fleet) -> None:
    fleet.wait(800.0, hearing=False, leaving=True)
    assert not fleet.doubts
    fleet.wait(200.0, hearing=False, leaving=True)
    assert fleet.doubts
    fleet.wait(2_000.0, hearing=False, leaving=True)
    assert not fleet.doubts


def test_a_peer_that_does_not_hear_us_is_a_doubt(fleet: _Fleet) -> None:
    fleet.liveness.reported_silent(fleet.now)
    assert fleet.doubts
