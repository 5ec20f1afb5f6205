"""Calls that are under way when their upstream starts again under its id."""

from __future__ import annotations

import time

from carobspool_core.direct import Upstream
from carobspool_node.direct._open_calls import SILENCE, OpenCall, OpenCalls


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
    """One server starts again. Calls to it that have heard nothing, or nothing of late, end; calls
    to its new start, to a later one and to other servers go on."""
    clock = _Clock()
    calls = OpenCalls(clock)
    silent = OpenCall(_upstream("x", 1))
    fell_silent = OpenCall(_upstream("x", 2), heard=clock.at - SILENCE)
    others = [OpenCall(_upstream("x", 3)), OpenCall(_upstream("x", 4)), OpenCall(_upstream("y", 1))]
    ended = OpenCall(_upstream("x", 1))
    for call in (silent, fell_silent, ended, *others):
        calls.add(call)
    calls.remove(ended)
    assert calls.end_earlier(_upstream("x", 3)) == 2
    assert silent.outlived
    assert fell_silent.cancellation.cancelled
    assert not any(call.outlived or call.cancellation.cancelled for call in (ended, *others))


def test_a_call_that_is_still_heard_ends_once_it_falls_silent() -> None:
    """Events arrived just before the new start showed: the call may have reached the new start. It
    is left alone while they come, and ended when they stop."""
    clock = _Clock()
    calls = OpenCalls(clock)
    call = OpenCall(_upstream("x", 1), heard=clock.at)
    calls.add(call)
    assert calls.end_earlier(_upstream("x", 2)) == 0
    for _ in range(3):
        clock.at += SILENCE / 2
        call.heard = clock.at
        time.sleep(SILENCE / 2_000.0)
        assert not call.outlived
    clock.at += SILENCE
    until = time.monotonic() + 5.0
    while not call.outlived and time.monotonic() < until:
        time.sleep(0.01)
    assert call.cancellation.cancelled
