"""Calls in progress when their upstream restarts under the same id."""

from __future__ import annotations

import time

from carobspool_core.direct import Upstream
from carobspool_node.direct._open_calls import SILENCE_LIMIT, OpenCall, OpenCalls


class _Clock:
    def __init__(self) -> None:
        self.at = 1_000.0

    def now(self) -> float:
        return self.at


def _upstream(name: str, started: int) -> Upstream:
    return Upstream(
        instance=name,
        service="engine",
        address=("127.0.0.1", 1),
        failure_domain="z",
        slots=8,
        ready=True,
        started=started,
    )


def test_only_silent_calls_to_earlier_starts_are_ended() -> None:
    """One server restarts. Calls to its earlier starts end if they have received nothing, or
    nothing recently; calls to its new start, to a later start and to other servers continue."""
    clock = _Clock()
    calls = OpenCalls(clock)
    silent = OpenCall(_upstream("x", 1))
    fell_silent = OpenCall(_upstream("x", 2), last_received=clock.at - SILENCE_LIMIT)
    others = [OpenCall(_upstream("x", 3)), OpenCall(_upstream("x", 4)), OpenCall(_upstream("y", 1))]
    ended = OpenCall(_upstream("x", 1))
    for call in (silent, fell_silent, ended, *others):
        calls.add(call)
    calls.remove(ended)
    assert calls.end_calls_to_earlier_starts(_upstream("x", 3)) == 2
    assert silent.upstream_restarted
    assert fell_silent.cancellation.cancelled
    assert not any(
        call.upstream_restarted or call.cancellation.cancelled for call in (ended, *others)
    )


def test_a_call_that_still_receives_data_ends_once_it_is_silent() -> None:
    """Events arrived just before the new start was known, so the call may have reached the new
    start. It continues while events arrive and ends when they stop."""
    clock = _Clock()
    calls = OpenCalls(clock)
    call = OpenCall(_upstream("x", 1), last_received=clock.at)
    calls.add(call)
    assert calls.end_calls_to_earlier_starts(_upstream("x", 2)) == 0
    for _ in range(3):
        clock.at += SILENCE_LIMIT / 2
        call.last_received = clock.at
        time.sleep(SILENCE_LIMIT / 2_000.0)
        assert not call.upstream_restarted
    clock.at += SILENCE_LIMIT
    until = time.monotonic() + 5.0
    while not call.upstream_restarted and time.monotonic() < until:
        time.sleep(0.01)
    assert call.cancellation.cancelled
