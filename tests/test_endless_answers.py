"""Bytes without end in an answer, on each call that an entry or a sidecar makes."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import pytest
from returns.pipeline import is_successful

from carobspool_core import boottime_clock
from carobspool_core.direct import Upstream
from carobspool_node.direct._engine_calls import EngineCalls
from carobspool_node.direct._errors import DeadlinePassedError
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._start_check import NoReportError, StartReport, ask_start
from carobspool_node.direct._upstream_calls import UpstreamCall, UpstreamRequest
from carobspool_node.direct._upstream_connections import CallFailedError, UpstreamConnections
from carobspool_node.store import http_object_store
from carobspool_node.stream_backups import Reach
from carobspool_node.upstreams import CallEnd, call_whole
from carobspool_node.upstreams import UpstreamCall as SidecarCall
from carobspool_platform._store import PlatformStore
from carobspool_standins.endless import EndlessServer, serve_endless

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\ncarobspool-request: r\r\n"
ANSWERS = {
    "no HTTP": (b"", b"x"),
    "no HTTP, lines": (b"", b"x\r\n"),
    "header": (HEAD + b"a: ", b"x"),
    "headers": (HEAD, b"a: b\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"4\r\nxxxx\r\n"),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
    "chunk extension": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n4;", b"x"),
    "trailer": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
    "body": (HEAD + b"\r\n", b"x"),
    "long body": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x"),
}
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
    except (NoReportError, DeadlinePassedError, ConnectionError):
        return False
    except Exception as error:  # noqa: BLE001
        return type(error).__name__ != "ConnectionBrokenError"
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


def _url(server: EndlessServer) -> str:
    return "{}:{}".format(*server.address)


def _call_platform_store(server: EndlessServer) -> bool:
    return is_successful(PlatformStore(_url(server), boottime_clock()).get("kind/name"))


def _call_object_store(server: EndlessServer) -> bool:
    return is_successful(http_object_store(f"http://{_url(server)}").get("kind/name"))


def _call_from_sidecar(server: EndlessServer) -> bool:
    call = SidecarCall(method="GET", url=f"http://{_url(server)}/", headers={}, timeout=DEADLINE_MS)
    result, _ = call_whole(call)
    return result.end is CallEnd.COMPLETE


def _reset_peak_memory_kb() -> int:
    """Let the peak count from now, and return it."""
    Path("/proc/self/clear_refs").write_text("5")
    return _peak_memory_kb()


def _peak_memory_kb() -> int:
    status = Path("/proc/self/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


CALLS = {
    "upstream": _call_upstream,
    "start": _ask_start,
    "engine": _call_engine,
    "peer": _call_peer,
    "store": _call_platform_store,
    "object store": _call_object_store,
    "sidecar": _call_from_sidecar,
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_a_call_whose_answer_has_no_end_fails_in_time(
    call: Callable[[EndlessServer], bool], answer: tuple[bytes, bytes]
) -> None:
    """Guards against an answer without end that fills the memory or holds its caller."""
    with serve_endless(*answer) as server:
        before = _reset_peak_memory_kb()
        begun = time.monotonic()
        assert not call(server)
        assert time.monotonic() - begun < DEADLINE_MS / 1000.0 + SLACK_S
        assert _peak_memory_kb() - before < MAX_MEMORY_KB
