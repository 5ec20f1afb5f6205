"""Selection of the requests to start and the batch streams to preempt.

Load pattern: slots become free and requests arrive in any order, on top of a permanent batch
backlog. The order of the rules gives online requests priority: suspects and online requests first
use free slots or preempt batch streams, then the batch streams are reduced to their limit, and only
then do batch requests start.
"""

from __future__ import annotations

from carobspool_core._batchqueue import BatchQueue, QueuedRequest
from carobspool_core._clock import Millis
from carobspool_core._fairqueue import FairQueue
from carobspool_core._messages import RequestId
from carobspool_core._pacing import Pacer
from carobspool_core._preemption_choice import choose_victim
from carobspool_core._streams import Stream, Streams
from carobspool_core._suspect_queue import SuspectQueue
from carobspool_core._work import AdmissionMode, AdmissionSettings

_ONLINE_PRESENCE: Millis = 200.0
"""Time after the end of an online request during which online requests still count as present.
Without it, each of a series of short requests would cancel and resume the batch streams of the
whole engine. About ten steps bridge the gaps between such requests and delay batch work only once
after a burst."""


class SlotAllocator:
    """Assigns the slots of one upstream; shares its state with the owning `Admission`."""

    def __init__(
        self,
        settings: AdmissionSettings,
        *,
        streams: Streams,
        online: FairQueue[QueuedRequest],
        suspects: SuspectQueue,
        batch: BatchQueue,
        pacer: Pacer,
    ) -> None:
        self._settings = settings
        self._streams = streams
        self._online = online
        self._suspects = suspects
        self._batch = batch
        self._pacer = pacer
        self._online_present_until: Millis = 0.0
        self._started: list[RequestId] = []
        self._preempted: list[RequestId] = []
        self.prompt_starts = 0
        self.preemptions = 0

    def reconfigure(self, settings: AdmissionSettings, pacer: Pacer) -> None:
        """Apply new settings; running and waiting requests are unaffected."""
        self._settings = settings
        self._pacer = pacer

    def decide(self, now: Millis) -> tuple[tuple[RequestId, ...], tuple[RequestId, ...]]:
        """Return the requests to start and the streams to preempt.

        Also removes the started requests from their queues and updates the streams.
        """
        self._started = []
        self._preempted = []
        self._start_suspect(now)
        self._start_online(now)
        self._preempt_excess_batch(now)
        self._start_batch(now)
        return tuple(self._started), tuple(self._preempted)

    def record_online_end(self, now: Millis) -> None:
        """Record the end of an online request."""
        self._online_present_until = now + _ONLINE_PRESENCE

    def wake_at(self) -> list[Millis]:
        """Return the times at which batch requests may start without a further event."""
        return [*self._pacer.wake_at(), self._online_present_until]

    def _start_suspect(self, now: Millis) -> None:
        if not len(self._suspects) or self._streams.suspect_count:
            return
        if self._free_slots() <= 0 and not (self._suspects.has_online and self._preempt_one()):
            return
        suspect = self._suspects.pop(batch=self._may_start_prompt(now))
        if suspect is not None:
            self._start(suspect, now)

    def _may_start_prompt(self, now: Millis) -> bool:
        if self._streams.batch_count >= self.batch_limit(now):
            return False
        if not self._online_present(now) or not self._settings.pace_batch_prompts:
            return True
        return self._pacer.may_start_prompt(self._streams, now)

    def _start_online(self, now: Millis) -> None:
        passthrough = self._settings.mode is not AdmissionMode.POLICY
        while len(self._online):
            if not passthrough and self._free_slots() <= 0 and not self._preempt_one():
                return
            ticket = self._online.pop()
            if ticket is not None:
                self._start(ticket.item, now)

    def _preempt_one(self) -> bool:
        victim = choose_victim(self._streams, keep_kv=self._settings.keep_kv)
        if victim is None:
            return False
        self._streams.begin_preemption(victim)
        self.preemptions += 1
        self._preempted.append(victim.work.id)
        return True

    def _preempt_excess_batch(self, now: Millis) -> None:
        if not self._settings.keep_kv or not self._online_present(now):
            return
        while self._streams.batch_count > self.batch_limit(now) and self._preempt_one():
            continue

    def _start_batch(self, now: Millis) -> None:
        while self._streams.batch_count < self.batch_limit(now):
            waiting = self._next_batch(now)
            if waiting is None:
                return
            self._start(waiting, now)

    def batch_limit(self, now: Millis) -> int:
        """Return how many batch streams may run at ``now``."""
        settings = self._settings
        if settings.mode is AdmissionMode.STRAIGHT:
            return settings.slots + settings.batch_backlog
        if settings.mode is AdmissionMode.CAP:
            return settings.batch_cap
        free = max(0, settings.slots - self._streams.online_count)
        if settings.pace_batch_prompts and self._online_present(now):
            return min(free, self._pacer.batch_limit(now))
        return free

    def _next_batch(self, now: Millis) -> QueuedRequest | None:
        parked = self._batch.pop_parked()
        if parked is not None or self._settings.mode is not AdmissionMode.POLICY:
            return parked or self._batch.pop_prefill()
        if not self._online_present(now):
            return self._next_without_online()
        return self._batch.pop_prefill() if self._may_start_prompt(now) else None

    def _next_without_online(self) -> QueuedRequest | None:
        prompt = self._batch.peek_prefill()
        if prompt is None:
            return None
        in_prefill = self._streams.batch_prefill_tokens
        if (
            in_prefill
            and in_prefill + prompt.prefill_tokens > self._settings.max_batch_prefill_tokens
        ):
            return None
        return self._batch.pop_prefill()

    def _online_present(self, now: Millis) -> bool:
        return (
            self._streams.online_count > 0
            or len(self._online) > 0
            or now < self._online_present_until
        )

    def _free_slots(self) -> int:
        return self._settings.slots - len(self._streams)

    def _start(self, waiting: QueuedRequest, now: Millis) -> None:
        stream = Stream(
            work=waiting.work,
            submitted_at=waiting.submitted_at,
            started_at=now,
            prefill_tokens=waiting.prefill_tokens,
            tokens=waiting.tokens,
            preemptions=waiting.preemptions,
        )
        self._streams.add(stream)
        self._pacer.steps.record_start(now)
        if stream.is_online:
            self._pacer.record_start(
                waiting.work.id, waiting.work.prompt_tokens, waiting.submitted_at
            )
        elif stream.is_prefilling:
            self._pacer.record_prompt_start(now)
            self.prompt_starts += 1
        self._started.append(waiting.work.id)
