"""One request to an upstream that answers late."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from carobspool_core import Millis, monotonic_clock
from carobspool_core.direct import Upstream
from carobspool_node.direct._errors import DeadlinePassedError
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._upstream_calls import (
    UpstreamCall,
    UpstreamConnections,
    UpstreamRequest,
)

NAMES = HeaderNames(**{each: b"x-" + each.encode() for each in HeaderNames.__struct_fields__})
ANSWER_AFTER_S = 0.4


@pytest.fixture
def upstream() -> Iterator[Upstream]:
    """A server that accepts one request and answers it after `ANSWER_AFTER_S`."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                time.sleep(ANSWER_AFTER_S)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                connection.recv(65_536)

        threading.Thread(target=serve, daemon=True).start()
        yield Upstream(
            instance="u",
            service="engine",
            address=listener.getsockname(),
            failure_domain="a",
            slots=8,
            ready=True,
        )


@pytest.mark.parametrize("busy", [False, True])
def test_a_call_ends_when_its_upstream_falls_silent(upstream: Upstream, busy: bool) -> None:
    """The answer arrives after 400 ms. The upstream counts as silent after 100 ms without sending a
    byte to any caller. A busy upstream still sends data to other callers, so the call waits."""
    clock = monotonic_clock()
    started = clock.now()

    def idle_deadline() -> Millis:
        return (clock.now() if busy else started) + 100.0

    call = UpstreamCall(UpstreamConnections(clock), upstream, NAMES)
    request = UpstreamRequest(
        method=b"POST", target=b"/", headers=[(b"Host", b"h")], body=b"", request_id="r"
    )
    try:
        if not busy:
            with pytest.raises(DeadlinePassedError):
                call.start(request, started + 5_000.0, idle_deadline=idle_deadline)
            return
        assert call.start(request, started + 5_000.0, idle_deadline=idle_deadline).status == 200
    finally:
        call.close()
