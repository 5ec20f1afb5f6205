"""What tests of the node share."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from _job_fleet import Fleet


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """A fleet that is stopped at the end."""
    made = Fleet()
    yield made
    made.stop()
