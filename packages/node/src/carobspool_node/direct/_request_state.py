"""State of one online request while it is forwarded to upstreams."""

from __future__ import annotations

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import Route, request_fingerprint
from carobspool_core.upstream_pace import Forecast, PromptDemand
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.stream_backups import StreamProgress


class RequestState(Struct, kw_only=True):
    """State of one request over all calls made for it.

    Attributes:
        request: The request as the caller sent it.
        route: The route that matches the request.
        caller: The caller's connection.
        deadline: Time by which the caller must have its answer.
        organisation: Name of the caller's organisation; empty if the caller has none, ``None`` if
            the operator declares no organisations.
        tried: Identities of the upstreams that were chosen for the request.
        upstream_loads: Ids of these upstreams with the number of requests in flight at each, for
            the log.
        runs: Number of upstreams that ran the request or may have run it.
        turned_away: Number of upstreams that did not run the request.
        may_have_run: Whether the request was sent to an upstream that did not reject it.
        last_event: Id of the last event that was forwarded to the caller.
        streaming: Whether the head of a streamed answer was sent to the caller.
        version: Software version at which the stream must go on: that of the upstream that brought
            its first event. ``None`` before that event.
        is_retry: Whether the caller has retried the request after a refusal.
        last_failure: Why the last call failed.
        demand: Tokens and prompt parts that the request states, ``None`` if it states none.
        forecast: What is expected of the current call, ``None`` if slots alone decide.
        known_fingerprint: The fingerprint, once it was computed.
        is_refunded: Whether the token of the organisation's limit was returned.
        placed_at: When the request was last placed at an upstream.
        progress: Events and copy of the current run of a stream.
    """

    request: CallerRequest
    route: Route
    caller: CallerConnection
    deadline: Millis
    organisation: str | None = None
    tried: set[str] = field(default_factory=set)
    upstream_loads: list[str] = field(default_factory=list)
    runs: int = 0
    turned_away: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    streaming: bool = False
    version: str | None = None
    is_retry: bool = False
    last_failure: str = ""
    demand: PromptDemand | None = None
    forecast: Forecast | None = None
    known_fingerprint: str = ""
    is_refunded: bool = False
    placed_at: Millis = 0.0
    progress: StreamProgress = field(default_factory=StreamProgress)

    def fingerprint(self) -> str:
        """Return the fingerprint by which the request is recognised if it is sent again."""
        if not self.known_fingerprint:
            request = self.request
            self.known_fingerprint = request_fingerprint(
                organisation=self.organisation,
                method=request.method,
                host=request.host,
                target=request.target,
                body=request.body,
            )
        return self.known_fingerprint
