"""Bytes without end in an answer, on each call that a direct entry makes."""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest

from carobspool_core import boottime_clock
from carobspool_core.direct import Upstream
from carobspool_node.direct._engine_calls import EngineCalls
from carobspool_node.direct._errors import ConnectionBrokenError, DeadlinePassedError
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._start_check import NoReportError, StartReport, ask_start
from carobspool_node.direct._upstream_calls import UpstreamCall, UpstreamRequest
from carobspool_node.direct._upstream_connections import CallFailedError, UpstreamConnections
from carobspool_node.stream_backups import Reach
from carobspool_standins.endless import (
    ENDLESS_ANSWERS,
    EndlessServer,
    peak_memory_kb,
    reset_peak_memory_kb,
    serve_endless,
)

MAX_MEMORY_KB = 60_000
"""The longest answer that is read as a whole is 16 MiB; it is held twice while it is joined."""
DEADLINE_MS = 3_000.0
SLACK_S = 1.5


def _upstream(server: EndlessServer) -> Upstream:
    return Upstream(
        instance="i-1",
        service="s",
        address=server.address,
        failure_domain="",
        slots=1,
        ready=True,
        started=1,
    )


def _call_upstream(server: EndlessServer) -> bool:
    clock = boottime_clock()
    connections = UpstreamConnections(clock)
    names = HeaderNames(request_id=b"request-id")
    call = UpstreamCall(connections, _upstream(server), names)
    request = UpstreamRequest(
        method=b"GET", target=b"/", headers=[(b"Host", b"h")], body=b"", request_id="r"
    )
    deadline = clock.now() + DEADLINE_MS
    try:
        call.start(request, deadline)
        call.read_body(deadline)
    except (CallFailedError, DeadlinePassedError):
        return False
    finally:
        call.close()
        assert connections.memory.in_use == 0
    return True


def _ask_start(server: EndlessServer) -> bool:
    clock = boottime_clock()
    upstream = _upstream(server)
    report = StartReport(path="/api/report", read_started=lambda body: 1)
    channel = UpstreamConnections(clock).open(upstream)
    try:
        ask_start(channel, upstream, report, HeaderNames(), clock.now() + DEADLINE_MS, None)
    except (NoReportError, DeadlinePassedError, ConnectionBrokenError):
        return False
    finally:
        channel.close()
    return True


def _call_engine(server: EndlessServer) -> bool:
    clock = boottime_clock()
    calls = EngineCalls(clock, HeaderNames())
    upstream = _upstream(server)
    answer = calls.call(upstream, b"POST", b"/move", b"", deadline=clock.now() + DEADLINE_MS)
    return answer.reach is Reach.ANSWERED


def _call_peer(server: EndlessServer) -> bool:
    peer = Peer(name="e2", incarnation="1", address=server.address, last_heard_at=0.0)
    try:
        PeerCaller(boottime_clock()).call(peer, "view", {}, DEADLINE_MS)
    except PeerCallError:
        return False
    return True


CALLS = {
    "upstream": _call_upstream,
    "start": _ask_start,
    "engine": _call_engine,
    "peer": _call_peer,
}


@pytest.mark.parametrize("answer", ENDLESS_ANSWERS.values(), ids=ENDLESS_ANSWERS)
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_a_call_whose_answer_has_no_end_fails_in_time(
    call: Callable[[EndlessServer], bool], answer: tuple[bytes, bytes]
) -> None:
    """Guards against an answer without end that fills the memory or holds its caller."""
    with serve_endless(*answer) as server:
        before = reset_peak_memory_kb()
        begun = time.monotonic()
        assert not call(server)
        assert time.monotonic() - begun < DEADLINE_MS / 1000.0 + SLACK_S
        assert peak_memory_kb() - before < MAX_MEMORY_KB
