"""Builds the request to an upstream from a caller's request."""

from __future__ import annotations

from carobspool_core import Millis
from carobspool_core.direct import Upstream
from carobspool_node.direct._messages import HeaderNames, end_to_end_headers, replace_credentials
from carobspool_node.direct._request_state import RequestState
from carobspool_node.direct._upstream_calls import UpstreamRequest

BODILESS = (b"GET", b"HEAD", b"DELETE")


def upstream_request(
    state: RequestState,
    upstream: Upstream,
    names: HeaderNames,
    *,
    now: Millis,
    run_from: bytes | None = None,
) -> UpstreamRequest:
    """Return the request to send to one upstream.

    The headers contain the instance that may run the request, the remaining time, the last event
    that the caller has received, and the engine that receives a copy of the run's memory.

    Args:
        state: The request.
        upstream: The upstream.
        names: Header names of the deployment.
        now: Current time.
        run_from: Names the run that the request continues, ``None`` if it begins.
    """
    request = state.request
    replaced = (names.deadline, names.expect_instance, names.run_backup, names.run_from)
    headers = end_to_end_headers(request.headers, without=(*replaced, b"content-length"))
    time_left = max(1, int(state.deadline - now))
    headers = replace_credentials(headers, names, state.organisation)
    headers.append((names.deadline, str(time_left).encode()))
    headers.append((names.expect_instance, upstream.instance.encode()))
    if state.progress.run is not None:
        headers.append((names.run_backup, state.progress.run.target_address))
    if run_from is not None:
        headers.append((names.run_from, run_from))
    if state.last_event is not None:
        headers = [(key, value) for key, value in headers if key.lower() != names.last_event]
        headers.append((names.last_event, str(state.last_event).encode()))
    if request.body or request.method not in BODILESS:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return UpstreamRequest(
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        request_id=request.request_id,
    )
