"""What the caller of an online request is told when no upstream has answered it."""

from __future__ import annotations

import random

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import return_after
from carobspool_node.direct._attempt import Attempt
from carobspool_node.direct._failure_answer import failure_answer
from carobspool_node.direct._telemetry import Telemetry

NO_UPSTREAM_RETRY_AFTER: Millis = 1_000.0
"""Time after which a restarted server is listed again."""


class RequestEndings:
    """Ends requests, and logs and counts every end.

    Args:
        clock: The process's clock.
        telemetry: Logs and metrics.
    """

    def __init__(self, clock: Clock, telemetry: Telemetry) -> None:
        self._clock = clock
        self._telemetry = telemetry

    def give_up(self, attempt: Attempt, *, full: bool) -> None:
        """End a request that is tried no more.

        Args:
            attempt: The request.
            full: Whether there are upstreams, so that coming back soon is of use.
        """
        if attempt.streaming:
            self.note(attempt, "broken_off", 0)
            attempt.caller.abort()
            return
        if attempt.may_have_run:
            self._fail(attempt, 502, "unknown", None)
            return
        self.refuse(attempt, self._return_after(attempt) if full else NO_UPSTREAM_RETRY_AFTER)

    def time_is_over(self, attempt: Attempt) -> None:
        """End a request whose time limit has passed."""
        if attempt.streaming:
            self.note(attempt, "time_over", 0)
            attempt.caller.abort()
            return
        if attempt.may_have_run:
            self._fail(attempt, 504, "unknown", None)
            return
        self.refuse(attempt, self._return_after(attempt))

    def refuse(self, attempt: Attempt, retry_after: Millis) -> None:
        """Tell the caller that its request has not run, and when to come back."""
        self._fail(attempt, 503, "not_run", retry_after)

    def note(self, attempt: Attempt, outcome: str, status: int) -> None:
        """Log and count the end of a request; ``status`` is 0 for an answer that was broken off."""
        took = self._clock.now() - attempt.request.arrived
        self._telemetry.count("requests", route=attempt.route.kind.value, outcome=outcome)
        self._telemetry.time("request", took)
        logging.info(
            "event=request request=%s route=%s outcome=%s status=%d runs=%d turned_away=%d"
            " upstreams=%s took_ms=%.0f failure=%r",
            attempt.request.request_id,
            attempt.route.name,
            outcome,
            status,
            attempt.runs,
            attempt.turned_away,
            ",".join(attempt.met),
            took,
            attempt.last_failure,
        )

    def _return_after(self, attempt: Attempt) -> Millis:
        return return_after(random.random(), attempt.deadline - self._clock.now())

    def _fail(
        self, attempt: Attempt, status: int, outcome: str, retry_after: Millis | None
    ) -> None:
        self.note(attempt, outcome, status)
        message = attempt.last_failure or "no upstream is free"
        headers, body = failure_answer(message, outcome, retry_after)
        attempt.caller.answer(status, headers, body)
