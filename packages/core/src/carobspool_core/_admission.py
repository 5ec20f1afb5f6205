"""Admission control for one upstream: online requests first, batch requests in the spare capacity.

Load pattern: bursts of online requests on top of a permanent batch backlog, in front of an engine
that has no priorities and admits requests in arrival order. Without admission control, online
requests wait behind batch prompts for seconds.

- Online requests start first, fairly scheduled across callers, and may use every slot. When no slot
  is free, a batch stream is preempted immediately.
- With no online request present, batch requests fill every slot. Only the prompts in prefill are
  bounded, since the first request of a burst waits for the engine step in progress.
- With online requests present, streams whose KV cache is kept are resumed without pacing, since
  they need no prefill, and the start of batch prompts is paced.
- At most one request suspected of crashing upstreams runs at a time, so that a crash identifies the
  request that caused it.

docs/design/admission.md has the measurements.
"""

from __future__ import annotations

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._batchqueue import BatchQueue, QueuedRequest
from carobspool_core._clock import Clock, Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._fairqueue import FairQueue, make_fair_queue
from carobspool_core._messages import Priority, RequestId
from carobspool_core._outcome import Failure, Outcome, unavailable
from carobspool_core._pacing import Pacer
from carobspool_core._refusals import deadline_unreachable, queue_full
from carobspool_core._servicetime import ServiceTime
from carobspool_core._slot_allocator import SlotAllocator
from carobspool_core._streams import Stream, Streams
from carobspool_core._suspect_queue import SuspectQueue
from carobspool_core._tickets import FairQueueItem
from carobspool_core._work import (
    AdmissionDecision,
    AdmissionMode,
    AdmissionRequest,
    AdmissionSettings,
    AdmissionSnapshot,
)


class Admission:
    """Decides which requests run at one upstream. Created by `make_admission`.

    Not thread-safe; the caller must serialise all calls.

    Since 0.1.
    """

    def __init__(self, settings: AdmissionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._streams = Streams()
        self._online: FairQueue[QueuedRequest] = make_fair_queue(settings.online_bounds)
        self._suspects = SuspectQueue(settings.online_bounds.per_caller)
        self._batch = BatchQueue()
        self._pacer = _make_pacer(settings)
        self._service_time = ServiceTime()
        self._allocator = SlotAllocator(
            settings,
            streams=self._streams,
            online=self._online,
            suspects=self._suspects,
            batch=self._batch,
            pacer=self._pacer,
        )
        self._refused: list[tuple[RequestId, Failure]] = []

    def reconfigure(self, settings: AdmissionSettings) -> None:
        """Apply new settings; running and waiting requests are unaffected.

        If the slots, the slowdown limit or the allowance changed, the pacer starts again without a
        baseline and relearns it within seconds.

        Args:
            settings: The settings to use from now on.
        """
        if _pacer_target(settings) != _pacer_target(self._settings):
            self._pacer = _make_pacer(settings)
        self._settings = settings
        self._allocator.reconfigure(settings, self._pacer)

    def offer(self, work: AdmissionRequest) -> Result[None, Failure]:
        """Queue a request.

        Args:
            work: The request.

        Returns:
            ``None`` if the request was queued, or the refusal to send to its caller immediately.
        """
        now = self._clock.now()
        waiting = QueuedRequest(work=work, submitted_at=now, tokens=work.resume_tokens)
        ticket = self._ticket(waiting, now)
        if work.deadline < now:
            return Failed(deadline_unreachable(now - work.deadline))
        if work.suspect:
            return Success(None) if self._suspects.try_push(waiting) else Failed(queue_full(0.0))
        if work.priority is Priority.BATCH:
            return self._batch.fresh.push(ticket, now).map(lambda _: None)
        self._pacer.record_arrival(now)
        self._online.set_throughput(self._service_time.tokens_per_ms(self._settings.slots))
        return self._online.push(ticket, now).map(self._refuse_evicted)

    def decide(self, now: Millis) -> AdmissionDecision:
        """Return what to do at ``now``; call it after every event and at ``wake_at``."""
        self._refuse_expired(now)
        refuse = tuple(self._refused)
        self._refused.clear()
        start, preempt = self._allocator.decide(now)
        wake_at = self._wake_at(now)
        return AdmissionDecision(start=start, preempt=preempt, refuse=refuse, wake_at=wake_at)

    def record_first_token(self, id: RequestId, now: Millis) -> None:
        """Record the first token of a request since it was started."""
        self.record_tokens(id, now)

    def record_tokens(self, id: RequestId, now: Millis, count: int = 1) -> None:
        """Record tokens of a request.

        Args:
            id: The request.
            now: When the tokens arrived.
            count: Number of tokens that arrived together.
        """
        stream = self._streams.get(id)
        if stream is None:
            return
        if stream.is_online:
            self._record_token_time(stream, now, count)
        step = self._pacer.steps.record_tokens(
            stream, now, count=count, prompt=stream.prefill_tokens
        )
        if step is not None:
            self._pacer.record_step(step)
        stream.tokens += count
        stream.last_token_at = now
        self._streams.end_prefill(stream)

    def record_end(self, id: RequestId, now: Millis) -> None:
        """Record that a request has ended at the upstream, successfully or not."""
        stream = self._remove_stream(id, now)
        if stream is not None and stream.is_online and stream.last_token_at is not None:
            work = stream.work
            self._service_time.record_completion(
                now - stream.started_at, work.cost_tokens, work.prompt_tokens
            )

    def cancel(self, id: RequestId, now: Millis) -> None:
        """Remove a request that its caller cancelled, whether it waits or runs."""
        if self._remove_stream(id, now) is not None:
            return
        if self._online.remove(id) is not None or self._batch.remove(id) is not None:
            return
        self._suspects.remove(id)

    def requeue_preempted(
        self, id: RequestId, now: Millis, received_tokens: int, kv_kept: bool
    ) -> None:
        """Record that a request was preempted, and queue it again ahead of new batch requests.

        A suspect is queued again at the head of the queue of suspects.

        Args:
            id: The request.
            now: When the request was cancelled at the upstream.
            received_tokens: Number of answer tokens that it has received so far.
            kv_kept: Whether the upstream keeps the request's KV cache.
        """
        stream = self._remove_stream(id, now)
        if stream is None:
            return
        waiting = QueuedRequest(
            work=stream.work,
            submitted_at=stream.submitted_at,
            tokens=received_tokens,
            kv_kept=kv_kept,
            preemptions=stream.preemptions + 1,
        )
        if stream.work.suspect:
            self._suspects.requeue(waiting)
            return
        self._batch.requeue(waiting)

    def batch_credits(self, now: Millis) -> int:
        """Return how many further batch requests the entries may send."""
        settings = self._settings
        if settings.mode is not AdmissionMode.POLICY:
            present = self._streams.batch_count + len(self._batch)
            return max(0, settings.slots + settings.batch_backlog - present)
        free = max(0, settings.slots - len(self._streams) - self._batch.parked)
        return max(0, settings.batch_backlog + free - len(self._batch.fresh))

    def snapshot(self, now: Millis) -> AdmissionSnapshot:
        """Return the current state."""
        running = sum(stream.work.cost_tokens for stream in self._streams)
        return AdmissionSnapshot(
            running_online=self._streams.online_count,
            running_batch=self._streams.batch_count,
            queued_online=len(self._online) + len(self._suspects),
            queued_batch=len(self._batch),
            parked=self._batch.parked,
            tokens=int(running + self._suspects.cost + self._online.cost + self._batch.cost),
            first_token_ewma=self._service_time.first_token_ewma,
            between_tokens_ewma=self._service_time.between_tokens_ewma,
            batch_limit=self._allocator.batch_limit(now),
            prompt_starts=self._allocator.prompt_starts,
            preemptions=self._allocator.preemptions,
        )

    def _ticket(self, waiting: QueuedRequest, now: Millis) -> FairQueueItem[QueuedRequest]:
        work = waiting.work
        start_by = work.deadline
        if work.priority is Priority.ONLINE:
            start_by -= self._service_time.likely_duration(work.cost_tokens, work.prompt_tokens)
        return FairQueueItem(
            id=work.id,
            caller=work.caller,
            weight=work.weight,
            cost=work.cost_tokens,
            # A short answer may still meet a deadline shorter than the likely duration, so the
            # request may start if it need not wait.
            start_by=max(now, start_by),
            item=waiting,
        )

    def _refuse_evicted(self, tickets: tuple[FairQueueItem[QueuedRequest], ...]) -> None:
        for ticket in tickets:
            wait = self._online.predicted_wait(ticket.caller, ticket.weight)
            self._refused.append((ticket.id, queue_full(wait)))

    def _refuse_expired(self, now: Millis) -> None:
        expired = [ticket.item for ticket in self._online.expire(now)]
        expired += self._batch.expire(now)
        expired += self._suspects.expire(now)
        for waiting in expired:
            self._refused.append((waiting.work.id, _expiry_refusal(waiting, now)))

    def _remove_stream(self, id: RequestId, now: Millis) -> Stream | None:
        stream = self._streams.remove(id)
        if stream is not None and stream.is_online:
            self._pacer.record_end(id, stream.tokens)
            self._allocator.record_online_end(now)
        if len(self._streams) == 0:
            self._pacer.steps.record_idle()
        return stream

    def _record_token_time(self, stream: Stream, now: Millis, count: int) -> None:
        if stream.last_token_at is None:
            self._service_time.record_first_token(now - stream.submitted_at)
            self._pacer.interference.record_first_token(stream.work.id)
            return
        self._service_time.record_token_gap((now - stream.last_token_at) / count)

    def _wake_at(self, now: Millis) -> Millis | None:
        instants = [
            self._online.next_expiry(),
            self._batch.fresh.next_expiry(),
            self._suspects.next_expiry(),
        ]
        if len(self._batch):
            instants += self._allocator.wake_at()
        upcoming = (instant for instant in instants if instant is not None and instant > now)
        return min(upcoming, default=None)


def make_admission(settings: AdmissionSettings, clock: Clock) -> Admission:
    """Return the admission control of one upstream.

    Args:
        settings: The settings.
        clock: Read only by `Admission.offer`; all other methods receive the time as an argument.

    Since 0.1.
    """
    return Admission(settings, clock)


def _expiry_refusal(waiting: QueuedRequest, now: Millis) -> Failure:
    if waiting.tokens == 0 and waiting.preemptions == 0:
        return deadline_unreachable(now - waiting.work.deadline)
    # The request was sent to the upstream before. Reported as not run, it would be retried without
    # restriction.
    return unavailable(
        "deadline_passed", "The deadline passed before the end of the answer.", outcome=Outcome.RAN
    )


def _pacer_target(settings: AdmissionSettings) -> tuple[int, OnlineSlowdown, Millis]:
    return settings.slots, settings.slowdown, settings.between_tokens_allowance


def _make_pacer(settings: AdmissionSettings) -> Pacer:
    slots, slowdown, allowance = _pacer_target(settings)
    return Pacer(slots, slowdown, allowance)
