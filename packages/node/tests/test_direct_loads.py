"""What an entry believes of its upstreams, and what it says about that."""

from __future__ import annotations

import logging

import pytest

from carobspool_core.direct import Upstream
from carobspool_node.direct._loads import LoadTable


class _Clock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


def _upstream(name: str) -> Upstream:
    return Upstream(
        instance=name,
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
    )


def test_an_upstream_that_failed_elsewhere_is_avoided_and_the_log_says_so(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Two other entries met a failure each at one of two upstreams. Requests go to the other one
    until the failures are old, and the log tells of both turns, once."""
    clock = _Clock()
    table = LoadTable(clock, "z", name="e1")
    upstreams = [_upstream("bad"), _upstream("good")]
    with caplog.at_level(logging.INFO, logger="absl"):
        for peer in ("e2", "e3"):
            table.take_hint(peer, {}, upstreams, {})
            table.take_hint(peer, {}, upstreams, {"bad": 1})
            table.take_hint(peer, {}, upstreams, {"bad": 1})
        for _ in range(6):
            placed = table.place_online(upstreams, target_latency=300.0, returned=False)
            assert placed is not None
            assert placed.upstream.instance == "good"
        clock.at = 2_500.0
        table.forget({"bad", "good"})
    told = [record.getMessage() for record in caplog.records]
    assert [line.split()[0] for line in told] == [
        "event=upstream_avoided",
        "event=upstream_used_again",
    ]
    assert all("upstream=bad" in line for line in told)
