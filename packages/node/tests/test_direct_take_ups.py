"""Streams that callers take up at entries in touch, and that could go on."""

from __future__ import annotations

import pytest
from msgspec.structs import replace
from test_direct_stream_origins import ROUTE, V1, _Fleet

from carobspool_core.direct import WeightedService
from carobspool_core.stream_versions import StreamOrigin
from carobspool_node.direct import _stream_origins
from carobspool_node.direct._stream_origins import MAX_POLLED_SERVICES

_AMPLE = 30_000.0
"""Longest wait for answers where no test measures it."""


def test_a_stream_goes_on_where_an_entry_remembers_more_versions_than_the_record() -> None:
    """Guards against an entry that has started after a version went, and counts it longer than the
    record does: the others tell nobody of their streams any more."""
    fleet = _Fleet("v0", "v1")
    fleet.record = frozenset({("s", "v1")})
    assert fleet.origins.find("a", ROUTE).origin == V1


def test_services_beyond_the_first_hundred_are_polled_as_well(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against services whose take-ups are refused since others were asked for before."""
    # Otherwise a pause of the test process of 300 ms makes a take-up fail, as it should.
    for name in ("ASK_TIMEOUT", "POLL_TIMEOUT", "RECORD_TIMEOUT"):
        monkeypatch.setattr(_stream_origins, name, _AMPLE)
    fleet = _Fleet("v1")
    fleet.is_record_readable = False
    for number in range(MAX_POLLED_SERVICES + 1):
        service = f"s{number}"
        route = replace(ROUTE, services=(WeightedService(service=service, weight=1.0),))
        found = fleet.origins.find(f"id{number}", route)
        assert found.origin == StreamOrigin(service=service, version="v1"), number
