"""Forwarding of online requests: attempts, and what the caller is told at the end.

A caller is told 503 only when no upstream has run its request. Once a request was sent and nothing
is known of it, the answer is 502, or 504 at the time limit; only what may be repeated is tried
again.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    LEAVING_RETRY_AFTER,
    EventSplitter,
    Route,
    RouteKind,
    Upstream,
    can_end,
    given_up_at,
    has_returned,
    has_time_to_serve,
)
from carobspool_node.direct._attempt import Attempt
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._errors import (
    CallerGoneError,
    DeadlinePassedError,
    RunCancelledError,
)
from carobspool_node.direct._forwarded_request import upstream_request
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import (
    CallerRequest,
    HeaderNames,
    Headers,
    UpstreamHead,
    end_to_end,
)
from carobspool_node.direct._neighbourhood import Reach
from carobspool_node.direct._request_endings import RequestEndings
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._upstream_calls import (
    CallFailedError,
    UpstreamCall,
    UpstreamConnections,
)

NOT_RUN_TRIES = 3
"""Upstreams that may turn one request away unrun before its caller is told to come back. Each costs
a round trip; when three are full, so probably are the others."""
FIRST_TRY_SHARE = 0.45
"""Share of the time left that the first try of a repeatable request may take. Plain calls take
20 to 110 ms of 600 and more; a server that has stopped leaves time for a second one."""
STREAM_SILENCE: Millis = 900.0
"""Pause after which a resumable stream goes on elsewhere. Events come every 30 ms; callers give up
after two seconds."""
DEADLINE_STATUS = HTTPStatus.GATEWAY_TIMEOUT
"""What an upstream answers when the deadline that it was given is over; no fault of its own."""
HANG_TIME: Millis = 1_000.0
"""A caller that leaves after this time without a first byte shows that the upstream hangs: a queue
adds 270 ms at most and a first event takes some 50 ms."""
MIN_TRY_TIME: Millis = 20.0
"""A try with less time left than this is not worth sending."""


class _StreamBrokenError(Exception):
    """A stream ended before its last piece."""


class Forwarder:
    """Serves online requests.

    Args:
        clock: The process's clock.
        names: Header names of the deployment.
        loads: Requests in flight.
        connections: Kept connections.
        reach: Returns the upstreams of a service.
        telemetry: Logs and metrics.
        time_left: Returns the time until this process exits, ``None`` when it is not leaving.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        loads: LoadTable,
        connections: UpstreamConnections,
        reach: Callable[[str], Reach],
        telemetry: Telemetry,
        time_left: Callable[[], Millis | None],
    ) -> None:
        self._clock = clock
        self._names = names
        self._loads = loads
        self._connections = connections
        self._reach = reach
        self._telemetry = telemetry
        self._time_left = time_left
        self._endings = RequestEndings(clock, telemetry)

    def serve(
        self,
        request: CallerRequest,
        route: Route,
        caller: CallerConnection,
        *,
        organisation: str | None = None,
    ) -> bool:
        """Serve one request to its end; return whether an upstream has run it, or may have.

        Args:
            request: The request.
            route: Its route.
            caller: The caller's connection.
            organisation: The caller's, by name; empty when it has none, ``None`` when the operator
                declares none.

        Raises:
            CallerGoneError: The caller left; what ran for it was cancelled.
        """
        limit = request.time_limit(self._names.deadline, route.timeout)
        attempt = Attempt(
            request=request,
            route=route,
            caller=caller,
            deadline=request.arrived + limit,
            organisation=organisation,
            returned=has_returned(deadline=limit, timeout=route.timeout),
        )
        try:
            self._try_upstreams(attempt)
        except DeadlinePassedError:
            self._endings.time_is_over(attempt)
        except CallerGoneError:
            self._endings.note(attempt, "caller_gone", 0)
            raise
        return attempt.may_have_run or attempt.runs > 0

    def _has_time(self, attempt: Attempt) -> bool:
        time_left = self._time_left()
        if time_left is None:
            return True
        service = attempt.route.service_for(attempt.request.request_id)
        mean = self._loads.mean_duration(service)
        if has_time_to_serve(time_left, mean):
            return True
        attempt.last_failure = "this entry is leaving"
        logging.info(
            "event=leaving_refused request=%s service=%s time_left_ms=%.0f mean_ms=%.0f",
            attempt.request.request_id,
            service,
            time_left,
            mean,
        )
        return False

    def _can_end(self, attempt: Attempt, service: str) -> bool:
        left = attempt.deadline - self._clock.now()
        mean = self._loads.mean_duration(service)
        if can_end(time_left=left, mean_duration=mean):
            return True
        attempt.last_failure = "it cannot end in the time that is left"
        logging.info(
            "event=no_time request=%s service=%s left_ms=%.0f mean_ms=%.0f",
            attempt.request.request_id,
            service,
            left,
            mean,
        )
        return False

    def _try_upstreams(self, attempt: Attempt) -> None:
        service = attempt.route.service_for(attempt.request.request_id)
        while True:
            reach = self._reach(service)
            if attempt.deadline - self._clock.now() < MIN_TRY_TIME:
                raise DeadlinePassedError("no time for another try")
            if not attempt.may_have_run and not self._has_time(attempt):
                self._endings.refuse(attempt, LEAVING_RETRY_AFTER)
                return
            if not attempt.may_have_run and not self._can_end(attempt, service):
                self._endings.give_up(attempt, full=True)
                return
            placement = self._loads.place_online(
                reach.near,
                target_latency=attempt.route.target_latency,
                returned=attempt.returned or attempt.streaming,
                excluded=frozenset(attempt.tried),
                far=reach.far,
            )
            if placement is None:
                logging.info(
                    "event=no_place request=%s service=%s upstreams=%d returned=%s %s",
                    attempt.request.request_id,
                    service,
                    len(reach.near) + len(reach.far),
                    attempt.returned,
                    self._loads.describe(reach.near),
                )
                self._endings.give_up(attempt, full=bool(reach.near))
                return
            attempt.tried.add(placement.upstream.identity)
            attempt.met.append(f"{placement.upstream.instance}:{placement.load.total}")
            done = False
            try:
                done = self._try(attempt, placement.upstream)
            finally:
                self._loads.end_online(placement, completed=done)
            if done:
                return
            if attempt.runs >= attempt.route.max_attempts or not self._may_go_on(attempt):
                self._endings.give_up(attempt, full=True)
                return

    def _may_go_on(self, attempt: Attempt) -> bool:
        if attempt.turned_away >= NOT_RUN_TRIES:
            return False
        return attempt.route.may_repeat or not attempt.may_have_run

    def _try(self, attempt: Attempt, upstream: Upstream) -> bool:
        """Make one call; return whether the caller has its answer."""
        call = UpstreamCall(self._connections, upstream, self._names, watch=attempt.caller.watch)
        started = self._clock.now()
        try:
            head = call.start(
                upstream_request(attempt, upstream, self._names, now=started),
                self._try_deadline(attempt),
                quiet_at=self._quiet_at(attempt, upstream, started),
            )
            self._loads.heard(upstream)
            return self._take_answer(attempt, upstream, call, head)
        except CallFailedError as error:
            self._failed(attempt, upstream, str(error), sent=error.sent)
            return False
        except _StreamBrokenError as error:
            self._failed(attempt, upstream, str(error), sent=True)
            return False
        except DeadlinePassedError:
            attempt.may_have_run = True
            attempt.runs += 1
            if self._clock.now() >= attempt.deadline - MIN_TRY_TIME:
                raise
            self._loads.suspect(upstream)
            attempt.last_failure = "no answer in the time of one try"
            return False
        except RunCancelledError as error:
            self._failed(attempt, upstream, str(error), sent=True)
            return False
        except CallerGoneError:
            waited = self._clock.now() - started
            silent = self._loads.heard_at(upstream) <= started
            if not attempt.streaming and silent and waited > HANG_TIME:
                self._loads.suspect(upstream)
            raise
        finally:
            call.close()

    def _failed(self, attempt: Attempt, upstream: Upstream, reason: str, *, sent: bool) -> None:
        self._loads.suspect(upstream)
        attempt.last_failure = reason
        self._telemetry.count("upstream_failures", service=upstream.service)
        logging.info(
            "event=try_failed request=%s upstream=%s sent=%s reason=%r",
            attempt.request.request_id,
            upstream.instance,
            sent,
            reason,
        )
        if sent:
            attempt.may_have_run = True
            attempt.runs += 1
        else:
            attempt.turned_away += 1

    def _try_deadline(self, attempt: Attempt) -> Millis:
        left = attempt.deadline - self._clock.now()
        more_tries = attempt.runs + 1 < attempt.route.max_attempts
        if attempt.route.kind is RouteKind.SAFE and more_tries:
            return attempt.deadline - left * (1.0 - FIRST_TRY_SHARE)
        return attempt.deadline

    def _quiet_at(
        self, attempt: Attempt, upstream: Upstream, started: Millis
    ) -> Callable[[], Millis] | None:
        """Return when a resumable stream that has not begun goes on elsewhere, if it may."""
        if not attempt.route.resumable or attempt.runs + 1 >= attempt.route.max_attempts:
            return None
        mean = self._loads.mean_duration(upstream.service)

        def quiet_at() -> Millis:
            return given_up_at(
                started=started,
                heard=self._loads.heard_at(upstream),
                silence=STREAM_SILENCE,
                mean_duration=mean,
            )

        return quiet_at

    def _take_answer(
        self, attempt: Attempt, upstream: Upstream, call: UpstreamCall, head: UpstreamHead
    ) -> bool:
        if head.header(self._names.not_run) is not None or head.status == 421:
            call.read_body(attempt.deadline)
            attempt.turned_away += 1
            attempt.last_failure = f"turned away with {head.status}"
            return False
        if head.header(self._names.signature) is None:
            raise CallFailedError("an answer without the server's signature", sent=True)
        if head.header(b"content-encoding") is not None:
            raise CallFailedError("an answer with a foreign encoding", sent=True)
        if head.succeeded and attempt.route.kind is RouteKind.STREAM:
            self._pass_stream(attempt, upstream, call, head)
            return True
        body = call.read_body(self._try_deadline(attempt))
        attempt.runs += 1
        attempt.may_have_run = True
        if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and head.status != DEADLINE_STATUS:
            self._loads.suspect(upstream)
        if self._is_worth_another_try(attempt, head):
            attempt.last_failure = f"status {head.status}"
            return False
        if attempt.streaming:
            raise _StreamBrokenError(f"status {head.status} instead of the stream's rest")
        # The connection is given back first: a caller's next request comes within a millisecond of
        # the answer, and would open a new one.
        call.close()
        attempt.caller.answer(head.status, _answer_headers(head), body, reason=head.reason)
        self._endings.note(attempt, "answered", head.status)
        return True

    def _is_worth_another_try(self, attempt: Attempt, head: UpstreamHead) -> bool:
        if head.status < 500 or attempt.runs >= attempt.route.max_attempts:
            return False
        return attempt.route.kind is RouteKind.SAFE

    def _pass_stream(
        self, attempt: Attempt, upstream: Upstream, call: UpstreamCall, head: UpstreamHead
    ) -> None:
        splitter = EventSplitter()
        silence = STREAM_SILENCE if attempt.route.resumable else None
        for data in call.body(attempt.deadline, silence=silence):
            self._loads.heard(upstream)
            pieces = []
            for event in splitter.feed(data):
                if attempt.last_event is not None and event.event_id is not None:
                    if event.event_id <= attempt.last_event:
                        continue
                    if event.event_id != attempt.last_event + 1:
                        raise _StreamBrokenError("an event is missing")
                pieces.append(event.raw)
                if event.event_id is not None:
                    attempt.last_event = event.event_id
            if not pieces:
                continue
            if not attempt.streaming:
                attempt.streaming = True
                attempt.caller.start_stream(head.status, _answer_headers(head), head.reason)
                self._telemetry.time("first_event", self._clock.now() - attempt.request.arrived)
            attempt.caller.send_piece(b"".join(pieces))
        if splitter.incomplete:
            raise _StreamBrokenError("the stream ends in the middle of an event")
        if not attempt.streaming:
            attempt.streaming = True
            attempt.caller.start_stream(head.status, _answer_headers(head), head.reason)
        attempt.runs += 1
        call.close()
        attempt.caller.finish_stream()
        self._endings.note(attempt, "streamed", head.status)


def _answer_headers(head: UpstreamHead) -> Headers:
    return end_to_end(head.headers, without=(b"content-length",))
