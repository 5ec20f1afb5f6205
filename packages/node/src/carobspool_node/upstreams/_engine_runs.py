"""Running one request at the upstream, from its first byte to its end.

Online requests are passed on as they come. Batch requests are run as streams so that they can give
way: the engine is told to cancel and keep the KV cache, and the stream is resumed later.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from absl import logging

from carobspool_core import (
    Clock,
    Failure,
    Millis,
    Outcome,
    Priority,
    RequestId,
    broken_upstream,
    unavailable,
)
from carobspool_node.answers import MAX_ANSWER_BYTES, AnswerMemory
from carobspool_node.upstreams._engine_calls import (
    answer_call,
    cancel_at_engine,
    is_completion,
    resume_call,
    stream_call,
)
from carobspool_node.upstreams._event_stream import (
    MAX_EVENT_BYTES,
    AnswerCollector,
    EventCutter,
    count_tokens,
    has_choices,
)
from carobspool_node.upstreams._runs import Run
from carobspool_node.upstreams._scheduler import Scheduler
from carobspool_node.upstreams._upstream_http import (
    CallEnd,
    CallResult,
    Exchange,
    UpstreamCall,
)

MAX_START_DELAY: Millis = 1_500.0
MAX_OPEN_BYTES = 64 * 1024 * 1024
"""All answers that have not ended; a sidecar may take 256 MB."""
_EVENT_STREAM = "text/event-stream"
_CHAT_PATH = "/v1/chat/completions"
_NOT_FOUND = 404
_CANCELLED = broken_upstream("cancelled", "the request was cancelled", outcome=Outcome.UNKNOWN)


@dataclass(slots=True)
class _Progress:
    """Mutable state of a request between its runs at the upstream."""

    exchange: Exchange = field(default_factory=Exchange)
    cutter: EventCutter = field(default_factory=EventCutter)
    collector: AnswerCollector | None = None
    kept: bool = False
    preempting: bool = False
    cancelled: bool = False
    started: bool = False
    status: int = 0
    error_body: bytearray = field(default_factory=bytearray)
    without_choice: int = 0
    """Bytes of the events since the last one with a choice, while it is collected."""
    reserved: int = 0
    """Bytes of its answer that count in the memory of all answers."""


class EngineRuns:
    """The requests at one upstream. Since 0.1.

    Args:
        upstream: Base URL of the upstream.
        clock: This process's clock.
        on_broken: Called when the upstream broke a connection, before that request's end is told.
    """

    def __init__(
        self,
        upstream: str,
        clock: Clock,
        *,
        on_broken: Callable[[], None],
    ) -> None:
        self._upstream = upstream.rstrip("/")
        self._clock = clock
        self._on_broken = on_broken
        self._scheduler: Scheduler | None = None
        self._lock = threading.Lock()
        self._progress: dict[RequestId, _Progress] = {}
        self._memory = AnswerMemory(MAX_OPEN_BYTES)

    def attach(self, scheduler: Scheduler) -> None:
        """Set the scheduler that is told of tokens and ends."""
        self._scheduler = scheduler

    def run(self, run: Run) -> None:
        """Run a request, or go on with one that gave way; returns when it has left the upstream."""
        request = run.open
        with self._lock:
            progress = self._progress.setdefault(request.id, _Progress())
            progress.exchange = Exchange(lambda: self._is_fresh(run))
            progress.cutter = EventCutter()
            progress.preempting = False
            cancelled = progress.cancelled
        if cancelled:
            self._end(run, _CANCELLED)
            return
        try:
            if request.priority is Priority.BATCH:
                self._run_batch(run, progress)
            else:
                self._run_online(run, progress)
        except Exception as error:  # noqa: BLE001
            # A fault of ours must not leave the caller without an answer or the slot taken.
            logging.exception("event=run_failed id=%s error=%r", request.id, error)
            failure = broken_upstream("internal", "the sidecar failed", outcome=Outcome.UNKNOWN)
            self._end(run, failure)

    def preempt(self, run: Run) -> None:
        """Make a running batch request give way; returns when the engine has answered.

        A request that may run only once is left alone: resuming it could run it again.
        """
        if not run.open.idempotent:
            return
        with self._lock:
            progress = self._progress.get(run.open.id)
            if progress is None or progress.cancelled:
                return
            progress.preempting = True
        progress.kept = cancel_at_engine(self._upstream, run.open.id, keep_kv=True)
        if not progress.kept:
            progress.exchange.abort()

    def cancel(self, run: Run) -> None:
        """Stop a request for good; returns when the engine has answered."""
        with self._lock:
            progress = self._progress.setdefault(run.open.id, _Progress())
            progress.cancelled = True
        cancel_at_engine(self._upstream, run.open.id, keep_kv=False)
        progress.exchange.abort()

    def forget(self, identity: RequestId) -> None:
        """Drop what is kept of a request that will not run again."""
        with self._lock:
            progress = self._progress.pop(identity, None)
        self._release(progress)

    def _accept(self, progress: _Progress, data: bytes) -> bool:
        """Count bytes of an answer; return whether it may go on."""
        size = progress.reserved + len(data)
        if size > MAX_ANSWER_BYTES or not self._memory.reserve(len(data)):
            logging.warning("event=answer_too_long bytes=%d", size)
            return False
        progress.reserved = size
        return True

    def _release(self, progress: _Progress | None) -> None:
        if progress is not None:
            reserved, progress.reserved = progress.reserved, 0
            self._memory.release(reserved)

    def _restart(self, progress: _Progress, collector: AnswerCollector) -> None:
        collector.restart()
        self._release(progress)

    def _is_fresh(self, run: Run) -> bool:
        # A process frozen between the decision to start and the sending would, on waking, start
        # what its entry has given up on. Only the moment between this and the sending remains.
        return self._clock.now() - run.begun_at < MAX_START_DELAY

    def _tell(self) -> Scheduler:
        assert self._scheduler is not None
        return self._scheduler

    def _run_online(self, run: Run, progress: _Progress) -> None:
        request = run.open
        streaming = False

        def on_head(status: int, headers: dict[str, str]) -> None:
            nonlocal streaming
            streaming = _EVENT_STREAM in headers.get("content-type", "")
            run.head(status, headers)

        def on_data(data: bytes) -> int | None:
            if not self._accept(progress, data):
                return 0
            piece = progress.cutter.feed(data) if streaming else data
            if not piece:
                return 0 if progress.cutter.is_too_long else None
            run.data(piece)
            count = count_tokens(piece) if streaming else 1
            if count and progress.started:
                self._tell().record_tokens(request.id, count)
            elif count:
                progress.started = True
                self._count(request.id, True, count)
            return None

        result = progress.exchange.run(answer_call(self._upstream, request), on_head, on_data)
        failure = self._failure_of(result, progress)
        if failure is None and streaming and not progress.cutter.done:
            failure = broken_upstream(
                "stream_cut", "the upstream's stream ended early", outcome=Outcome.UNKNOWN
            )
        self._end(run, failure)

    def _run_batch(self, run: Run, progress: _Progress) -> None:
        request = run.open
        if not is_completion(request):
            self._run_online(run, progress)
            return
        if progress.collector is None:
            progress.collector = AnswerCollector(chat=request.path.startswith(_CHAT_PATH))
        collector = progress.collector
        if collector.tokens and progress.kept:
            call = resume_call(self._upstream, request, collector.tokens)
            result = self._stream_batch(run, progress, call)
            if progress.status == _NOT_FOUND and result.end is CallEnd.COMPLETE:
                self._restart(progress, collector)
                result = self._stream_batch(run, progress, stream_call(self._upstream, request))
        else:
            self._restart(progress, collector)
            result = self._stream_batch(run, progress, stream_call(self._upstream, request))
        self._finish_batch(run, progress, collector, result)

    def _stream_batch(self, run: Run, progress: _Progress, call: UpstreamCall) -> CallResult:
        collector = progress.collector
        assert collector is not None
        collector.continue_stream()
        progress.cutter = EventCutter()
        progress.error_body = bytearray()

        def on_head(status: int, headers: dict[str, str]) -> None:
            progress.status = status

        def on_data(data: bytes) -> int | None:
            if not self._accept(progress, data):
                return 0
            if progress.status != 200:
                progress.error_body += data
                return None
            first = collector.tokens == 0
            events = progress.cutter.feed(data)
            count = collector.feed(events)
            if count:
                self._count(run.open.id, first, count)
            if progress.cutter.is_too_long or not _goes_on(progress, events):
                return 0
            return None

        return progress.exchange.run(call, on_head, on_data)

    def _finish_batch(
        self, run: Run, progress: _Progress, collector: AnswerCollector, result: CallResult
    ) -> None:
        gave_way = collector.cancelled or result.end is not CallEnd.COMPLETE
        if progress.preempting and not progress.cancelled and gave_way:
            run.give_way(self._clock.now())
            self._tell().requeue_preempted(
                run.open.id, received_tokens=collector.tokens, kv_kept=progress.kept
            )
            return
        failure = self._failure_of(result, progress)
        if failure is None and progress.status != 200:
            run.head(progress.status, {"content-type": "application/json"})
            run.data(bytes(progress.error_body))
            self._end(run, None)
            return
        if failure is None and not (collector.finished and progress.cutter.done):
            failure = broken_upstream(
                "stream_cut", "the upstream's stream ended early", outcome=Outcome.UNKNOWN
            )
        if failure is None:
            run.head(200, {"content-type": "application/json"})
            run.data(collector.body())
        self._end(run, failure)

    def _end(self, run: Run, failure: Failure | None) -> None:
        with self._lock:
            progress = self._progress.pop(run.open.id, None)
        self._release(progress)
        run.end(failure, self._clock.now())
        self._tell().record_end(run.open.id)

    def _count(self, identity: RequestId, first: bool, count: int) -> None:
        if first:
            self._tell().record_first_token(identity)
            count -= 1
        if count > 0:
            self._tell().record_tokens(identity, count)

    def _failure_of(self, result: CallResult, progress: _Progress) -> Failure | None:
        if result.end is CallEnd.COMPLETE:
            return None
        if progress.cancelled:
            return _CANCELLED
        if result.end is CallEnd.NOT_SENT:
            return unavailable("upstream_down", f"the upstream did not answer: {result.detail}")
        if result.end is CallEnd.TIMED_OUT:
            return Failure(
                status=504,
                type="timeout_error",
                code="upstream_timeout",
                message="the upstream did not answer in time",
                outcome=Outcome.UNKNOWN,
                retry_after_ms=1000.0,
            )
        # The probe finds out whether the upstream crashed. Its sidecar then tells the entries which
        # requests were in flight, before their callers hear of it and may send them again.
        self._on_broken()
        return broken_upstream(
            "upstream_broken", "the upstream broke the connection", outcome=Outcome.UNKNOWN
        )


def _goes_on(progress: _Progress, events: bytes) -> bool:
    """Count received events; return whether a choice was in the last `MAX_EVENT_BYTES` of them."""
    progress.without_choice = 0 if has_choices(events) else progress.without_choice + len(events)
    return progress.without_choice <= MAX_EVENT_BYTES
