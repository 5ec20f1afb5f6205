"""The software version at which each online stream goes on."""

from __future__ import annotations

import math

from absl import logging

from carobspool_core import Millis
from carobspool_core.direct import UNKNOWN_VERSION, Upstream
from carobspool_node.direct._group_assignment import UpstreamSplit
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._request_endings import RequestEndings
from carobspool_node.direct._request_state import RequestState
from carobspool_node.direct._stream_origins import StreamOrigins
from carobspool_node.direct._telemetry import Telemetry


class StreamVersions:
    """Binds streams to the version of the upstream that brought their first event.

    Args:
        names: Header names of the deployment.
        telemetry: Logs and metrics.
        origins: Remembers where streams began.
        endings: Ends requests.
    """

    def __init__(
        self,
        names: HeaderNames,
        telemetry: Telemetry,
        origins: StreamOrigins,
        endings: RequestEndings,
    ) -> None:
        self._names = names
        self._telemetry = telemetry
        self._origins = origins
        self._endings = endings

    def begin(self, state: RequestState, upstream: Upstream, version: str) -> None:
        """Bind a stream whose first event is about to be forwarded to an upstream's version."""
        state.service = upstream.service
        if state.version is None:
            state.version = version
        if state.route.resumable and state.stream_id:
            self._origins.begin(state.stream_id, upstream, state.version, self._caller_limit(state))

    def complete(self, state: RequestState) -> None:
        """Record that a stream has been forwarded to its end."""
        if state.route.resumable and state.stream_id:
            self._origins.complete(state.stream_id)

    def candidates(self, state: RequestState, split: UpstreamSplit) -> UpstreamSplit:
        """Return the upstreams at which a request may run with regard to their versions."""
        return candidates(self._origins, state, split)

    def take_up(self, state: RequestState) -> bool:
        """Bind a stream that its caller takes up, or refuse it if its version is not certain.

        Returns:
            Whether the stream may go on.
        """
        found = self._origins.find(state.stream_id, state.route)
        origin = found.origin
        goes_on = origin is not None and origin.service in state.route.service_names
        logging.info(
            "event=stream_taken_up request=%s resumes=%s after=%s service=%s version=%s known_by=%s"
            " age_ms=%.0f asked=%d answered=%d confirmed_by=%s evidence_ms=%.0f paused_ms=%.0f"
            " goes_on=%s",
            state.request.request_id,
            state.stream_id,
            (state.request.header(self._names.last_event) or b"").decode("latin-1"),
            "" if origin is None else origin.service,
            "" if origin is None else origin.version,
            found.known_by.value,
            found.age,
            found.asked,
            found.answered,
            found.confirmed_by.value,
            found.evidence_age,
            self._origins.recent_pause(),
            goes_on,
        )
        self._telemetry.count(
            "streams_taken_up", known_by=found.known_by.value, goes_on=str(goes_on).lower()
        )
        if origin is None or not goes_on:
            state.last_failure = "it is not certain at which software version the stream began"
            self._endings.refuse_take_up(state, is_final=not found.may_be_known_elsewhere)
            return False
        state.service, state.version = origin.service, origin.version
        return True

    def _caller_limit(self, state: RequestState) -> Millis:
        """Return until when the caller waits, which the time limit of the route does not bound."""
        limit = state.request.time_limit(self._names.deadline, math.inf)
        if limit == math.inf:
            return state.deadline
        return state.request.arrived + limit

    def record_failure(self, state: RequestState, upstream: Upstream) -> None:
        """Leave the version of a stream uncertain if its upstream may have had another one."""
        if state.streaming and self._origins.is_doubtful(upstream):
            state.version = UNKNOWN_VERSION

    def log_resumed(self, state: RequestState, upstream: Upstream) -> None:
        """Log where a stream goes on within its answer."""
        if not state.streaming:
            return
        logging.info(
            "event=stream_resumed request=%s after=%s from_version=%s to=%s to_version=%s",
            state.request.request_id,
            state.last_event,
            state.version,
            upstream.instance,
            upstream.version,
        )


def candidates(origins: StreamOrigins, state: RequestState, split: UpstreamSplit) -> UpstreamSplit:
    """Return the upstreams at which a request may run with regard to their versions.

    Args:
        origins: Remembers where streams began.
        state: The request.
        split: The upstreams of its service.
    """
    if state.version is None and state.route.resumable:
        return origins.where_streams_begin(split)
    return split.running(state.version)
