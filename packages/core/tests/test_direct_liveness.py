"""Detection of lost peers and doubtful job ownership, simulated for silences and partitions."""

from __future__ import annotations

import pytest

from carobspool_core import Millis
from carobspool_core.direct import DEAD_AFTER, DOUBT_TIME, FORGET_AFTER, GONE_AFTER, Liveness

TICK: Millis = 100.0


class _Fleet:
    """An entry that evaluates one peer at each tick."""

    def __init__(self) -> None:
        self.now: Millis = 0.0
        self.heard: Millis | None = 0.0
        self.liveness = Liveness(self.now)
        self.lost_at: list[Millis] = []
        self.gone_at: list[Millis] = []

    @property
    def has_doubt(self) -> bool:
        """Whether a proof of ownership obtained now may already be outdated."""
        return self.liveness.doubt_until >= self.now

    def wait(self, duration: Millis, *, hearing: bool, leaving: bool = False) -> None:
        """Advance the time tick by tick."""
        until = self.now + duration
        while self.now < until:
            self.now += TICK
            if hearing:
                self.hear()
            self.liveness.look(self.now)
            if self.heard is None:
                continue
            silence = self.now - self.heard
            state = self.liveness.judge("e2#1", silence, leaving=leaving, now=self.now)
            if state.is_lost:
                self.lost_at.append(silence)
            if state.is_gone:
                self.gone_at.append(silence)
            if state.is_forgotten:
                self.heard = None

    def hear(self) -> None:
        """Receive a hint of the peer."""
        silence = None if self.heard is None else self.now - self.heard
        self.liveness.heard(silence, self.now)
        self.heard = self.now


@pytest.fixture
def fleet() -> _Fleet:
    """An entry that has received hints of its peer for longer than the initial doubt lasts."""
    entry = _Fleet()
    entry.wait(DOUBT_TIME + TICK, hearing=True)
    assert not entry.has_doubt
    return entry


def test_silent_peer_is_lost_and_then_reported_gone_once(fleet: _Fleet) -> None:
    fleet.wait(FORGET_AFTER - TICK, hearing=False)
    assert fleet.lost_at[0] == DEAD_AFTER
    assert fleet.gone_at == [GONE_AFTER]


def test_peer_that_returns_in_time_is_not_lost(fleet: _Fleet) -> None:
    for _ in range(5):
        fleet.wait(DEAD_AFTER - 2 * TICK, hearing=False)
        fleet.hear()
    assert fleet.lost_at == []
    assert fleet.has_doubt


def test_ownership_is_in_doubt_during_a_partition_and_at_its_end(fleet: _Fleet) -> None:
    for _ in range(20):
        fleet.wait(1_000.0, hearing=False)
        assert fleet.has_doubt
    fleet.wait(FORGET_AFTER + DOUBT_TIME, hearing=False)
    assert not fleet.has_doubt
    fleet.hear()
    assert fleet.has_doubt


def test_ownership_is_in_doubt_after_a_suspension(fleet: _Fleet) -> None:
    """Others may have declared the suspended process dead; receiving their hints again right
    afterwards does not rule that out."""
    fleet.now += 10_000.0
    assert fleet.liveness.look(fleet.now) == 10_000.0
    fleet.wait(DOUBT_TIME - TICK, hearing=True)
    assert fleet.has_doubt


def test_shutdown_of_a_peer_causes_doubt_once(fleet: _Fleet) -> None:
    fleet.wait(800.0, hearing=False, leaving=True)
    assert not fleet.has_doubt
    fleet.wait(200.0, hearing=False, leaving=True)
    assert fleet.has_doubt
    fleet.wait(2_000.0, hearing=False, leaving=True)
    assert not fleet.has_doubt


def test_report_of_silence_causes_doubt(fleet: _Fleet) -> None:
    fleet.liveness.reported_silent(fleet.now)
    assert fleet.has_doubt
