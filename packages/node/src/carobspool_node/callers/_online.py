"""Serving one online request: limits, isolation of suspects, reservation, forwarding."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result, Success
from werkzeug.wrappers import Response

from carobspool_core import (
    Clock,
    Failure,
    Grant,
    Outcome,
)
from carobspool_node.callers._caller_keys import Identified
from carobspool_node.callers._caller_socket import CallerSocket
from carobspool_node.callers._forward import Answer, Forwarder, ForwardRequest
from carobspool_node.callers._http_answers import failure_response
from carobspool_node.callers._http_server import TruncatedAnswerError
from carobspool_node.callers._online_requests import OnlineRequest, pass_on
from carobspool_node.callers._shared_limits import SharedLimits
from carobspool_node.requests import Isolation, is_clear
from carobspool_node.store import Reservation, Reservations, StoredAnswer

MAX_STORED_ANSWER = 512 * 1024
_DROPPED_ANSWER_HEADERS = frozenset({"date", "server", "connection", "transfer-encoding"})


class OnlineService:
    """Serves callers who wait. Since 0.1."""

    def __init__(
        self,
        forwarder: Forwarder,
        limits: SharedLimits,
        isolation: Isolation,
        reservations: Reservations,
        clock: Clock,
        *,
        count: Callable[[str, int], None],
    ) -> None:
        self._forwarder = forwarder
        self._limits = limits
        self._isolation = isolation
        self._reservations = reservations
        self._clock = clock
        self._count = count

    def serve(
        self, request: OnlineRequest, who: Identified, *, caller: CallerSocket | None = None
    ) -> Response:
        """Answer one request; every way out is typed.

        Args:
            request: The checked request.
            who: Its caller.
            caller: The caller's connection, for streams, or ``None``.
        """
        checked = self._check_suspect(request)
        if not is_successful(checked):
            return self._refused(checked.failure())
        request = checked.unwrap()
        granted = self._limits.admit(who.caller, who.organisation, request.open.cost_tokens)
        if not is_successful(granted):
            return self._refused(granted.failure())
        grant = granted.unwrap()
        try:
            return self._serve_granted(request, who, grant, caller)
        except BaseException:
            self._limits.release(grant, request.open.prompt_tokens)
            raise

    def _serve_granted(
        self,
        request: OnlineRequest,
        who: Identified,
        grant: Grant,
        caller: CallerSocket | None,
    ) -> Response:
        reserved = self._reserve(request, who)
        if not is_successful(reserved):
            self._limits.release(grant, 0)
            return self._refused(reserved.failure())
        reservation = reserved.unwrap()
        if isinstance(reservation, StoredAnswer):
            self._limits.release(grant, 0)
            return _stored_response(reservation)
        if reservation is not None:
            # The whole answer is kept for resends, so it has to pass through here.
            caller = None
        claimed = self._claim(request)
        if not is_successful(claimed):
            self._limits.release(grant, 0)
            self._settle_failure(reservation, claimed.failure())
            return self._refused(claimed.failure())
        forwarded = self._forwarder.forward(
            ForwardRequest(
                open=request.open,
                prefix_key=request.prefix_key,
                caller=caller,
                deadline=self._clock.now() + request.timeout,
                # A crash of its first upstream makes it a suspect, which must not be tried again
                # by itself: the second crash would name it, the third would be ours.
                may_repeat=lambda: is_clear(self._isolation.check(request.open.fingerprint)),
            )
        )
        if not is_successful(forwarded):
            self._limits.release(grant, 0)
            failure = forwarded.failure()
            self._isolation.close_run(request.open, whole=False)
            self._settle_failure(reservation, failure)
            return self._refused(failure)
        return self._respond(request, forwarded.unwrap(), reservation, grant, caller)

    def _check_suspect(self, request: OnlineRequest) -> Result[OnlineRequest, Failure]:
        verdict = self._isolation.check(request.open.fingerprint)
        if verdict.failure is not None:
            return Failed(verdict.failure)
        if is_clear(verdict):
            return Success(request)
        return Success(replace(request, open=replace(request.open, suspect=True)))

    def _claim(self, request: OnlineRequest) -> Result[None, Failure]:
        if not request.open.suspect:
            return Success(None)
        return self._isolation.claim(request.open.fingerprint, request.timeout)

    def _reserve(
        self, request: OnlineRequest, who: Identified
    ) -> Result[Reservation | StoredAnswer | None, Failure]:
        if request.idempotency_key is None:
            return Success(None)
        return self._reservations.reserve(
            who.organisation.name, request.idempotency_key, request.body_digest
        )

    def _respond(
        self,
        request: OnlineRequest,
        answer: Answer,
        reservation: Reservation | None,
        grant: Grant,
        caller: CallerSocket | None,
    ) -> Response:
        headers = {
            name: value
            for name, value in pass_on(answer.headers).items()
            if name not in _DROPPED_ANSWER_HEADERS
        }
        body = self._body(request, answer, reservation, grant, caller)
        if answer.streamed:
            headers["cache-control"] = "no-store"
            response = Response(body, status=answer.status, direct_passthrough=True)
        else:
            whole = self._whole(body)
            if not is_successful(whole):
                return self._refused(whole.failure())
            response = Response(whole.unwrap(), status=answer.status)
        response.headers.remove("Content-Type")
        for name, value in headers.items():
            response.headers[name] = value
        response.headers["carobspool-outcome"] = Outcome.RAN.value
        return response

    def _whole(self, body: Iterator[bytes]) -> Result[bytes, Failure]:
        # An unstreamed answer is handed out only once it is whole, so a break is still typed.
        try:
            return Success(b"".join(body))
        except TruncatedAnswerError as error:
            return Failed(
                Failure(
                    status=502,
                    type="upstream_error",
                    code="answer_cut",
                    message=str(error),
                    outcome=Outcome.UNKNOWN,
                    retry_after_ms=1000.0,
                )
            )

    def _body(
        self,
        request: OnlineRequest,
        answer: Answer,
        reservation: Reservation | None,
        grant: Grant,
        caller: CallerSocket | None,
    ) -> Iterator[bytes]:
        kept: list[bytes] = []
        kept_bytes = 0
        events = 0
        whole = False
        try:
            for data in answer.body:
                events += data.count(b"\n\n")
                kept_bytes += len(data)
                if reservation is not None and kept_bytes <= MAX_STORED_ANSWER:
                    kept.append(data)
                yield data
            whole = answer.complete()
        finally:
            events += caller.events if caller is not None else 0
            self._limits.release(grant, request.open.prompt_tokens + events)
            self._isolation.close_run(request.open, whole=whole)
            if reservation is not None:
                fits = whole and kept_bytes <= MAX_STORED_ANSWER
                self._settle(reservation, answer, b"".join(kept) if fits else None)

    def _settle(self, reservation: Reservation, answer: Answer, body: bytes | None) -> None:
        stored = None
        if body is not None:
            stored = StoredAnswer(status=answer.status, headers=answer.headers, body=body)
        self._reservations.finish(reservation, stored)

    def _settle_failure(self, reservation: Reservation | None, failure: Failure) -> None:
        if reservation is None:
            return
        if failure.outcome is Outcome.NOT_RUN:
            self._reservations.abandon_not_run(reservation)
            return
        self._reservations.finish(reservation, None)

    def _refused(self, failure: Failure) -> Response:
        self._count(f"refused.{failure.code}", 1)
        logging.info(
            "event=refused code=%s status=%d outcome=%s",
            failure.code,
            failure.status,
            failure.outcome.value,
        )
        return failure_response(failure)


def _stored_response(stored: StoredAnswer) -> Response:
    response = Response(stored.body, status=stored.status)
    response.headers.remove("Content-Type")
    for name, value in stored.headers.items():
        if name in _DROPPED_ANSWER_HEADERS or name == "content-length":
            continue
        response.headers[name] = value
    response.headers["carobspool-outcome"] = Outcome.RAN.value
    response.headers["carobspool-replayed"] = "true"
    return response
