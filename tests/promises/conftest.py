"""Names the promise of each proof in the test report, for the table of ``make test-promises``."""

from __future__ import annotations

from collections.abc import Callable

import pytest


@pytest.fixture(autouse=True)
def _name_promise(
    request: pytest.FixtureRequest, record_property: Callable[[str, object], None]
) -> None:
    marker = request.node.get_closest_marker("promise")
    assert marker is not None, "each proof names its promise"
    record_property("promise", marker.args[0])
