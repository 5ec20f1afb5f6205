"""The commands of docs/TOUR.md behave as the page shows."""

from __future__ import annotations

from pathlib import Path

from tour import PAGE, tour_site


def test_every_step_of_the_tour(tmp_path: Path) -> None:
    """Each command is on the page, has the expected exit code and prints the expected texts."""
    page = PAGE.read_text(encoding="utf-8")
    with tour_site(tmp_path) as tour:
        for step in tour.steps():
            done = tour.run(step)
            assert done.code == step.code, (done.command, done.output)
            for text in step.expected_texts:
                assert text in done.output, (done.command, done.output)
            assert done.command in page
