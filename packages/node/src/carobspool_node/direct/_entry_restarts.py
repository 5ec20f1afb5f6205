"""What an entry does when an upstream has started again under its id."""

from __future__ import annotations

from collections.abc import Callable

from absl import logging

from carobspool_core.direct import Upstream
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._upstream_connections import UpstreamConnections


def restart_handler(
    connections: UpstreamConnections,
    loads: LoadTable,
    telemetry: Telemetry,
    *,
    doubt_streams: Callable[[Upstream], None],
) -> Callable[[Upstream], None]:
    """Return the function that handles the new start of an upstream.

    Args:
        connections: Ends the calls to earlier starts.
        loads: Clears the failures of the upstream and reports its free slots.
        telemetry: Counts restarts.
        doubt_streams: Called with the upstream, at which streams may have begun before its
            registration was known.
    """

    def handle(upstream: Upstream) -> None:
        ended = connections.calls.end_calls_to_earlier_starts(upstream)
        logging.info(
            "event=upstream_restarted upstream=%s started=%d service=%s calls_ended=%d",
            upstream.instance,
            upstream.started,
            upstream.service,
            ended,
        )
        telemetry.count("upstream_restarts", service=upstream.service)
        loads.record_restart(upstream)
        doubt_streams(upstream)

    return handle
