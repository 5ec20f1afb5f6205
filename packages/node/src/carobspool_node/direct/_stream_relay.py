"""Relays the event stream of an upstream to its caller, without a gap or a repeated event."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock, Millis
from carobspool_core.direct import EventSplitter, EventTooLongError, StreamEvent, Upstream
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import Headers, UpstreamHead, end_to_end_headers
from carobspool_node.direct._queued_requests import QueuedRequests
from carobspool_node.direct._request_endings import RequestEndings
from carobspool_node.direct._request_state import RequestState
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._upstream_calls import UpstreamCall
from carobspool_node.direct._upstream_connections import CallFailedError

STREAM_IDLE_TIMEOUT: Millis = 900.0
"""Time without data after which a resumable stream continues at another upstream. Events arrive
every 30 ms; callers give up after two seconds."""


class StreamBrokenError(Exception):
    """An upstream has answered without the rest of an event stream, or skipped an event."""


class StreamRelay:
    """Relays event streams.

    Args:
        clock: The process's clock.
        loads: Requests in flight at each upstream.
        queued: Requests that wait for a slot.
        telemetry: Logs and metrics.
        isolation: Isolates requests that crash upstreams.
        endings: Records the outcome of requests.
        on_first_event: Called with the request, the upstream and its software version before the
            first event is forwarded.
    """

    def __init__(
        self,
        clock: Clock,
        loads: LoadTable,
        queued: QueuedRequests,
        telemetry: Telemetry,
        isolation: CrashIsolation,
        endings: RequestEndings,
        *,
        on_first_event: Callable[[RequestState, Upstream, str], None],
    ) -> None:
        self._clock = clock
        self._loads = loads
        self._queued = queued
        self._telemetry = telemetry
        self._isolation = isolation
        self._endings = endings
        self._on_first_event = on_first_event

    def relay(
        self, state: RequestState, upstream: Upstream, call: UpstreamCall, head: UpstreamHead
    ) -> None:
        """Relay a stream to its end, after the events that the caller has received.

        Raises:
            StreamBrokenError: An event is missing.
            CallFailedError: The stream ended early, or sends bytes that are no events.
            DeadlinePassedError: The deadline of the request has passed.
            CallerGoneError: The caller has disconnected.
        """
        splitter = EventSplitter()
        pauses = self._loads.choice.follow_events(
            upstream, state.forecast, is_resumed=state.streaming
        )
        silence = STREAM_IDLE_TIMEOUT if state.route.resumable else None
        last_event_at = self._clock.now()
        for data in call.body(state.deadline, idle_timeout=silence):
            self._loads.record_activity(upstream)
            pieces = []
            is_gap = False
            for event in _split(splitter, data):
                if state.last_event is not None and event.event_id is not None:
                    if event.event_id <= state.last_event:
                        continue
                    if event.event_id != state.last_event + 1:
                        is_gap = True
                        break
                pieces.append(event.raw)
                if event.event_id is not None:
                    state.last_event = event.event_id
            if not pieces:
                if is_gap:
                    raise StreamBrokenError("an event is missing")
                if silence is not None and self._clock.now() - last_event_at > silence:
                    raise CallFailedError("bytes arrive, but no event", sent=True)
                continue
            last_event_at = self._clock.now()
            if pauses is not None:
                pauses.record(len(pieces))
            if not state.streaming:
                state.streaming = True
                self._on_first_event(state, upstream, call.version)
                state.caller.start_stream(head.status, answer_headers(head), head.reason)
                self._queued.record_first_event(state, upstream.service)
                self._telemetry.observe_duration(
                    "first_event", self._clock.now() - state.request.arrived
                )
            if not state.has_written:
                self._isolation.record_written(state.part_fingerprints)
            state.caller.send_piece(b"".join(pieces))
            state.progress.record_events(self._clock.now())
            if is_gap:
                # The events before the gap count as received, so that they are sent first.
                raise StreamBrokenError("an event is missing")
        if splitter.incomplete:
            raise CallFailedError("the stream ends in the middle of an event", sent=True)
        if call.ends_with_connection and not state.has_written:
            raise CallFailedError("the connection ended before the first event", sent=True)
        if not state.streaming:
            state.streaming = True
            state.caller.start_stream(head.status, answer_headers(head), head.reason)
        state.runs += 1
        self._isolation.record_completion(lambda: (state.fingerprint(),))
        call.close()
        state.caller.finish_stream()
        self._endings.record(state, "streamed", head.status)


def _split(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
    try:
        return splitter.feed(data)
    except EventTooLongError as error:
        raise CallFailedError(str(error), sent=True) from error


def answer_headers(head: UpstreamHead) -> Headers:
    """Return the headers of an upstream's answer that its caller receives."""
    return end_to_end_headers(head.headers, without=(b"content-length",))
