"""Forwards online requests to upstreams, with retries, and answers their callers.

A caller receives 503 only if no upstream ran its request. If a request was sent and its outcome is
unknown, the caller receives 502, or 504 at the time limit. Only repeatable requests are retried
after they may have run.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from absl import logging

from carobspool_core import PART_PREFIX, Clock, Millis, VerdictKind, preferred_nodes
from carobspool_core.direct import (
    LEAVING_RETRY_AFTER,
    Route,
    RouteKind,
    Shutdown,
    Upstream,
    can_finish_in_time,
    failover_at,
    has_time_to_serve,
    is_retry_by_deadline,
)
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._continued_streams import MIN_CALL_TIME, ContinuedStreams
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._errors import (
    CallCancelledError,
    CallerGoneError,
    DeadlinePassedError,
)
from carobspool_node.direct._forwarded_request import upstream_request
from carobspool_node.direct._group_assignment import UpstreamSplit
from carobspool_node.direct._in_flight import Placement
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import (
    CallerRequest,
    HeaderNames,
    UpstreamHead,
)
from carobspool_node.direct._queued_requests import QueuedRequests
from carobspool_node.direct._request_endings import QUARANTINED_REASON, RequestEndings
from carobspool_node.direct._request_state import (
    RequestState,
    last_event_of,
    stream_id_of,
    takes_stream_up,
)
from carobspool_node.direct._stream_origins import StreamOrigins
from carobspool_node.direct._stream_relay import (
    STREAM_IDLE_TIMEOUT,
    StreamBrokenError,
    StreamRelay,
    answer_headers,
)
from carobspool_node.direct._stream_versions import StreamVersions
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._unwritten_calls import UnwrittenCalls
from carobspool_node.direct._upstream_calls import Joins, UpstreamCall
from carobspool_node.direct._upstream_connections import CallFailedError, UpstreamConnections
from carobspool_node.online_queue import QueueRefusedError

MAX_REJECTIONS = 3
"""Number of upstreams that may reject one request without running it before its caller receives
503. Each rejection costs a round trip; if three upstreams are full, the others probably are full as
well."""
MAX_PARTS_LOGGED = 16
"""Parts of a prompt in one log line; most prompts have two or three shared ones."""
MAX_SUSPECT_CHOICES = 3
"""Number of upstreams that a suspect may run at if those that it prefers are full."""
CALL_TIME_FRACTION = 0.45
"""Fraction of the remaining time that one call for a repeatable request may take while another call
is still allowed. Plain calls take 20 to 110 ms of a limit of 600 ms or more, so the rest leaves
time for a second call if the server has stopped."""
DEADLINE_EXCEEDED_STATUS = HTTPStatus.GATEWAY_TIMEOUT
"""Status with which an upstream reports that the request's deadline has passed. It does not count
as a failure of the upstream."""
MAX_PAUSE: Millis = 1_000.0
"""Longest wait of a stream that goes on. Its caller has received a part that a refusal makes
worthless, only the servers of one version can serve it, and callers give up after two seconds
without an event."""
HANG_THRESHOLD: Millis = 1_000.0
"""If a caller disconnects after waiting this long for a first byte, the upstream counts as hanging:
queueing adds at most 270 ms and a first event takes some 50 ms."""


class Forwarder:
    """Serves online requests.

    Args:
        clock: The process's clock.
        names: Header names of the deployment.
        loads: Requests in flight at each upstream.
        connections: Pool of connections to upstreams.
        split_upstreams: Returns the upstreams of a service.
        telemetry: Logs and metrics.
        shutdown: Returns the shutdown in progress, ``None`` if there is none.
        isolation: Isolates requests that crash upstreams.
        queued: Lets requests wait for a slot, while that is in force.
        continued: Continues streams that may run only once.
        origins: Remembers the software versions at which streams began.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        loads: LoadTable,
        connections: UpstreamConnections,
        split_upstreams: Callable[[str], UpstreamSplit],
        telemetry: Telemetry,
        shutdown: Callable[[], Shutdown | None],
        isolation: CrashIsolation,
        queued: QueuedRequests,
        continued: ContinuedStreams,
        origins: StreamOrigins,
    ) -> None:
        self._clock = clock
        self._names = names
        self._loads = loads
        self._connections = connections
        self._split_upstreams = split_upstreams
        self._telemetry = telemetry
        self._shutdown = shutdown
        self._isolation = isolation
        self._queued = queued
        self._continued = continued
        self._unwritten = UnwrittenCalls(self._has_quarantined_part)
        self._endings = RequestEndings(clock, telemetry)
        self._versions = StreamVersions(names, telemetry, origins, self._endings)
        self._relay = StreamRelay(
            clock,
            loads,
            queued,
            telemetry,
            isolation,
            self._endings,
            on_first_event=self._versions.begin,
        )

    def serve(
        self,
        request: CallerRequest,
        route: Route,
        caller: CallerConnection,
        *,
        organisation: str | None = None,
    ) -> bool:
        """Serve one request to its end; return whether an upstream ran it or may have run it.

        Args:
            request: The request.
            route: The route that matches the request.
            caller: The caller's connection.
            organisation: Name of the caller's organisation; empty if the caller has none, ``None``
                if the operator declares no organisations.

        Raises:
            CallerGoneError: The caller disconnected; the call made for it was cancelled.
        """
        limit = request.time_limit(self._names.deadline, route.timeout)
        takes_up = takes_stream_up(request, route, self._names)
        state = RequestState(
            request=request,
            route=route,
            caller=caller,
            deadline=request.arrived + limit,
            stream_id=stream_id_of(request, self._names, takes_up=takes_up),
            takes_up=takes_up,
            last_event=last_event_of(request, route, self._names),
            organisation=organisation,
            is_retry=is_retry_by_deadline(deadline=limit, timeout=route.timeout),
            demand=self._loads.choice.demand_of(request.header),
            names=self._names,
        )
        try:
            self._try_upstreams(state)
        except DeadlinePassedError:
            self._endings.end_at_deadline(state)
        except QueueRefusedError as refusal:
            state.last_failure = refusal.reason
            try:
                self._endings.refuse(state, refusal.retry_after, status=refusal.status)
            finally:
                self._queued.refusal_answered(refusal)
        except CallerGoneError:
            self._endings.record(state, "caller_gone", 0)
            raise
        return state.may_have_run or state.runs > 0 or state.is_refunded

    def _has_time_before_exit(self, state: RequestState) -> bool:
        """Return whether the request may be passed on before this process exits."""
        shutdown = self._shutdown()
        if shutdown is None:
            return True
        service = self._service_of(state)
        mean = self._loads.mean_duration(service)
        longest = state.deadline - self._clock.now()
        if has_time_to_serve(shutdown, mean_duration=mean, longest=longest):
            return True
        state.last_failure = "this entry is leaving"
        logging.info(
            "event=leaving_refused request=%s service=%s time_left_ms=%.0f mean_ms=%.0f",
            state.request.request_id,
            service,
            shutdown.time_left,
            mean,
        )
        return False

    def _can_finish_in_time(self, state: RequestState, service: str) -> bool:
        """Return whether the request can probably end before the caller's deadline."""
        left = state.deadline - self._clock.now()
        mean = self._loads.mean_duration(service)
        if can_finish_in_time(time_left=left, mean_duration=mean):
            return True
        state.last_failure = "it cannot end in the time that is left"
        logging.info(
            "event=no_time request=%s service=%s left_ms=%.0f mean_ms=%.0f",
            state.request.request_id,
            service,
            left,
            mean,
        )
        return False

    def _try_upstreams(self, state: RequestState) -> None:
        if state.takes_up and not self._versions.take_up(state):
            return
        service = self._service_of(state)
        if self._loads.choice.is_too_large(service, state.demand):
            self._endings.end_too_large(state)
            return
        while True:
            verdict = self._isolation.check(state.fingerprints)
            if verdict.kind is VerdictKind.QUARANTINED:
                self._endings.end_quarantined(state)
                return
            split = self._versions.candidates(state, self._split_upstreams(service))
            if state.version is not None and not split.near and not split.far:
                state.last_failure = f"no upstream runs the stream's version {state.version!r}"
            if state.deadline - self._clock.now() < MIN_CALL_TIME:
                raise DeadlinePassedError("not enough time for another call")
            if not state.may_have_run and not self._has_time_before_exit(state):
                self._endings.refuse(state, LEAVING_RETRY_AFTER)
                return
            if not state.may_have_run and not self._can_finish_in_time(state, service):
                self._endings.give_up(state, has_upstreams=True)
                return
            is_suspect = verdict.kind is VerdictKind.SUSPECT
            placement = self._find_place(state, service, split, suspect=verdict.fingerprint)
            if placement is None:
                logging.info(
                    "event=no_place request=%s service=%s upstreams=%d returned=%s %s",
                    state.request.request_id,
                    service,
                    len(split.near) + len(split.far),
                    state.is_retry,
                    self._loads.describe(split.near),
                )
                self._endings.give_up(state, has_upstreams=bool(split.near))
                return
            if self._was_quarantined_meanwhile(state, placement):
                return
            state.tried.add(placement.upstream.identity)
            state.forecast = placement.forecast
            state.upstream_loads.append(f"{placement.upstream.instance}:{placement.load.total}")
            self._versions.log_resumed(state, placement.upstream)
            answered = False
            try:
                self._continued.begin(state, placement.upstream, split, is_suspect=is_suspect)
                answered = self._call_upstream(state, placement.upstream)
            finally:
                self._queued.request_ends(placement)
                self._loads.end_online(placement, completed=answered)
                self._continued.end(state)
            if answered:
                self._queued.record_run(placement)
                return
            self._versions.record_failure(state, placement.upstream)
            if self._continued.continue_stream(state, self._call_upstream):
                return
            if state.runs >= state.route.max_attempts or not self._may_retry(state):
                self._endings.give_up(state, has_upstreams=True)
                return

    def _service_of(self, state: RequestState) -> str:
        """Return the service that serves a request; a stream stays with that of its first event."""
        return state.service or state.route.choose_service(state.request.request_id)

    def _find_place(
        self, state: RequestState, service: str, split: UpstreamSplit, *, suspect: str
    ) -> Placement | None:
        """Place a request, whose suspected fingerprint is ``suspect``, empty if it has none."""
        place_at = partial(self._place_suspect, suspect) if suspect else self._place
        if not self._queued.in_force:
            return place_at(state, split)
        return self._queued.place(
            state,
            service,
            lambda split, places: place_at(state, split, places),
            is_suspect=bool(suspect),
            is_quarantined=lambda: self._is_quarantined(state),
            has_time_before_exit=lambda: self._has_time_before_exit(state),
        )

    def quarantines_changed(self) -> None:
        """End the calls for requests that must not begin at their upstreams any more."""
        self._unwritten.end_quarantined()

    def _is_quarantined(self, state: RequestState) -> bool:
        return self._isolation.check(state.fingerprints).kind is VerdictKind.QUARANTINED

    def _has_quarantined_part(self, state: RequestState) -> bool:
        verdict = self._isolation.check(state.fingerprints)
        is_part = verdict.fingerprint.startswith(PART_PREFIX)
        return is_part and verdict.kind is VerdictKind.QUARANTINED

    def _was_quarantined_meanwhile(self, state: RequestState, placement: Placement) -> bool:
        """End a request that was quarantined while it waited; return whether it was."""
        if not self._queued.in_force:
            return False
        if not self._is_quarantined(state):
            return False
        self._loads.end_online(placement, completed=False)
        self._endings.end_quarantined(state)
        return True

    def _place(
        self, state: RequestState, split: UpstreamSplit, queue_places: int | None = None
    ) -> Placement | None:
        target = state.route.target_latency
        goes_on = state.version is not None
        return self._loads.place_online(
            split.near,
            target_latency=max(target, MAX_PAUSE) if goes_on else target,
            is_retry=state.is_retry or goes_on,
            excluded=frozenset(state.tried),
            far=split.far,
            demand=state.demand,
            queue_places=queue_places,
        )

    def _place_suspect(
        self,
        suspect: str,
        state: RequestState,
        split: UpstreamSplit,
        queue_places: int | None = None,
    ) -> Placement | None:
        """Place a suspect at the upstream that all entries prefer for it, or else at the next.

        A part may be popular, so that these are full; a request with it then runs at any other.

        Args:
            suspect: The suspected fingerprint.
            state: The request.
            split: The upstreams of the service.
            queue_places: Further places at each upstream, see `LoadTable.place_online`.
        """
        candidates = {each.identity: each for each in (*split.near, *split.far)}
        untried = [each for key, each in candidates.items() if key not in state.tried]
        healthy = {each.identity: each for each in self._loads.healthy(untried)}
        preferred = preferred_nodes(suspect, healthy, MAX_SUSPECT_CHOICES)
        for identity in preferred:
            only = UpstreamSplit(near=(healthy[identity],), far=())
            placement = self._place(state, only, queue_places)
            if placement is not None:
                return placement
        if preferred and not suspect.startswith(PART_PREFIX):
            return None
        return self._place(state, split, queue_places)

    def _may_retry(self, state: RequestState) -> bool:
        if state.turned_away >= MAX_REJECTIONS:
            return False
        return state.route.is_retryable or not state.may_have_run

    def _call_upstream(
        self, state: RequestState, upstream: Upstream, run_from: bytes | None = None
    ) -> bool:
        """Call one upstream; return whether the caller has received its answer.

        Args:
            state: The request.
            upstream: The upstream to call.
            run_from: Names the run that the call continues, ``None`` if the request begins.
        """
        call = UpstreamCall(self._connections, upstream, self._names, watch=state.caller.watch)
        with self._unwritten.watch(state, call):
            return self._exchange(state, upstream, call, run_from)

    def _exchange(
        self, state: RequestState, upstream: Upstream, call: UpstreamCall, run_from: bytes | None
    ) -> bool:
        started = self._clock.now()
        try:
            head = call.start(
                upstream_request(state, upstream, self._names, now=started, run_from=run_from),
                self._call_deadline(state),
                idle_deadline=self._idle_deadline(state, upstream, started),
                joins=_joins(state),
            )
            self._loads.record_activity(upstream)
            return self._relay_answer(state, upstream, call, head)
        except CallFailedError as error:
            failed_at = call.failed_at()
            ended = error.sent and call.upstream_has_ended()
            if ended:
                crashed = state.fingerprints()[: 1 if state.has_written else None]
                self._isolation.record_crash(crashed, upstream)
            if error.sent:
                is_refused = ended and not call.upstream_restarted
                state.progress.record_failure(failed_at, is_refused=is_refused)
            self._record_failure(state, upstream, str(error), sent=error.sent, ended=ended)
            return False
        except StreamBrokenError as error:
            self._record_failure(state, upstream, str(error), sent=True)
            return False
        except DeadlinePassedError:
            state.may_have_run = True
            state.runs += 1
            if self._clock.now() >= state.deadline - MIN_CALL_TIME:
                raise
            self._loads.record_failure(upstream)
            state.last_failure = "no answer in the time of one try"
            return False
        except CallCancelledError:
            state.last_failure = QUARANTINED_REASON
            state.may_have_run = True
            state.runs += 1
            return False
        except CallerGoneError:
            waited = self._clock.now() - started
            silent = self._loads.last_activity_at(upstream) <= started
            if not state.streaming and silent and waited > HANG_THRESHOLD:
                self._loads.record_failure(upstream)
            raise
        finally:
            call.close()

    def _record_failure(
        self,
        state: RequestState,
        upstream: Upstream,
        reason: str,
        *,
        sent: bool,
        ended: bool = False,
    ) -> None:
        self._loads.record_failure(upstream)
        state.last_failure = reason
        self._telemetry.count("upstream_failures", service=upstream.service)
        logging.info(
            "event=try_failed request=%s fingerprint=%s parts=%s upstream=%s sent=%s written=%s"
            " ended=%s reason=%r",
            state.request.request_id,
            state.fingerprint(),
            ",".join(state.shared_parts()[:MAX_PARTS_LOGGED]),
            upstream.instance,
            sent,
            state.has_written,
            ended,
            reason,
        )
        if sent:
            state.may_have_run = True
            state.runs += 1
        else:
            state.turned_away += 1

    def _call_deadline(self, state: RequestState) -> Millis:
        left = state.deadline - self._clock.now()
        may_call_again = state.runs + 1 < state.route.max_attempts
        if state.route.kind is RouteKind.SAFE and may_call_again:
            return state.deadline - left * (1.0 - CALL_TIME_FRACTION)
        return state.deadline

    def _idle_deadline(
        self, state: RequestState, upstream: Upstream, started: Millis
    ) -> Callable[[], Millis] | None:
        """Return the idle deadline of a stream that another upstream may resume, else ``None``."""
        if not state.route.resumable or state.runs + 1 >= state.route.max_attempts:
            return None
        mean = self._loads.mean_duration(upstream.service)

        def idle_deadline() -> Millis:
            return failover_at(
                started=started,
                last_activity_at=self._loads.last_activity_at(upstream),
                silence=STREAM_IDLE_TIMEOUT,
                mean_duration=mean,
            )

        return idle_deadline

    def _relay_answer(
        self, state: RequestState, upstream: Upstream, call: UpstreamCall, head: UpstreamHead
    ) -> bool:
        """Relay the upstream's answer; return whether the caller has received it."""
        if head.header(self._names.not_run) is not None or head.status == 421:
            call.discard_body()
            state.progress.turned_away = True
            state.turned_away += 1
            state.last_failure = f"turned away with {head.status}"
            return False
        if head.header(self._names.signature) is None:
            raise CallFailedError("an answer without the server's signature", sent=True)
        if head.header(b"content-encoding") is not None:
            raise CallFailedError("an answer with a foreign encoding", sent=True)
        if head.succeeded and state.route.kind is RouteKind.STREAM:
            self._relay.relay(state, upstream, call, head)
            self._versions.complete(state)
            return True
        body = call.read_body(self._call_deadline(state))
        self._isolation.record_completion(state.fingerprints)
        state.runs += 1
        state.may_have_run = True
        if (
            head.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and head.status != DEADLINE_EXCEEDED_STATUS
        ):
            self._loads.record_failure(upstream)
        if self._should_retry_answer(state, head):
            state.last_failure = f"status {head.status}"
            return False
        if state.streaming:
            raise StreamBrokenError(f"status {head.status} instead of the stream's rest")
        self._queued.record_first_event(state, upstream.service)
        # The connection returns to the pool before the answer is sent: the caller's next request
        # arrives within a millisecond of the answer and would otherwise open a new connection.
        call.close()
        state.caller.answer(head.status, answer_headers(head), body, reason=head.reason)
        self._endings.record(state, "answered", head.status)
        return True

    def _should_retry_answer(self, state: RequestState, head: UpstreamHead) -> bool:
        if head.status < 500 or state.runs >= state.route.max_attempts:
            return False
        return state.route.kind is RouteKind.SAFE


def _joins(state: RequestState) -> Joins | None:
    """Return which events the events of the next call for a request may join."""
    if state.version is not None:
        return Joins.BEFORE
    return Joins.AFTER if state.route.kind is RouteKind.STREAM else None
