"""Serves the metrics of a process as text over HTTP."""

from __future__ import annotations

from carobspool_core import Clock
from carobspool_core.direct import CallerLimits
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._listener import Listener
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.direct._peer_calls import PEER_HEADERS
from carobspool_node.direct._telemetry import Telemetry

PATH = "/metrics"
WORKERS = 4
"""Connections served at once; a collector may keep its connection open between two scrapes."""
_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4")


def serve_metrics(address: tuple[str, int], telemetry: Telemetry, clock: Clock) -> None:
    """Start to serve the metrics; they are served until the process ends."""

    def handle(request: CallerRequest, caller: CallerConnection) -> None:
        if request.path != PATH:
            caller.answer(404, [], b"")
            return
        caller.answer(200, [_CONTENT_TYPE], telemetry.text())

    listener = Listener(
        address,
        workers=WORKERS,
        clock=clock,
        names=PEER_HEADERS,
        limits=CallerLimits,
        handle=handle,
    )
    listener.start()
