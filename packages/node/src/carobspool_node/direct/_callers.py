"""Dispatches callers' requests: online requests, job submissions and calls on batch jobs."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TypeVar

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    LEAVING_RETRY_AFTER,
    Configuration,
    JobInput,
    Route,
    RouteKind,
    has_time_for_job_call,
    retry_delay_in_outage,
)
from carobspool_core.organisations import Admission, qualified_job_id
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._deployment import CallerDialect, JobCall, ReadBody, ReadResults
from carobspool_node.direct._errors import BadRequestError
from carobspool_node.direct._failure_answer import failure_answer
from carobspool_node.direct._forward import Forwarder
from carobspool_node.direct._item_request import check_items
from carobspool_node.direct._jobs import Jobs, Outcome, ResultsPage
from carobspool_node.direct._messages import AUTHORIZATION, CallerRequest, HeaderNames
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.organisations import (
    CallerAuthenticator,
    CallerIdentity,
    CallerKeyRefused,
    RequestQuota,
)

NOT_CONFIGURED_RETRY_AFTER: Millis = 500.0
"""An entry without a configuration reads it within half a second of reaching the store."""
QUOTA_RETRY_AFTER: Millis = 2_000.0
"""Within this time some waiting items finish; an item of a job takes some five seconds."""
MAX_JOB_CALL_TIME: Millis = 4_000.0
"""Upper limit of the time for a call on a job, and its default if the caller sends no deadline."""
MAX_READ_WAIT: Millis = 1_000.0
NOT_CONFIGURED = "no configuration is known yet"
KEY_RETRY_AFTER: Millis = 500.0
"""Within this time an entry that knew no other entry to confirm a key with discovers one."""
RETRY_JITTER_FRACTION = 0.5
"""Fraction of the wait for the next token that is added to each Retry-After, scaled by a random
factor. Without it all refused callers would return at the same time and compete for one token."""
MAX_JOB_ID_CHARS = 150
"""Longest job id, in characters. Hints contain job ids, and their fields are bounded."""

_Result = TypeVar("_Result")

_STATUS = {
    Outcome.NOT_FOUND: 404,
    Outcome.OVER_QUOTA: 429,
    Outcome.UNAVAILABLE: 503,
    Outcome.UNKNOWN: 504,
}


class CallerApi:
    """Passes each request to the forwarder or to the jobs, or refuses it."""

    def __init__(
        self,
        clock: Clock,
        dialect: CallerDialect,
        names: HeaderNames,
        forwarder: Forwarder,
        jobs: Jobs,
        telemetry: Telemetry,
        access: CallerAuthenticator,
        quota: RequestQuota,
        *,
        delay_over_limit: Callable[[str, Millis], Millis | None],
        configuration: Callable[[], Configuration | None],
        time_left: Callable[[], Millis | None],
    ) -> None:
        self._clock = clock
        self._dialect = dialect
        self._names = names
        self._forwarder = forwarder
        self._jobs = jobs
        self._telemetry = telemetry
        self._access = access
        self._quota = quota
        self._delay_over_limit = delay_over_limit
        self._configuration = configuration
        self._time_left = time_left

    def handle(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Serve one request."""
        try:
            call = self._dialect.job_call(request)
            if call is not None:
                if self._check_time_for_job_call(request, caller):
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
        except CallerKeyRefused as error:
            self._refuse_key(request, caller, error)

    def _serve_route(self, request: CallerRequest, caller: CallerConnection) -> None:
        configuration = self._configuration()
        if configuration is None:
            self._refuse(request, caller, 503, NOT_CONFIGURED, NOT_CONFIGURED_RETRY_AFTER)
            return
        route = configuration.route_for(request.host, request.path)
        if route is None:
            self._refuse(request, caller, 404, "no route matches", None)
            return
        access = self._identify(request, is_exempt=not route.needs_key)
        if not request.request_id:
            raise BadRequestError("the request has no id", 400)
        if route.kind is RouteKind.BATCH:
            if self._check_time_for_job_call(request, caller):
                self._submit(request, route, caller, access)
            return
        if access.organisation is None:
            self._forwarder.serve(request, route, caller, organisation=access.owner_name)
            return
        self._serve_within_limit(request, route, caller, access.organisation.name)

    def _identify(self, request: CallerRequest, *, is_exempt: bool) -> CallerIdentity:
        return self._access.identify(request.header_values(AUTHORIZATION), is_exempt=is_exempt)

    def _serve_within_limit(
        self, request: CallerRequest, route: Route, caller: CallerConnection, organisation: str
    ) -> None:
        admission = self._quota.admit(organisation)
        if not admission.granted:
            self._refuse_over_limit(request, caller, organisation, admission)
            return
        if not self._forwarder.serve(request, route, caller, organisation=organisation):
            self._quota.refund(organisation)

    def _check_time_for_job_call(self, request: CallerRequest, caller: CallerConnection) -> bool:
        """Return whether a call on a job can finish before this process exits; refuse it if not."""
        if has_time_for_job_call(self._time_left()):
            return True
        self._refuse(request, caller, 503, "this entry is leaving", LEAVING_RETRY_AFTER)
        return False

    def _submit(
        self, request: CallerRequest, route: Route, caller: CallerConnection, access: CallerIdentity
    ) -> None:
        if request.method != b"POST":
            raise BadRequestError("jobs are submitted with POST", 405)
        if not _is_job_id(request.request_id):
            raise BadRequestError("the id is none that a job can have", 400)
        job = JobInput(
            job_id=qualified_job_id(request.request_id, access.owner_name),
            host=request.host,
            path=request.path,
            owner="",
            submitted=0.0,
            items=tuple(self._dialect.job_items(request.body)),
            organisation=access.owner_name,
        )
        check_items(job, self._names)
        id_without_organisation = (
            qualified_job_id(request.request_id, None) if access.owner_name else None
        )
        outcome = self._jobs.submit(job, route, id_without_organisation=id_without_organisation)
        self._record_job_call(request, "submit", outcome)
        if outcome is Outcome.DONE:
            caller.answer(202, [], b"")
            return
        wait = QUOTA_RETRY_AFTER
        if outcome is not Outcome.OVER_QUOTA:
            wait = self._retry_after(request, route.timeout)
        self._answer_failure(caller, outcome, wait)

    def _serve_job_call(
        self, call: JobCall, request: CallerRequest, caller: CallerConnection
    ) -> None:
        configuration = self._configuration()
        if configuration is None:
            # The organisations are unknown, so an unqualified id could name any organisation's job.
            self._refuse(request, caller, 503, NOT_CONFIGURED, NOT_CONFIGURED_RETRY_AFTER)
            return
        owner = self._identify_for_job_call(request, configuration).owner_name
        if isinstance(call, ReadResults):
            wait = min(call.wait, MAX_READ_WAIT)
            page = self._apply_to_job(
                call, owner, lambda name: self._jobs.results(name, call.after, wait)
            )
            if isinstance(page, ResultsPage):
                headers = [(b"Content-Type", b"application/json")]
                caller.answer(200, headers, self._dialect.results(page))
                return
            self._record_job_call(request, "read", page)
            self._answer_failure(caller, page, self._retry_after(request, MAX_JOB_CALL_TIME))
            return
        if isinstance(call, ReadBody):
            body = self._apply_to_job(call, owner, lambda name: self._jobs.body(name, call.item_id))
            if isinstance(body, bytes):
                caller.answer(200, [(b"Content-Type", b"application/octet-stream")], body)
                return
            self._record_job_call(request, "body", body)
            self._answer_failure(caller, body, self._retry_after(request, MAX_JOB_CALL_TIME))
            return
        outcome = self._apply_to_job(call, owner, self._jobs.end)
        self._record_job_call(request, "end", outcome)
        if outcome is Outcome.DONE:
            caller.answer(200, [], b"")
            return
        self._answer_failure(caller, outcome, self._retry_after(request, MAX_JOB_CALL_TIME))

    def _identify_for_job_call(
        self, request: CallerRequest, configuration: Configuration
    ) -> CallerIdentity:
        values = request.header_values(AUTHORIZATION)
        is_exempt = not values and configuration.has_keyless_batch_route(request.host)
        return self._identify(request, is_exempt=is_exempt)

    def _apply_to_job(
        self, call: JobCall, owner: str | None, operation: Callable[[str], _Result | Outcome]
    ) -> _Result | Outcome:
        """Apply ``operation`` to the job of the caller's organisation.

        If that organisation has no such job, apply ``operation`` to a job that belongs to none.
        """
        found = operation(qualified_job_id(call.job_id, owner))
        if found is not Outcome.NOT_FOUND:
            return found
        id_without_organisation = self._jobs.find_job_without_organisation(call.job_id, owner)
        return found if id_without_organisation is None else operation(id_without_organisation)

    def _retry_after(self, request: CallerRequest, limit: Millis) -> Millis:
        deadline = request.time_limit(self._names.deadline, limit)
        time_left = request.arrived + deadline - self._clock.now()
        return retry_delay_in_outage(random.random(), time_left)

    def _record_job_call(self, request: CallerRequest, call: str, outcome: Outcome) -> None:
        self._telemetry.count("job_calls", call=call, outcome=outcome.value)
        logging.info(
            "event=job_call call=%s request=%s path=%s outcome=%s took_ms=%.0f",
            call,
            request.request_id,
            request.path,
            outcome.value,
            self._clock.now() - request.arrived,
        )

    def _answer_failure(
        self, caller: CallerConnection, outcome: Outcome, retry_after: Millis
    ) -> None:
        status = _STATUS[outcome]
        reported = "unknown" if outcome is Outcome.UNKNOWN else "not_run"
        wait = retry_after if status in (429, 503) else None
        headers, body = failure_answer(outcome.value, reported, wait)
        caller.answer(status, headers, body)

    def _refuse_key(
        self, request: CallerRequest, caller: CallerConnection, error: CallerKeyRefused
    ) -> None:
        self._telemetry.count("refused_keys", reason=error.problem.name.lower())
        if error.is_permanent:
            self._refuse(request, caller, 401, error.problem.value, None)
            return
        self._refuse(request, caller, 503, error.problem.value, KEY_RETRY_AFTER)

    def _refuse_over_limit(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        organisation: str,
        admission: Admission,
    ) -> None:
        self._telemetry.count("over_limit")
        wait = self._delay_over_limit(organisation, admission.retry_after)
        if wait is None:
            wait = admission.retry_after * (1.0 + RETRY_JITTER_FRACTION * random.random())
        logging.info(
            "event=over_limit request=%s organisation=%s level=%.2f entries_heard=%d entries=%d"
            " wait_ms=%.0f",
            request.request_id,
            organisation,
            admission.level,
            admission.entries_heard,
            admission.entry_count,
            wait,
        )
        message = f"organisation {organisation!r} is over its limit of requests a second"
        headers, body = failure_answer(message, "not_run", wait)
        caller.answer(429, headers, body)

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


def _is_job_id(request_id: str) -> bool:
    """Return whether an id can name a job in object keys, in hints and in the paths of calls."""
    if len(request_id) > MAX_JOB_ID_CHARS:
        return False
    return request_id.isascii() and request_id.isprintable() and not set(request_id) & set("/?# ")
