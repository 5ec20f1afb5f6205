"""Admission of requests to one upstream: online first, batch into what is left.

Load pattern: bursts of online requests over a standing backlog of batch work, before an engine that
knows no priorities and admits in arrival order. Passed straight through, online requests wait
behind batch prompts for seconds.

- Online requests start first, in fair order over callers, and may take every slot; when no slot is
  free a batch stream is preempted at once.
- With no online request present, batch fills every slot; only prompts in prefill are bounded, since
  the first request of a burst waits for the step that is under way.
- With online requests present, streams whose KV cache is kept are resumed freely, since they need
  no prefill, and the start of batch prompts is paced.
- Of the requests suspected of crashing upstreams at most one runs at a time, so that a crash tells
  which one it was.

The figures behind this stand in docs/design/admission.md.
"""

from __future__ import annotations

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._admission_steps import Dispatch
from carobspool_core._batchqueue import BatchQueue, Waiting
from carobspool_core._clock import Clock, Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._fairqueue import FairQueue, make_fair_queue
from carobspool_core._messages import Priority, RequestId
from carobspool_core._outcome import Failure, Outcome, unavailable
from carobspool_core._pacing import Pacer
from carobspool_core._refusals import deadline_unreachable, queue_full
from carobspool_core._servicetime import ServiceTime
from carobspool_core._streams import Stream, Streams
from carobspool_core._suspect_queue import SuspectQueue
from carobspool_core._tickets import Ticket
from carobspool_core._work import (
    AdmissionMode,
    AdmissionSettings,
    AdmissionSnapshot,
    Decision,
    Work,
)


class Admission:
    """Decides which requests run at one upstream. Made by `make_admission`.

    Not safe for use from several threads; its owner serialises the calls.

    Since 0.1.
    """

    def __init__(self, settings: AdmissionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._streams = Streams()
        self._online: FairQueue[Waiting] = make_fair_queue(settings.online_bounds)
        self._suspects = SuspectQueue(settings.online_bounds.per_caller)
        self._batch = BatchQueue()
        self._pacer = _make_pacer(settings)
        self._times = ServiceTime()
        self._dispatch = Dispatch(
            settings,
            streams=self._streams,
            online=self._online,
            suspects=self._suspects,
            batch=self._batch,
            pacer=self._pacer,
        )
        self._refused: list[tuple[RequestId, Failure]] = []

    def reconfigure(self, settings: AdmissionSettings) -> None:
        """Follow other slots or another target; what runs and waits stays.

        The control of batch work learns its baseline anew, within seconds, when its target changed.

        Args:
            settings: The settings from now on.
        """
        if _target(settings) != _target(self._settings):
            self._pacer = _make_pacer(settings)
        self._settings = settings
        self._dispatch.reconfigure(settings, self._pacer)

    def offer(self, work: Work) -> Result[None, Failure]:
        """Hand in a request.

        Args:
            work: The request.

        Returns:
            Nothing when it waits here from now on, or the refusal to send to its caller at once.
        """
        now = self._clock.now()
        waiting = Waiting(work=work, offered=now, tokens=work.resume_tokens)
        ticket = self._ticket(waiting, now)
        if work.deadline < now:
            return Failed(deadline_unreachable(now - work.deadline))
        if work.suspect:
            return Success(None) if self._suspects.push(waiting) else Failed(queue_full(0.0))
        if work.priority is Priority.BATCH:
            return self._batch.fresh.push(ticket, now).map(lambda _: None)
        self._pacer.arrived(now)
        self._online.set_rate(self._times.rate(self._settings.slots))
        return self._online.push(ticket, now).map(self._refuse_pushed_out)

    def next(self, now: Millis) -> Decision:
        """Decide what to do at ``now``; to be asked after every event and at ``wake_at``."""
        self._refuse_late(now)
        refuse = tuple(self._refused)
        self._refused.clear()
        start, preempt = self._dispatch.decide(now)
        wake_at = self._wake_at(now)
        return Decision(start=start, preempt=preempt, refuse=refuse, wake_at=wake_at)

    def first_token(self, id: RequestId, now: Millis) -> None:
        """Note the first token of a request since it was started."""
        self.token(id, now)

    def token(self, id: RequestId, now: Millis, count: int = 1) -> None:
        """Note tokens of a request.

        Args:
            id: The request.
            now: When they came.
            count: How many came together.
        """
        stream = self._streams.get(id)
        if stream is None:
            return
        if stream.is_online:
            self._time_token(stream, now, count)
        step = self._pacer.steps.token(stream, now, count=count, prompt=stream.prefill_tokens)
        if step is not None:
            self._pacer.step(step)
        stream.tokens += count
        stream.last_token = now
        self._streams.end_prefill(stream)

    def finished(self, id: RequestId, now: Millis) -> None:
        """Note that a request has ended at the upstream, well or not."""
        stream = self._end(id, now)
        if stream is not None and stream.is_online and stream.last_token is not None:
            work = stream.work
            self._times.finished(now - stream.started, work.cost_tokens, work.prompt_tokens)

    def cancelled(self, id: RequestId, now: Millis) -> None:
        """Note that the caller gave a request up, wherever it was."""
        if self._end(id, now) is not None:
            return
        if self._online.remove(id) is not None or self._batch.remove(id) is not None:
            return
        self._suspects.remove(id)

    def preempted(self, id: RequestId, now: Millis, kept_tokens: int, kept: bool) -> None:
        """Note that a preemption took effect; the request waits again, before fresh ones.

        Args:
            id: The request.
            now: When it was cancelled at the upstream.
            kept_tokens: Answer tokens that it holds.
            kept: Whether the upstream keeps its KV cache.
        """
        stream = self._end(id, now)
        if stream is None:
            return
        waiting = Waiting(
            work=stream.work,
            offered=stream.offered,
            tokens=kept_tokens,
            kept=kept,
            preemptions=stream.preemptions + 1,
        )
        if stream.work.suspect:
            self._suspects.put_back(waiting)
            return
        self._batch.put_back(waiting)

    def batch_credits(self, now: Millis) -> int:
        """Return how many batch requests it would take beyond those that it holds."""
        settings = self._settings
        if settings.mode is not AdmissionMode.POLICY:
            held = self._streams.batch + len(self._batch)
            return max(0, settings.slots + settings.batch_backlog - held)
        free = max(0, settings.slots - len(self._streams) - self._batch.parked)
        return max(0, settings.batch_backlog + free - len(self._batch.fresh))

    def snapshot(self, now: Millis) -> AdmissionSnapshot:
        """Return the present state."""
        running = sum(stream.work.cost_tokens for stream in self._streams)
        return AdmissionSnapshot(
            running_online=self._streams.online,
            running_batch=self._streams.batch,
            queued_online=len(self._online) + len(self._suspects),
            queued_batch=len(self._batch),
            parked=self._batch.parked,
            tokens=int(running + self._suspects.cost + self._online.cost + self._batch.cost),
            first_token_ewma=self._times.first_token_ewma,
            between_tokens_ewma=self._times.between_tokens_ewma,
            width=self._dispatch.width(now),
            prompt_starts=self._dispatch.prompt_starts,
            preemptions=self._dispatch.preemptions,
        )

    def _ticket(self, waiting: Waiting, now: Millis) -> Ticket[Waiting]:
        work = waiting.work
        start_by = work.deadline
        if work.priority is Priority.ONLINE:
            start_by -= self._times.likely_duration(work.cost_tokens, work.prompt_tokens)
        return Ticket(
            id=work.id,
            caller=work.caller,
            weight=work.weight,
            cost=work.cost_tokens,
            # A deadline shorter than the likely duration may still be met by a short answer, so
            # the request is tried when it need not wait.
            start_by=max(now, start_by),
            item=waiting,
        )

    def _refuse_pushed_out(self, tickets: tuple[Ticket[Waiting], ...]) -> None:
        for ticket in tickets:
            wait = self._online.predicted_wait(ticket.caller, ticket.weight)
            self._refused.append((ticket.id, queue_full(wait)))

    def _refuse_late(self, now: Millis) -> None:
        late = [ticket.item for ticket in self._online.expire(now)]
        late += self._batch.expire(now)
        late += self._suspects.expire(now)
        for waiting in late:
            self._refused.append((waiting.work.id, _late_refusal(waiting, now)))

    def _end(self, id: RequestId, now: Millis) -> Stream | None:
        stream = self._streams.remove(id)
        if stream is not None and stream.is_online:
            self._pacer.ended(id, stream.tokens)
            self._dispatch.online_ended(now)
        if len(self._streams) == 0:
            self._pacer.steps.idle()
        return stream

    def _time_token(self, stream: Stream, now: Millis, count: int) -> None:
        if stream.last_token is None:
            self._times.first_token(now - stream.offered)
            self._pacer.harm.first_token(stream.work.id)
            return
        self._times.between_tokens((now - stream.last_token) / count)

    def _wake_at(self, now: Millis) -> Millis | None:
        instants = [
            self._online.next_expiry(),
            self._batch.fresh.next_expiry(),
            self._suspects.next_expiry(),
        ]
        if len(self._batch):
            instants += self._dispatch.wake_at()
        upcoming = (instant for instant in instants if instant is not None and instant > now)
        return min(upcoming, default=None)


def make_admission(settings: AdmissionSettings, clock: Clock) -> Admission:
    """Return the admission before one upstream.

    Args:
        settings: How it decides.
        clock: Read by `Admission.offer` alone; every other call is told the time.

    Since 0.1.
    """
    return Admission(settings, clock)


def _late_refusal(waiting: Waiting, now: Millis) -> Failure:
    if waiting.tokens == 0 and waiting.preemptions == 0:
        return deadline_unreachable(now - waiting.work.deadline)
    # It was sent to the upstream before: "not run" would be untrue and let it be repeated freely.
    return unavailable(
        "deadline_passed", "The deadline passed before the end of the answer.", outcome=Outcome.RAN
    )


def _target(settings: AdmissionSettings) -> tuple[int, OnlineSlowdown, Millis]:
    return settings.slots, settings.slowdown, settings.between_tokens_allowance


def _make_pacer(settings: AdmissionSettings) -> Pacer:
    slots, slowdown, allowance = _target(settings)
    return Pacer(slots, slowdown, allowance)
