"""Forwarding one request to an upstream: choice, attempts, retries, and the answer's delivery.

An answer is handed out once its first bytes are here; from then on the request is never tried
again. Before that, it is tried again only under the retry policy.
"""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from http import HTTPStatus

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core import (
    Clock,
    Failure,
    Head,
    Millis,
    Open,
    Outcome,
    RequestId,
    RetryPolicy,
    RouteRequest,
    broken_upstream,
)
from carobspool_node.callers._caller_socket import CallerSocket
from carobspool_node.callers._http_server import TruncatedAnswerError
from carobspool_node.links import Fleet, SidecarPeer
from carobspool_node.requests import Attempt, Progress

POLL: Millis = 250.0
DEADLINE_SLACK: Millis = 100.0
"""The sidecar refuses at the deadline; this leaves its typed answer the time to arrive."""
DETACH_RETRY: Millis = 300.0
"""After this long without its sidecar, a request that has no answer yet is tried elsewhere."""
STREAM_IDLE_LIMIT: Millis = 30_000.0
_EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A request ready to be sent to an upstream.

    Attributes:
        open: The message without its final id; each attempt gets its own.
        prefix_key: Names the prompt prefix for cache affinity, or ``None``.
        deadline: Instant by which the answer must have begun (streams) or be whole.
        may_repeat: Whether it may be tried once more, asked before each retry.
        caller: Takes the pieces of a stream without the worker, or ``None``.
    """

    open: Open
    prefix_key: str | None
    deadline: Millis
    may_repeat: Callable[[], bool] = lambda: True
    caller: CallerSocket | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An upstream's answer; ``body`` yields its bytes and ends only when it is whole.

    Attributes:
        status: HTTP status.
        headers: Headers to pass on, lower-case names.
        body: The bytes; raises `TruncatedAnswerError` when the answer breaks off.
        streamed: Whether the body is a stream of events.
        complete: Tells, once the body is exhausted, whether it was whole.
    """

    status: int
    headers: dict[str, str]
    body: Iterator[bytes]
    streamed: bool
    complete: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class _Sent:
    """An attempt under way."""

    host: str
    peer: SidecarPeer
    attempt: Attempt
    request: Open


class Forwarder:
    """Sends requests to upstreams on behalf of waiting callers. Since 0.1."""

    def __init__(
        self, fleet: Fleet, clock: Clock, retries: RetryPolicy, *, failure_domain: str
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._retries = retries
        self._retries_lock = threading.Lock()
        self._failure_domain = failure_domain

    def forward(self, request: ForwardRequest) -> Result[Answer, Failure]:
        """Send a request and return its answer as soon as that has begun.

        A failure is final: its outcome is `NOT_RUN` only if no attempt can have run.
        """
        with self._retries_lock:
            self._retries.record_request()
        tried: set[str] = set()
        unsure = False
        number = 0
        while True:
            number += 1
            sent = self._send(request, frozenset(tried))
            if not is_successful(sent):
                return Failed(_honest(sent.failure(), unsure))
            under_way = sent.unwrap()
            tried.add(under_way.host)
            begun = self._await_begin(request, under_way)
            if is_successful(begun):
                return Success(self._answer(request, under_way, begun.unwrap()))
            failure = begun.failure()
            unsure = unsure or failure.outcome is not Outcome.NOT_RUN
            self._finish(under_way, ok=_blameless(failure))
            if not self._may_retry(request, failure, number):
                return Failed(_honest(failure, unsure))
            logging.info(
                "event=retry id=%s host=%s code=%s attempt=%d",
                _text(under_way.request.id),
                under_way.host,
                failure.code,
                number,
            )

    def _send(self, request: ForwardRequest, tried: frozenset[str]) -> Result[_Sent, Failure]:
        excluded = tried
        while True:
            choice = self._fleet.pick(self._route(request, excluded))
            if not is_successful(choice):
                return Failed(choice.failure())
            host = choice.unwrap().host
            peer = self._fleet.peer(host)
            message = replace(
                request.open,
                id=self._fleet.new_id(),
                timeout=max(1.0, request.deadline - self._clock.now()),
            )
            self._fleet.started(host, message)
            attempt = peer.open(message) if peer is not None else None
            if peer is None or attempt is None:
                # Nothing was sent, so this is no attempt.
                self._fleet.ended(host, message.id, ok=False)
                excluded = excluded | {host}
                continue
            return Success(_Sent(host, peer, attempt, message))

    def _route(self, request: ForwardRequest, excluded: frozenset[str]) -> RouteRequest:
        return RouteRequest(
            target=request.open.target,
            cost_tokens=request.open.cost_tokens,
            prefix_key=request.prefix_key,
            failure_domain=self._failure_domain,
            priority=request.open.priority,
            exclude=excluded,
            suspect=request.open.suspect,
        )

    def _await_begin(self, request: ForwardRequest, sent: _Sent) -> Result[Progress, Failure]:
        while True:
            now = self._clock.now()
            left = request.deadline + DEADLINE_SLACK - now
            if left <= 0:
                return Failed(_deadline_passed())
            if sent.peer.lost_for(now) > DETACH_RETRY and not sent.attempt.answered:
                return Failed(_sidecar_lost())
            progress = sent.attempt.wait(min(left, POLL))
            if progress is None:
                continue
            if progress.failure is not None and not (progress.data and progress.head):
                return Failed(progress.failure)
            return Success(progress)

    def _may_retry(self, request: ForwardRequest, failure: Failure, number: int) -> bool:
        if request.open.suspect or not request.may_repeat():
            # A suspect has one claimed run; its caller may ask for another.
            return False
        with self._retries_lock:
            return self._retries.consume_retry(
                failure,
                request.open.idempotent,
                number,
                request.deadline,
                False,
                self._clock.now(),
            )

    def _answer(self, request: ForwardRequest, sent: _Sent, first: Progress) -> Answer:
        head = first.head
        assert head is not None
        self._fleet.first_token(sent.host, sent.request.id)
        streamed = head.headers.get("content-type", "").startswith(_EVENT_STREAM)
        return Answer(
            status=head.status,
            headers=dict(head.headers),
            body=self._body(sent, first, head, request.caller if streamed else None, streamed),
            streamed=streamed,
            complete=lambda: sent.attempt.ended and sent.attempt.failure is None,
        )

    def _body(
        self,
        sent: _Sent,
        first: Progress,
        head: Head,
        caller: CallerSocket | None,
        streamed: bool,
    ) -> Iterator[bytes]:
        progress: Progress | None = first
        ok = False
        try:
            while True:
                if progress is not None:
                    if caller is not None:
                        caller.settle()
                    if progress.data:
                        yield progress.data
                    if progress.ended:
                        ok = progress.failure is None
                        yield from _closing(progress.failure, streamed=streamed)
                        return
                    if caller is not None:
                        sent.attempt.push_to(caller.write)
                elif self._clock.now() - sent.attempt.heard_at > STREAM_IDLE_LIMIT:
                    yield from _closing(_silent(), streamed=streamed)
                    return
                progress = sent.attempt.wait(POLL)
        finally:
            if caller is not None:
                caller.close()
            self._finish(sent, ok=ok and head.status < HTTPStatus.INTERNAL_SERVER_ERROR)

    def _finish(self, sent: _Sent, *, ok: bool) -> None:
        sent.peer.close_attempt(sent.attempt)
        self._fleet.ended(sent.host, sent.request.id, ok=ok)


def _closing(failure: Failure | None, *, streamed: bool) -> Iterator[bytes]:
    if failure is None:
        return
    if not streamed:
        raise TruncatedAnswerError(failure.message)
    # Without the closing event the caller's library sees an error, not a short answer.
    yield error_event(failure)


def error_event(failure: Failure) -> bytes:
    """Return the server-sent event that ends a broken stream."""
    error = {
        "type": failure.type,
        "code": failure.code,
        "message": failure.message,
        "outcome": failure.outcome.value,
        "retry_after_ms": failure.retry_after_ms,
    }
    return b"data: " + json.dumps({"error": error}).encode() + b"\n\n"


def _honest(failure: Failure, unsure: bool) -> Failure:
    # An earlier attempt may have run, so "not run" would be untrue of the request as a whole.
    if unsure and failure.outcome is Outcome.NOT_RUN:
        return replace(failure, outcome=Outcome.UNKNOWN)
    return failure


def _blameless(failure: Failure) -> bool:
    return failure.outcome is Outcome.NOT_RUN and failure.code != "upstream_down"


def _deadline_passed() -> Failure:
    return Failure(
        status=int(HTTPStatus.GATEWAY_TIMEOUT),
        type="timeout_error",
        code="deadline_passed",
        message="the answer did not begin before the deadline",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=1000.0,
    )


def _sidecar_lost() -> Failure:
    return broken_upstream(
        "sidecar_lost", "the upstream's host is not heard", outcome=Outcome.UNKNOWN
    )


def _silent() -> Failure:
    return broken_upstream("upstream_silent", "the upstream fell silent", outcome=Outcome.UNKNOWN)


def _text(identity: RequestId) -> str:
    return f"{identity.incarnation}-{identity.counter}"
