"""Calls to upstreams over pooled connections, one request at a time on each connection."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum, auto

import h11
from absl import logging
from msgspec import Struct

from carobspool_core import Millis
from carobspool_core.direct import UNKNOWN_VERSION, Upstream
from carobspool_node.answers import MAX_ANSWER_BYTES, unacknowledged_bytes
from carobspool_node.direct._channel import (
    MAX_INTERIM_ANSWERS,
    CallerWatch,
    Cancellation,
    Channel,
    encode_request,
)
from carobspool_node.direct._errors import (
    CallCancelledError,
    CallerGoneError,
    ConnectionBrokenError,
    DeadlinePassedError,
)
from carobspool_node.direct._messages import HeaderNames, Headers, UpstreamHead, find_header
from carobspool_node.direct._open_calls import OpenCall
from carobspool_node.direct._start_check import NoReportError, StartReport, ask_start
from carobspool_node.direct._upstream_connections import (
    DEFAULT_IDLE_LIMIT,
    CallFailedError,
    UpstreamConnections,
)

MAX_IDLE_S = 3_600.0
IDLE_LIMIT_FRACTION = 0.7
"""Fraction of the upstream's keep-alive timeout; the rest covers the next request's transit."""
CHECK_TIMEOUT: Millis = 250.0
"""Longest wait for an upstream's report before something goes on there. It is answered without a
slot, and callers give up after two seconds without an event."""
FIRST_CHECK_TIMEOUT: Millis = 900.0
"""The same before something begins there: as long as a stream waits for data. Another upstream need
not be faster, and none has a part of the answer yet."""
MAX_STRAY_ANSWERS = 4
"""Answers to earlier requests after which a connection counts as broken."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Longest answer to an earlier request that is discarded to reach the next one."""
MAX_DISCARD_TIME: Millis = 100.0
"""Longest wait for the rest of an answer that is not used; a new connection costs some ms."""
_UPSTREAM_RESTARTED = "the upstream has started again"


class Joins(Enum):
    """Which events the events of an answer may join.

    Attributes:
        BEFORE: Those that another call has brought before, so that the answer must come from the
            start of the upstream that its registration describes.
        AFTER: Those that another call may bring later.
    """

    BEFORE = auto()
    AFTER = auto()


class UpstreamRequest(Struct, frozen=True, kw_only=True):
    """A request as it is sent to an upstream."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    request_id: str


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
        self._ends_with_connection = False
        self._sent_whole = True
        self._start_confirmed = True

    def start(
        self,
        request: UpstreamRequest,
        deadline: Millis,
        *,
        idle_deadline: Callable[[], Millis] | None = None,
        joins: Joins | None = None,
    ) -> UpstreamHead:
        """Send the request and return the head of its answer.

        Args:
            request: The request to send.
            deadline: Time at which the call ends.
            idle_deadline: Returns the time at which the upstream counts as silent. This time
                advances while the upstream answers other requests. ``None`` waits until
                ``deadline``.
            joins: Which events the answer's events may join, ``None`` if none.

        Raises:
            CallFailedError: The upstream sent no answer to this request; ``sent`` says whether the
                upstream may have run it.
            DeadlinePassedError: ``deadline`` or the idle deadline has passed; the request may have
                run.
            CallerGoneError: The caller has disconnected; the request may have run.
            CallCancelledError: Another task cancelled the call; the request may have run.
        """
        self._connections.calls.add(self._open_call)
        channel = self._acquire(request.request_id, joins, deadline)
        self._channel = channel
        channel.record_request(request.request_id)
        if self._open_call.upstream_restarted:
            raise CallFailedError(_UPSTREAM_RESTARTED, sent=False)
        channel.set_cancellation(self._open_call.cancellation)
        try:
            data = _encode(channel.http, request)
            self._sent_whole = channel.send_or_answer(data, deadline, self._watch)
            if not self._sent_whole:
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
                if self._ends_with_connection and not self._is_request_received(channel):
                    # The server closed the connection with a part of the request unread, which
                    # resets it: the end of the connection is not the end of the answer.
                    self._connection_broken = True
                    raise CallFailedError("closed before the request was sent", sent=True)
                self._complete = True
                self._connection_broken = self._ends_with_connection
                return
            raise CallFailedError(f"unexpected {type(event).__name__}", sent=True)

    def read_body(self, deadline: Millis) -> bytes:
        """Return the whole body.

        Raises:
            CallFailedError: The answer ended early, or is too long.
            DeadlinePassedError: ``deadline`` has passed.
            CallerGoneError: The caller has disconnected.
            CallCancelledError: Another task cancelled the call.
        """
        memory = self._connections.memory
        # Pieces can be a few bytes long, so that a list of them would need ten times the memory.
        body = bytearray()
        try:
            for piece in self.body(deadline):
                size = len(body) + len(piece)
                if size > MAX_ANSWER_BYTES or not memory.reserve(len(piece)):
                    raise CallFailedError(f"an answer of {size} bytes or more", sent=True)
                body += piece
            return bytes(body)
        finally:
            memory.release(len(body))

    def discard_body(self, limit: Millis = MAX_DISCARD_TIME) -> None:
        """Read the rest of an answer whose head says all, so that the connection can be kept.

        A longer body, or one that does not end within ``limit``, is left, and `close` closes the
        connection.
        """
        deadline = self._clock.now() + limit
        size = 0
        try:
            for piece in self.body(deadline):
                size += len(piece)
                if size > MAX_SKIPPED_BYTES:
                    return
        except (CallFailedError, DeadlinePassedError):
            return

    @property
    def ends_with_connection(self) -> bool:
        """Whether the answer has neither a length nor chunks and ends with its connection."""
        return self._ends_with_connection

    @property
    def upstream_restarted(self) -> bool:
        """Whether the call was ended because its upstream has a later start.

        A call can have reached that start before its registration was known.
        """
        return self._open_call.upstream_restarted

    @property
    def version(self) -> str:
        """Software version of the upstream, `UNKNOWN_VERSION` if another start of it answers."""
        return self._upstream.version if self._start_confirmed else UNKNOWN_VERSION

    def cancel(self, reason: str) -> None:
        """End the call from another task; it ends with `CallCancelledError`.

        Args:
            reason: Reason of the cancellation, for the log.
        """
        self._open_call.cancellation.cancel(reason)

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

    def _acquire(self, request_id: str, joins: Joins | None, deadline: Millis) -> Channel:
        """Return a connection; one whose events may join others leads to a start that is known."""
        report = self._connections.start_report
        if joins is None or report is None or not self._upstream.started:
            return self._connections.acquire(self._upstream, request_id)
        channel = self._connections.acquire(self._upstream, request_id, asked=True)
        if channel.start_confirmed is None:
            timeout = CHECK_TIMEOUT if joins is Joins.BEFORE else FIRST_CHECK_TIMEOUT
            deadline = min(deadline, self._clock.now() + timeout)
            channel = self._ask_start(channel, report, deadline)
        self._start_confirmed = channel.start_confirmed is True
        if joins is Joins.BEFORE and not self._start_confirmed:
            channel.close()
            raise CallFailedError("start not confirmed: it has started again", sent=False)
        return channel

    def _ask_start(self, channel: Channel, report: StartReport, deadline: Millis) -> Channel:
        """Ask for the upstream's start on a new connection; return one for the request."""
        upstream = self._upstream
        channel.set_cancellation(self._open_call.cancellation)
        try:
            started = ask_start(channel, upstream, report, self._names, deadline, self._watch)
        except (NoReportError, ConnectionBrokenError, DeadlinePassedError) as error:
            channel.close()
            raise CallFailedError(f"start not confirmed: {error}", sent=False) from error
        except CallCancelledError as error:
            channel.close()
            if self._open_call.upstream_restarted:
                raise CallFailedError(_UPSTREAM_RESTARTED, sent=False) from error
            raise
        except CallerGoneError:
            channel.close()
            raise
        if not channel.start_next_request():
            channel.close()
            channel = self._connections.open(upstream)
        channel.start_confirmed = started in (0, upstream.started)
        if not channel.start_confirmed:
            logging.info(
                "event=other_start upstream=%s registered=%d started=%d",
                upstream.instance,
                upstream.started,
                started,
            )
        return channel

    def _is_request_received(self, channel: Channel) -> bool:
        return self._sent_whole and not unacknowledged_bytes(channel.socket)

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
            interim = 0
            while isinstance(event, h11.InformationalResponse) and interim < MAX_INTERIM_ANSWERS:
                interim += 1
                event = channel.next_event(deadline, self._watch)
            if not isinstance(event, h11.Response):
                raise ConnectionBrokenError("closed before an answer")
            headers = list(event.headers)
            self._ends_with_connection = _ends_with_connection(headers)
            echoed = find_header(headers, self._names.request_id)
            if echoed is None and channel.fresh or echoed == request.request_id.encode():
                if channel.idle_limit >= 0:
                    channel.idle_limit = _idle_limit(headers)
                return UpstreamHead(
                    status=event.status_code, headers=headers, reason=bytes(event.reason)
                )
            # This is a late second answer to an earlier request on this connection. Accepting it
            # would give one caller another caller's answer; the answer to this request follows.
            logging.info(
                "event=second_answer upstream=%s request=%s answers=%s status=%d",
                self._upstream.instance,
                request.request_id,
                (echoed or b"").decode("latin-1"),
                event.status_code,
            )
            self._skip_answer(channel, request, deadline)
        raise ConnectionBrokenError("only answers to other requests")

    def _skip_answer(self, channel: Channel, request: UpstreamRequest, deadline: Millis) -> None:
        """Discard an answer to an earlier request; keep the data received after that answer."""
        skipped = 0
        while not isinstance(event := channel.next_event(deadline, self._watch), h11.EndOfMessage):
            skipped += len(event.data) if isinstance(event, h11.Data) else 0
            if skipped > MAX_SKIPPED_BYTES:
                raise ConnectionBrokenError("an answer without end to another request")
        rest = channel.http.trailing_data[0]
        http = h11.Connection(h11.CLIENT)
        _encode(http, request)
        if rest:
            http.receive_data(rest)
        channel.replace_http(http)
        channel.idle_limit = -1.0


def _encode(http: h11.Connection, request: UpstreamRequest) -> bytes:
    head = h11.Request(method=request.method, target=request.target, headers=request.headers)
    return encode_request(http, head, request.body)


def _ends_with_connection(headers: Headers) -> bool:
    has_length = find_header(headers, b"content-length") is not None
    return not has_length and find_header(headers, b"transfer-encoding") is None


def _idle_limit(headers: Headers) -> Millis:
    value = find_header(headers, b"keep-alive")
    if value is None:
        return DEFAULT_IDLE_LIMIT
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return min(float(seconds), MAX_IDLE_S) * 1000.0 * IDLE_LIMIT_FRACTION
    return DEFAULT_IDLE_LIMIT
