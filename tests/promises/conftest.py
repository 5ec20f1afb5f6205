"""Records the promise of each test in the report, for the table of ``make test-promises``."""

from __future__ import annotations

from collections.abc import Callable

import pytest


@pytest.fixture(autouse=True)
def _record_promise(
    request: pytest.FixtureRequest, record_property: Callable[[str, object], None]
) -> None:
    marker = request.node.get_closest_marker("promise")
    assert marker is not None, "a test in this folder has no promise marker"
    record_property("promise", marker.args[0])
