"""A short seeded run of the soak test with writes that take effect late."""

from __future__ import annotations

from pathlib import Path

from soak import late_writes

SECONDS = 8.0


def test_every_stored_job_is_finished_under_a_random_schedule_of_faults(tmp_path: Path) -> None:
    """Entries are killed, stopped and frozen while the store does writes seconds late and does not
    answer them; jobs come again at the waiting limit; servers send what is no answer, and cut off
    uploads."""
    record = late_writes.play(1, SECONDS, tmp_path)
    assert record.violations == []
    assert record.accepted
    assert record.calls["late jobs"] + record.calls["late progress"] > 5
    assert record.calls["upload cut"] > 10
