"""Make calls to other entries over HTTP with CBOR bodies."""

from __future__ import annotations

import uuid
from typing import Any

import cbor2

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream
from carobspool_node.direct._errors import CallCancelledError, DeadlinePassedError
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_messages import decode_cbor
from carobspool_node.direct._upstream_calls import UpstreamCall, UpstreamRequest
from carobspool_node.direct._upstream_connections import CallFailedError, UpstreamConnections

PEER_HEADERS = HeaderNames()
"""Header names of calls between entries, the same in every deployment."""


class PeerCallError(Exception):
    """A call to a peer returned no usable answer."""


class PeerCaller:
    """Makes calls to other entries over persistent connections."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections = UpstreamConnections(clock)

    def call(self, peer: Peer, operation: str, body: Any, timeout: Millis) -> tuple[int, Any]:
        """Return the status and decoded body of a peer's answer.

        Raises:
            PeerCallError: No usable answer arrived; the call may have taken effect.
        """
        request_id = uuid.uuid4().hex
        data = cbor2.dumps(body)
        upstream = Upstream(
            instance=peer.identity,
            service="entry",
            address=peer.address,
            failure_domain="",
            slots=1,
            ready=True,
        )
        request = UpstreamRequest(
            method=b"POST",
            target=b"/" + operation.encode(),
            headers=[
                (b"Host", b"entry"),
                (PEER_HEADERS.request_id, request_id.encode()),
                (b"Content-Length", str(len(data)).encode()),
            ],
            body=data,
            request_id=request_id,
        )
        call = UpstreamCall(self._connections, upstream, PEER_HEADERS)
        deadline = self._clock.now() + timeout
        try:
            head = call.start(request, deadline)
            answer = call.read_body(deadline)
            return head.status, decode_cbor(answer) if answer else None
        except (CallFailedError, DeadlinePassedError, CallCancelledError, ValueError) as error:
            raise PeerCallError(str(error)) from error
        finally:
            call.close()

    def retain_only(self, identities: set[str]) -> None:
        """Close the connections to all peers but ``identities``, and those idle for too long."""
        self._connections.retain_only(identities)
