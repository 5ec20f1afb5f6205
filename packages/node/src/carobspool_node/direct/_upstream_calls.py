"""Calls to upstreams over pooled connections, one request at a time on each connection."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import h11
from msgspec import Struct

from carobspool_core import Clock, Millis
from carobspool_core.direct import Upstream
from carobspool_node.direct._channel import CallerWatch, Cancellation, Channel, connect
from carobspool_node.direct._errors import (
    CallCancelledError,
    ConnectionBrokenError,
    DeadlinePassedError,
)
from carobspool_node.direct._messages import HeaderNames, Headers, UpstreamHead, find_header
from carobspool_node.direct._open_calls import OpenCall, OpenCalls
from carobspool_node.direct._start_check import OtherStartError, StartReport, confirm_start

CONNECT_TIMEOUT: Millis = 300.0
"""Connecting takes 1 ms plus a round trip of at most 3 ms; a host without power does not respond.
A lost SYN is retransmitted after a second, so calling another upstream is faster than waiting."""
PROBE_TIMEOUT: Millis = 100.0
"""A host whose process has ended refuses a connection within a round trip."""
START_CHECK_TIMEOUT: Millis = 250.0
"""Longest wait for an upstream's report, which it answers without a slot. Callers give up after two
seconds without an event, so that a stream can go on elsewhere."""
DEFAULT_IDLE_LIMIT: Millis = 1_000.0
"""How long a connection stays in the pool if its upstream sends no keep-alive timeout."""
IDLE_LIMIT_FRACTION = 0.7
"""Fraction of the upstream's keep-alive timeout; the rest covers the next request's transit."""
MAX_IDLE_PER_UPSTREAM = 24
"""Three times the slots of an engine; more connections to one upstream are never in use at once."""
MAX_STRAY_ANSWERS = 4
"""Answers to earlier requests after which a connection counts as broken."""
_UPSTREAM_RESTARTED = "the upstream has started again"


class UpstreamRequest(Struct, frozen=True, kw_only=True):
    """A request as it is sent to an upstream."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str


class CallFailedError(Exception):
    """A call returned no valid answer.

    Attributes:
        sent: Whether the upstream may have run the request.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class UpstreamConnections:
    """Pool of idle connections to upstreams, and the calls in progress.

    Connections are keyed by the upstream's identity, which changes at each start: a late answer
    from an earlier start never matches a request to the new one.

    Args:
        clock: The process's clock.
        start_report: How upstreams are asked when they started, ``None`` if they cannot be asked.
    """

    def __init__(self, clock: Clock, start_report: StartReport | None = None) -> None:
        self._clock = clock
        self._start_report = start_report
        self._lock = threading.Lock()
        self._idle: dict[str, list[Channel]] = {}
        self._calls = OpenCalls(clock)

    @property
    def clock(self) -> Clock:
        """The process's clock."""
        return self._clock

    @property
    def calls(self) -> OpenCalls:
        """The calls in progress."""
        return self._calls

    def acquire(self, upstream: Upstream) -> Channel:
        """Return an idle connection from the pool, or a new one.

        Raises:
            CallFailedError: No connection can be opened; nothing was sent.
        """
        while True:
            with self._lock:
                idle = self._idle.get(upstream.identity)
                channel = idle.pop() if idle else None
            if channel is None:
                return self._open(upstream)
            if self._is_usable(channel):
                return channel
            channel.close()

    def acquire_confirmed(self, upstream: Upstream, names: HeaderNames) -> Channel:
        """Return a connection to the start of an upstream that its registration describes.

        Raises:
            CallFailedError: No connection can be opened, or the upstream has started again or does
                not answer; no request was sent.
        """
        if self._start_report is None or not upstream.started:
            return self.acquire(upstream)
        channel = self._take_confirmed(upstream)
        if channel is not None:
            return channel
        channel = self._open(upstream)
        deadline = self._clock.now() + START_CHECK_TIMEOUT
        try:
            is_reusable = confirm_start(channel, upstream, self._start_report, names, deadline)
        except (OtherStartError, ConnectionBrokenError, DeadlinePassedError) as error:
            channel.close()
            raise CallFailedError(f"start not confirmed: {error}", sent=False) from error
        if is_reusable:
            return channel
        channel.close()
        return self._open(upstream)

    def release(self, upstream: Upstream, channel: Channel) -> None:
        """Return a connection to the pool if it can be reused, else close it."""
        channel.set_cancellation(None)
        reusable = channel.http.our_state is h11.DONE and channel.http.their_state is h11.DONE
        if not reusable or channel.http.trailing_data[0] or channel.has_input():
            channel.close()
            return
        channel.http.start_next_cycle()
        channel.fresh = False
        self._add_idle(upstream, channel)

    def has_ended(self, upstream: Upstream) -> bool:
        """Return whether an upstream refuses connections: no process runs there any more.

        An upstream that does not respond may be cut off and still run. A connection that opens is
        added to the pool.
        """
        try:
            channel = connect(upstream.address, PROBE_TIMEOUT, self._clock)
        except ConnectionBrokenError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        channel.idle_limit = DEFAULT_IDLE_LIMIT
        self._add_idle(upstream, channel)
        return False

    def retain_only(self, identities: set[str]) -> None:
        """Close idle connections to upstreams not in ``identities``, and expired ones."""
        dropped: list[Channel] = []
        with self._lock:
            for identity in list(self._idle):
                if identity not in identities:
                    dropped.extend(self._idle.pop(identity))
                    continue
                idle = self._idle[identity]
                expired = [each for each in idle if not self._is_recent(each)]
                self._idle[identity] = [each for each in idle if each not in expired]
                dropped.extend(expired)
        for channel in dropped:
            channel.close()

    def _add_idle(self, upstream: Upstream, channel: Channel) -> None:
        channel.last_used = self._clock.now()
        with self._lock:
            idle = self._idle.setdefault(upstream.identity, [])
            if len(idle) < MAX_IDLE_PER_UPSTREAM:
                idle.append(channel)
                return
        channel.close()

    def _take_confirmed(self, upstream: Upstream) -> Channel | None:
        """Return an idle connection on which the upstream has confirmed its start, if any."""
        with self._lock:
            idle = self._idle.get(upstream.identity, [])
            for channel in reversed(idle):
                if channel.start_confirmed and self._is_usable(channel):
                    idle.remove(channel)
                    return channel
        return None

    def _open(self, upstream: Upstream) -> Channel:
        try:
            channel = connect(upstream.address, CONNECT_TIMEOUT, self._clock)
        except ConnectionBrokenError as error:
            raise CallFailedError(str(error), sent=False) from error
        return channel

    def _is_recent(self, channel: Channel) -> bool:
        return self._clock.now() - channel.last_used < channel.idle_limit

    def _is_usable(self, channel: Channel) -> bool:
        # Input on an idle connection is either data that belongs to no request or a close.
        return self._is_recent(channel) and not channel.has_input()


class UpstreamCall:
    """One request on one connection.

    Args:
        connections: Pool that provides the connection.
        upstream: The upstream to call.
        names: Header names of the deployment.
        cancellation: Lets another task cancel the call.
        watch: Detects that the caller has disconnected, which ends the call.
    """

    def __init__(
        self,
        connections: UpstreamConnections,
        upstream: Upstream,
        names: HeaderNames,
        *,
        cancellation: Cancellation | None = None,
        watch: CallerWatch | None = None,
    ) -> None:
        self._connections = connections
        self._upstream = upstream
        self._clock = connections.clock
        self._names = names
        self._open_call = OpenCall(upstream, cancellation or Cancellation())
        self._watch = watch
        self._channel: Channel | None = None
        self._complete = False
        self._connection_broken = False

    def start(
        self,
        request: UpstreamRequest,
        deadline: Millis,
        *,
        idle_deadline: Callable[[], Millis] | None = None,
        goes_on: bool = False,
    ) -> UpstreamHead:
        """Send the request and return the head of its answer.

        Args:
            request: The request to send.
            deadline: Time at which the call ends.
            idle_deadline: Returns the time at which the upstream counts as silent. This time
                advances while the upstream answers other requests. ``None`` waits until
                ``deadline``.
            goes_on: Whether the answer goes on after events of another upstream, so that it must
                come from the start of this one that its registration describes.

        Raises:
            CallFailedError: The upstream sent no answer to this request; ``sent`` says whether the
                upstream may have run it.
            DeadlinePassedError: ``deadline`` or the idle deadline has passed; the request may have
                run.
            CallerGoneError: The caller has disconnected; the request may have run.
            CallCancelledError: Another task cancelled the call; the request may have run.
        """
        self._connections.calls.add(self._open_call)
        if goes_on:
            channel = self._connections.acquire_confirmed(self._upstream, self._names)
        else:
            channel = self._connections.acquire(self._upstream)
        self._channel = channel
        if self._open_call.upstream_restarted:
            raise CallFailedError(_UPSTREAM_RESTARTED, sent=False)
        channel.set_cancellation(self._open_call.cancellation)
        try:
            data = _encode(channel.http, request)
            if not channel.send_or_answer(data, deadline, self._watch):
                channel.idle_limit = -1.0
            self._await_answer(channel, deadline, idle_deadline)
            head = self._read_head(channel, request, deadline)
        except ConnectionBrokenError as error:
            self._connection_broken = True
            raise CallFailedError(str(error), sent=True) from error
        except CallCancelledError as error:
            self._raise_if_upstream_restarted(error)
            raise
        self._open_call.last_received = self._clock.now()
        return head

    def body(self, deadline: Millis, *, idle_timeout: Millis | None = None) -> Iterator[bytes]:
        """Yield the pieces of the body as they arrive.

        Args:
            deadline: Time at which the call ends.
            idle_timeout: Longest time without a piece, after which the call counts as failed.

        Raises:
            CallFailedError: The answer ended early, or no piece arrived for ``idle_timeout``.
        """
        channel = self._channel
        assert channel is not None
        while True:
            idle_deadline = deadline if idle_timeout is None else self._clock.now() + idle_timeout
            try:
                event = channel.next_event(min(deadline, idle_deadline), self._watch)
            except ConnectionBrokenError as error:
                self._connection_broken = True
                raise CallFailedError(str(error), sent=True) from error
            except DeadlinePassedError as error:
                if idle_deadline >= deadline:
                    raise
                raise CallFailedError("the stream fell silent", sent=True) from error
            except CallCancelledError as error:
                self._raise_if_upstream_restarted(error)
                raise
            self._open_call.last_received = self._clock.now()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
                continue
            if isinstance(event, h11.EndOfMessage):
                self._complete = True
                return
            raise CallFailedError(f"unexpected {type(event).__name__}", sent=True)

    def read_body(self, deadline: Millis) -> bytes:
        """Return the whole body."""
        return b"".join(self.body(deadline))

    @property
    def upstream_restarted(self) -> bool:
        """Whether the call was ended because its upstream has a later start.

        A call can have reached that start before its registration was known.
        """
        return self._open_call.upstream_restarted

    def upstream_has_ended(self) -> bool:
        """Return whether the call failed because the process that ran it has ended.

        A lost answer breaks one connection as well; only an upstream that accepts no new connection
        has ended. Blocks for `PROBE_TIMEOUT` at most.
        """
        if self._open_call.upstream_restarted:
            return True
        return self._connection_broken and self._connections.has_ended(self._upstream)

    def failed_at(self) -> Millis:
        """Return the latest time at which the upstream can have stopped work on a failed call.

        A restart is noticed only after a silence, so the last data counts then.
        """
        received_at = self._open_call.last_received
        if self._connection_broken or received_at is None:
            return self._clock.now()
        return received_at

    def close(self) -> None:
        """Release the connection to the pool if the answer is complete, else close it."""
        self._connections.calls.remove(self._open_call)
        channel = self._channel
        if channel is None:
            return
        self._channel = None
        if self._complete and channel.idle_limit > 0:
            self._connections.release(self._upstream, channel)
            return
        channel.close()

    def _raise_if_upstream_restarted(self, error: CallCancelledError) -> None:
        if self._open_call.upstream_restarted:
            raise CallFailedError(_UPSTREAM_RESTARTED, sent=True) from error

    def _await_answer(
        self, channel: Channel, deadline: Millis, idle_deadline: Callable[[], Millis] | None
    ) -> None:
        """Wait for the first bytes of the answer until the idle deadline or ``deadline``.

        Without an idle deadline, return at once.

        Raises:
            DeadlinePassedError: One of the deadlines has passed without data.
        """
        if idle_deadline is None:
            return
        while True:
            try:
                channel.wait_for_input(min(deadline, idle_deadline()), self._watch)
                return
            except DeadlinePassedError:
                if min(deadline, idle_deadline()) <= self._clock.now():
                    raise

    def _read_head(
        self, channel: Channel, request: UpstreamRequest, deadline: Millis
    ) -> UpstreamHead:
        for _ in range(MAX_STRAY_ANSWERS):
            event = channel.next_event(deadline, self._watch)
            while isinstance(event, h11.InformationalResponse):
                event = channel.next_event(deadline, self._watch)
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError("closed before an answer")
            headers = list(event.headers)
            echoed = find_header(headers, self._names.request_id)
            if echoed is None and channel.fresh or echoed == request.request_id.encode():
                if channel.idle_limit >= 0:
                    channel.idle_limit = _idle_limit(headers)
                return UpstreamHead(
                    status=event.status_code, headers=headers, reason=bytes(event.reason)
                )
            # This is a late second answer to an earlier request on this connection. Accepting it
            # would give one caller another caller's answer; the answer to this request follows.
            self._skip_answer(channel, request, deadline)
        raise ConnectionBrokenError("only answers to other requests")

    def _skip_answer(self, channel: Channel, request: UpstreamRequest, deadline: Millis) -> None:
        """Discard an answer to an earlier request; keep the data received after that answer."""
        while not isinstance(channel.next_event(deadline, self._watch), h11.EndOfMessage):
            pass
        rest = channel.http.trailing_data[0]
        http = h11.Connection(h11.CLIENT)
        _encode(http, request)
        if rest:
            http.receive_data(rest)
        channel.replace_http(http)
        channel.idle_limit = -1.0


def _encode(http: h11.Connection, request: UpstreamRequest) -> bytes:
    head = http.send(
        h11.Request(method=request.method, target=request.target, headers=request.headers)
    )
    parts = [head or b""]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)) or b"")
    parts.append(http.send(h11.EndOfMessage()) or b"")
    return b"".join(parts)


def _idle_limit(headers: Headers) -> Millis:
    value = find_header(headers, b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_LIMIT
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return int(seconds) * 1000.0 * IDLE_LIMIT_FRACTION
    return DEFAULT_IDLE_LIMIT
