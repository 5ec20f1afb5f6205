"""What callers of a direct entry reach: online requests and calls on batch jobs."""

from __future__ import annotations

import random
from collections.abc import Callable

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    LEAVING_RETRY_AFTER,
    Configuration,
    Route,
    RouteKind,
    has_time_for_job_call,
    return_after_outage,
)
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._deployment import CallerDialect, JobCall, ReadBody, ReadResults
from carobspool_node.direct._errors import BadRequestError
from carobspool_node.direct._failure_answer import failure_answer
from carobspool_node.direct._forward import Forwarder
from carobspool_node.direct._jobs import Jobs, Outcome, ResultsPage
from carobspool_node.direct._messages import CallerRequest, HeaderNames
from carobspool_node.direct._telemetry import Telemetry

START_RETRY_AFTER: Millis = 500.0
"""An entry without a configuration has one within half a second of reaching the store."""
QUOTA_RETRY_AFTER: Millis = 2_000.0
"""Time in which some waiting items finish; a job's items take some five seconds each."""
LONGEST_JOB_CALL: Millis = 4_000.0
"""Time that a caller who names no deadline is taken to have for a call on a job."""
MAX_WAIT: Millis = 1_000.0

_STATUS = {
    Outcome.NOT_FOUND: 404,
    Outcome.OVER_QUOTA: 429,
    Outcome.UNAVAILABLE: 503,
    Outcome.UNKNOWN: 504,
}


class CallerApi:
    """Sends each request to where it is served."""

    def __init__(
        self,
        clock: Clock,
        dialect: CallerDialect,
        names: HeaderNames,
        forwarder: Forwarder,
        jobs: Jobs,
        telemetry: Telemetry,
        *,
        configuration: Callable[[], Configuration | None],
        time_left: Callable[[], Millis | None],
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._names = names
        self._forwarder = forwarder
        self._jobs = jobs
        self._telemetry = telemetry
        self._configuration = configuration
        self._time_left = time_left

    def handle(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Serve one request."""
        try:
            call = self._dialect.job_call(request)
            if call is not None:
                if self._has_time(request, caller):
                    self._serve_job_call(call, request, caller)
                return
            self._serve_route(request, caller)
        except BadRequestError as error:
            logging.info(
                "event=refused request=%s status=%d reason=%r",
                request.request_id,
                error.status,
                error,
            )
            headers, body = failure_answer(str(error), "not_run", None)
            caller.answer(error.status, headers, body)

    def _serve_route(self, request: CallerRequest, caller: CallerConnection) -> None:
        configuration = self._configuration()
        if configuration is None:
            self._refuse(request, caller, 503, "no configuration is known yet", START_RETRY_AFTER)
            return
        route = configuration.route_for(request.host, request.path)
        if route is None:
            self._refuse(request, caller, 404, "no route matches", None)
            return
        if not request.request_id:
            raise BadRequestError("the request has no id", 400)
        if route.kind is RouteKind.BATCH:
            if self._has_time(request, caller):
                self._submit(request, route, caller)
            return
        self._forwarder.serve(request, route, caller)

    def _has_time(self, request: CallerRequest, caller: CallerConnection) -> bool:
        """Whether a call on a job can end before this process does; if not, refuse it."""
        if has_time_for_job_call(self._time_left()):
            return True
        self._refuse(request, caller, 503, "this entry is leaving", LEAVING_RETRY_AFTER)
        return False

    def _submit(self, request: CallerRequest, route: Route, caller: CallerConnection) -> None:
        if request.method != b"POST":
            raise BadRequestError("jobs are submitted with POST", 405)
        items = self._dialect.job_items(request.body)
        outcome = self._jobs.submit(request.request_id, request.host, request.path, items, route)
        self._note(request, "submit", outcome)
        if outcome is Outcome.DONE:
            caller.answer(202, [], b"")
            return
        wait = QUOTA_RETRY_AFTER
        if outcome is not Outcome.OVER_QUOTA:
            wait = self._return_after(request, route.timeout)
        self._fail(caller, outcome, wait)

    def _serve_job_call(
        self, call: JobCall, request: CallerRequest, caller: CallerConnection
    ) -> None:
        if isinstance(call, ReadResults):
            page = self._jobs.results(call.job_id, call.after, min(call.wait, MAX_WAIT))
            if isinstance(page, ResultsPage):
                headers = [(b"Content-Type", b"application/json")]
                caller.answer(200, headers, self._dialect.results(page))
                return
            self._note(request, "read", page)
            self._fail(caller, page, self._return_after(request, LONGEST_JOB_CALL))
            return
        if isinstance(call, ReadBody):
            body = self._jobs.body(call.job_id, call.item_id)
            if isinstance(body, bytes):
                caller.answer(200, [(b"Content-Type", b"application/octet-stream")], body)
                return
            self._note(request, "body", body)
            self._fail(caller, body, self._return_after(request, LONGEST_JOB_CALL))
            return
        outcome = self._jobs.end(call.job_id)
        self._note(request, "end", outcome)
        if outcome is Outcome.DONE:
            caller.answer(200, [], b"")
            return
        self._fail(caller, outcome, self._return_after(request, LONGEST_JOB_CALL))

    def _return_after(self, request: CallerRequest, limit: Millis) -> Millis:
        deadline = request.time_limit(self._names.deadline, limit)
        time_left = request.arrived + deadline - self._clock.now()
        return return_after_outage(random.random(), time_left)

    def _note(self, request: CallerRequest, call: str, outcome: Outcome) -> None:
        self._telemetry.count("job_calls", call=call, outcome=outcome.value)
        logging.info(
            "event=job_call call=%s request=%s path=%s outcome=%s took_ms=%.0f",
            call,
            request.request_id,
            request.path,
            outcome.value,
            self._clock.now() - request.arrived,
        )

    def _fail(self, caller: CallerConnection, outcome: Outcome, retry_after: Millis) -> None:
        status = _STATUS[outcome]
        told = "unknown" if outcome is Outcome.UNKNOWN else "not_run"
        wait = retry_after if status in (429, 503) else None
        headers, body = failure_answer(outcome.value, told, wait)
        caller.answer(status, headers, body)

    def _refuse(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        status: int,
        reason: str,
        retry_after: Millis | None,
    ) -> None:
        logging.info(
            "event=refused request=%s host=%s path=%s status=%d reason=%r",
            request.request_id,
            request.host,
            request.path,
            status,
            reason,
        )
        headers, body = failure_answer(reason, "not_run", retry_after)
        caller.answer(status, headers, body)
