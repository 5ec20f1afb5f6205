"""The commands of docs/TOUR.md do what the page shows."""

from __future__ import annotations

from pathlib import Path

from tour import PAGE, tour_site


def test_every_step_of_the_tour(tmp_path: Path) -> None:
    """Each command ends with its exit code and shows what the page says, and stands on the page."""
    page = PAGE.read_text(encoding="utf-8")
    with tour_site(tmp_path) as tour:
        for step in tour.steps():
            done = tour.run(step)
            assert done.code == step.code, (done.command, done.output)
            for text in step.shows:
                assert text in done.output, (done.command, done.output)
            assert done.command in page
