"""A short seeded part of the soak, and every seed that ever showed a fault."""

from __future__ import annotations

from pathlib import Path

import pytest
from soak import organisations
from soak.soak import play

SECONDS = 8.0


@pytest.mark.parametrize(
    "seed",
    [
        1,
        2,
        910002,  # an entry served on after SIGTERM; the lock of its handler fits, see test_signals
        920019,  # the end of a job was told as not done (503) and came into force later
    ],
)
def test_promises_hold_under_a_random_schedule_of_faults(seed: int, tmp_path: Path) -> None:
    """Entries are killed, stopped, frozen and restarted, the store refuses, loses answers and goes
    deaf, servers break off, come and go and start again under their id, all at times drawn from the
    seed."""
    record = play(seed, SECONDS, tmp_path)
    assert record.violations == []
    assert record.accepted
    assert record.calls["safe 200"] > 10


def test_keys_and_limits_hold_under_a_random_schedule_of_faults(tmp_path: Path) -> None:
    """Each caller shows a key; one organisation sends many times what it may, at every entry, and
    keys are taken away, while entries are killed, stopped, frozen and restarted."""
    record = organisations.play(1, SECONDS, tmp_path)
    assert record.violations == []
    assert record.accepted
    assert record.calls["hot run"] > 50
    assert record.calls["hot refused"] > 50
