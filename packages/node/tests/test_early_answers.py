"""Answers that come before a long request has been read, and statuses that HTTP does not define."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from returns.result import Success

from carobspool_core import boottime_clock
from carobspool_core.direct import Upstream
from carobspool_node.direct._engine_calls import EngineCalls
from carobspool_node.direct._errors import ConnectionBrokenError
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
from carobspool_standins.early_answers import ENDS, Address, serve_early_answers

LONG = b"x" * 8_000_000
"""More than the send and receive buffers of a connection hold together."""
DEADLINE_MS = 3_000.0


def _upstream(address: Address) -> Upstream:
    return Upstream(
        instance="i",
        service="s",
        address=address,
        failure_domain="",
        slots=1,
        ready=True,
        started=1,
    )


def _call_upstream(address: Address, body: bytes) -> bool:
    clock = boottime_clock()
    names = HeaderNames(request_id=b"request-id")
    call = UpstreamCall(UpstreamConnections(clock), _upstream(address), names)
    request = UpstreamRequest(
        method=b"POST",
        target=b"/",
        headers=[(b"Host", b"h"), (b"Content-Length", b"%d" % len(body))],
        body=body,
        request_id="r",
    )
    deadline = clock.now() + DEADLINE_MS
    try:
        call.start(request, deadline)
        call.read_body(deadline)
    except CallFailedError as error:
        assert error.sent
        return False
    finally:
        call.close()
    return True


def _call_from_sidecar(address: Address, body: bytes) -> bool:
    url = "http://{}:{}/".format(*address)
    call = SidecarCall(method="POST", url=url, headers={}, body=body, timeout=DEADLINE_MS)
    result, _ = call_whole(call)
    assert result.end in (CallEnd.COMPLETE, CallEnd.BROKEN)
    return result.end is CallEnd.COMPLETE


def _write_to_object_store(address: Address, body: bytes) -> bool:
    store = http_object_store("http://{}:{}".format(*address), settle_time=300.0)
    return isinstance(store.create("kind/n", body.decode()), Success)


SIDES = {"upstream": _call_upstream, "sidecar": _call_from_sidecar}
LONG_CALLS = {
    "upstream": _call_upstream,
    "sidecar": _call_from_sidecar,
    "object store": _write_to_object_store,
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("call", LONG_CALLS.values(), ids=LONG_CALLS)
def test_an_answer_cut_during_the_upload_is_not_complete(
    call: Callable[[Address, bytes], bool], end: str
) -> None:
    """Guards against a part of an answer without a length that is taken for the whole one."""
    with serve_early_answers(b"200 OK", end) as address:
        assert not call(address, LONG)


@pytest.mark.parametrize("call", SIDES.values(), ids=SIDES)
@pytest.mark.parametrize("end", ENDS)
def test_an_upload_that_waits_in_the_send_buffer_is_not_sent(
    call: Callable[[Address, bytes], bool], end: str
) -> None:
    """Guards against an answer that is cut during an upload which the system call has accepted."""
    with serve_early_answers(b"200 OK", end) as address:
        assert not call(address, LONG[:2_000_000])


@pytest.mark.parametrize("call", SIDES.values(), ids=SIDES)
def test_an_early_answer_with_a_length_is_whole(call: Callable[[Address, bytes], bool]) -> None:
    """Guards against the loss of an answer, such as a refusal, that shows its own end."""
    with serve_early_answers(b"413 Too Large", "shut down, then reset", length=True) as address:
        assert call(address, LONG)


def _ask_start(address: Address, body: bytes) -> bool:
    clock = boottime_clock()
    upstream = _upstream(address)
    report = StartReport(path="/api/report", read_started=lambda body: 1)
    channel = UpstreamConnections(clock).open(upstream)
    try:
        ask_start(channel, upstream, report, HeaderNames(), clock.now() + DEADLINE_MS, None)
    except (NoReportError, ConnectionBrokenError):
        return False
    finally:
        channel.close()
    return True


def _call_engine(address: Address, body: bytes) -> bool:
    clock = boottime_clock()
    calls = EngineCalls(clock, HeaderNames())
    answer = calls.call(
        _upstream(address), b"POST", b"/move", b"", deadline=clock.now() + DEADLINE_MS
    )
    return answer.reach is Reach.ANSWERED


def _call_peer(address: Address, body: bytes) -> bool:
    peer = Peer(name="e2", incarnation="1", address=address, last_heard_at=0.0)
    try:
        PeerCaller(boottime_clock()).call(peer, "view", {}, DEADLINE_MS)
    except PeerCallError:
        return False
    return True


def _read_object_store(address: Address, body: bytes) -> bool:
    store = http_object_store("http://{}:{}".format(*address))
    return isinstance(store.get("kind/n"), Success)


STATUS_CALLS = {
    "start": _ask_start,
    "engine": _call_engine,
    "peer": _call_peer,
    "object store, read": _read_object_store,
} | LONG_CALLS


@pytest.mark.parametrize("status", ["000", "001", "099", "600", "601", "799", "999"])
@pytest.mark.parametrize("call", STATUS_CALLS.values(), ids=STATUS_CALLS)
def test_a_status_that_http_does_not_define_is_no_answer(
    call: Callable[[Address, bytes], bool], status: str
) -> None:
    """Guards against a server in trouble whose bytes are passed on as an answer."""
    with serve_early_answers(status.encode() + b" X", "closed", length=True) as address:
        assert not call(address, b"x")
