"""State of one online request while it is forwarded to upstreams."""

from __future__ import annotations

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import Route, RouteKind, part_fingerprint, request_fingerprint
from carobspool_core.upstream_pace import Forecast, PromptDemand, read_shared_parts
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._messages import CallerRequest, HeaderNames
from carobspool_node.direct._peer_messages import MAX_NAME_CHARS
from carobspool_node.stream_backups import StreamProgress

MAX_EVENT_ID_DIGITS = 19
"""Digits of the greatest integer of 64 bits."""


class RequestState(Struct, kw_only=True):
    """State of one request over all calls made for it.

    Attributes:
        request: The request as the caller sent it.
        stream_id: Request id of the caller's attempt that brought the first event of the stream;
            that of the request itself unless it takes a stream up.
        takes_up: Whether the caller takes up a stream that an earlier attempt began.
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
        last_event: Id of the last event that the caller has received, in this answer or before it.
        streaming: Whether the head of a streamed answer was sent to the caller.
        service: Service of the upstream that brought the stream's first event; empty before that
            event is known.
        version: Software version at which the stream must go on: that of the upstream that brought
            its first event. ``None`` before that event is known.
        is_retry: Whether the caller has retried the request after a refusal.
        last_failure: Why the last call failed.
        demand: Tokens and prompt parts that the request states, ``None`` if it states none.
        forecast: What is expected of the current call, ``None`` if slots alone decide.
        names: Header names of the deployment.
        known_fingerprint: The fingerprint, once it was computed.
        known_parts: Fingerprints of the prompt's shared parts, once they were computed.
        is_refunded: Whether the token of the organisation's limit was returned.
        placed_at: When the request was last placed at an upstream.
        progress: Events and copy of the current run of a stream.
    """

    request: CallerRequest
    route: Route
    caller: CallerConnection
    deadline: Millis
    stream_id: str = ""
    takes_up: bool = False
    organisation: str | None = None
    tried: set[str] = field(default_factory=set)
    upstream_loads: list[str] = field(default_factory=list)
    runs: int = 0
    turned_away: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    streaming: bool = False
    service: str = ""
    version: str | None = None
    is_retry: bool = False
    last_failure: str = ""
    demand: PromptDemand | None = None
    forecast: Forecast | None = None
    names: HeaderNames = field(default_factory=HeaderNames)
    known_fingerprint: str = ""
    known_parts: tuple[str, ...] | None = None
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

    def shared_parts(self) -> tuple[str, ...]:
        """Return the ids of the parts of the prompt that other requests may share."""
        return read_shared_parts(self.request.header(self.names.prompt_parts))

    def part_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the shared parts of the prompt."""
        if self.known_parts is None:
            model = self.request.header(self.names.model) or b""
            self.known_parts = tuple(part_fingerprint(model, each) for each in self.shared_parts())
        return self.known_parts

    def fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the request and of the shared parts of its prompt."""
        return (self.fingerprint(), *self.part_fingerprints())

    @property
    def has_written(self) -> bool:
        """Whether the upstream of the current call has sent an event."""
        return self.progress.first_event_at is not None


def takes_stream_up(request: CallerRequest, route: Route, names: HeaderNames) -> bool:
    """Return whether a caller takes up a stream of which it has received events."""
    if route.kind is not RouteKind.STREAM:
        return False
    after = request.header(names.last_event)
    return request.header(names.resumes) is not None or after not in (None, b"0")


def last_event_of(request: CallerRequest, route: Route, names: HeaderNames) -> int | None:
    """Return the id of the event after which a caller resumes a stream, ``None`` if it does not."""
    after = request.header(names.last_event)
    if not route.resumable or after is None or len(after) > MAX_EVENT_ID_DIGITS:
        return None
    return int(after) if after.isdigit() else None


def stream_id_of(request: CallerRequest, names: HeaderNames, *, takes_up: bool) -> str:
    """Return the id of a request's stream, empty if other entries cannot be told or asked of it.

    That is so if the caller takes a stream up without naming it, and for ids longer than entries
    send.
    """
    stream_id = request.request_id
    if takes_up:
        stream_id = (request.header(names.resumes) or b"").decode("latin-1")
    return stream_id if len(stream_id) <= MAX_NAME_CHARS else ""
