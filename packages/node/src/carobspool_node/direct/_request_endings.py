"""Final answers to online requests that no upstream has answered, and the log of every outcome."""

from __future__ import annotations

import random
from http import HTTPStatus

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import retry_delay
from carobspool_node.direct._failure_answer import failure_answer
from carobspool_node.direct._request_state import RequestState
from carobspool_node.direct._telemetry import Telemetry

NO_UPSTREAM_RETRY_AFTER: Millis = 1_000.0
"""A restarted server is registered again after about this time."""
QUARANTINED_REASON = (
    "this request, or a part of its prompt, crashed each upstream that ran it and is not run again"
)


class RequestEndings:
    """Ends requests, and logs and counts the outcome of every request.

    Args:
        clock: The process's clock.
        telemetry: Logs and metrics.
    """

    def __init__(self, clock: Clock, telemetry: Telemetry) -> None:
        self._clock = clock
        self._telemetry = telemetry

    def give_up(self, state: RequestState, *, has_upstreams: bool) -> None:
        """End a request for which no further upstream is called.

        Args:
            state: The request.
            has_upstreams: Whether the service has upstreams, so that a retry soon may succeed.
        """
        if state.streaming:
            self.record(state, "broken_off", 0)
            state.caller.abort()
            return
        if state.may_have_run:
            self._fail(state, 502, "unknown", None)
            return
        self.refuse(state, self._retry_after(state) if has_upstreams else NO_UPSTREAM_RETRY_AFTER)

    def end_at_deadline(self, state: RequestState) -> None:
        """End a request whose time limit has passed."""
        if state.streaming:
            self.record(state, "time_over", 0)
            state.caller.abort()
            return
        if state.may_have_run:
            self._fail(state, 504, "unknown", None)
            return
        self.refuse(state, self._retry_after(state))

    def refuse(self, state: RequestState, retry_after: Millis | None, *, status: int = 503) -> None:
        """Answer that the request has not run and that the caller may retry after a time."""
        self._fail(state, status, "not_run", retry_after)

    def refuse_take_up(self, state: RequestState, *, is_final: bool) -> None:
        """Refuse a stream that its caller takes up and that may not go on here.

        Args:
            state: The request.
            is_final: Whether no other entry can let it go on either; the caller is then told to
                return only when its time is over.
        """
        time_left = max(0.0, state.deadline - self._clock.now())
        self.refuse(state, time_left if is_final else self._retry_after(state))

    def end_too_large(self, state: RequestState) -> None:
        """End a request that is larger than the memory of any engine of its service."""
        state.last_failure = "the request needs more tokens than any engine of the service holds"
        self.record(state, "too_large", HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        headers, body = failure_answer(state.last_failure, "not_run", None)
        state.caller.answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, headers, body)

    def end_quarantined(self, state: RequestState) -> None:
        """End a request that is not sent to another upstream since it crashed several."""
        state.last_failure = QUARANTINED_REASON
        if state.streaming or state.may_have_run:
            self.give_up(state, has_upstreams=True)
            return
        self.record(state, "quarantined", HTTPStatus.UNPROCESSABLE_ENTITY)
        headers, body = failure_answer(state.last_failure, "not_run", None)
        state.caller.answer(HTTPStatus.UNPROCESSABLE_ENTITY, headers, body)

    def record(self, state: RequestState, outcome: str, status: int) -> None:
        """Log and count a request's outcome; ``status`` is 0 if its answer was not completed."""
        duration = self._clock.now() - state.request.arrived
        self._telemetry.count("requests", route=state.route.kind.value, outcome=outcome)
        self._telemetry.observe_duration("request", duration)
        logging.info(
            "event=request request=%s route=%s outcome=%s status=%d runs=%d turned_away=%d"
            " upstreams=%s took_ms=%.0f failure=%r",
            state.request.request_id,
            state.route.name,
            outcome,
            status,
            state.runs,
            state.turned_away,
            ",".join(state.upstream_loads),
            duration,
            state.last_failure,
        )

    def _retry_after(self, state: RequestState) -> Millis:
        return retry_delay(random.random(), state.deadline - self._clock.now())

    def _fail(
        self, state: RequestState, status: int, outcome: str, retry_after: Millis | None
    ) -> None:
        self.record(state, outcome, status)
        message = state.last_failure or "no upstream is free"
        headers, body = failure_answer(message, outcome, retry_after)
        state.caller.answer(status, headers, body)
