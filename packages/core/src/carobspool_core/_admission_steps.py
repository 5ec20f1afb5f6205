"""Which requests start and which batch streams give way, at one instant.

Load pattern: slots become free and requests arrive in any order, over batch work without end. The
order of the rules is what keeps online requests first: suspects and online requests take free slots
or those of batch streams, batch is narrowed to its width, and only then does batch work start.
"""

from __future__ import annotations

from carobspool_core._batchqueue import BatchQueue, Waiting
from carobspool_core._clock import Millis
from carobspool_core._fairqueue import FairQueue
from carobspool_core._messages import RequestId
from carobspool_core._pacing import Pacer
from carobspool_core._streams import Stream, Streams
from carobspool_core._suspect_queue import SuspectQueue
from carobspool_core._victims import choose_victim
from carobspool_core._work import AdmissionMode, AdmissionSettings

_PRESENCE: Millis = 200.0
"""Time after the last online request in which the next one is still counted on. Without it short
requests that follow one another make the streams of a whole engine be cancelled and resumed for
each of them; some ten steps cover that and are lost only once after a burst."""


class Dispatch:
    """Gives out the slots of one upstream; shares its state with the `Admission` that owns it."""

    def __init__(
        self,
        settings: AdmissionSettings,
        *,
        streams: Streams,
        online: FairQueue[Waiting],
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
        self._present_until: Millis = 0.0
        self._started: list[RequestId] = []
        self._preempted: list[RequestId] = []
        self.prompt_starts = 0
        self.preemptions = 0

    def reconfigure(self, settings: AdmissionSettings, pacer: Pacer) -> None:
        """Follow other settings; what runs and waits stays."""
        self._settings = settings
        self._pacer = pacer

    def decide(self, now: Millis) -> tuple[tuple[RequestId, ...], tuple[RequestId, ...]]:
        """Return the requests to start and the streams to preempt."""
        self._started = []
        self._preempted = []
        self._start_suspect(now)
        self._start_online(now)
        self._narrow(now)
        self._start_batch(now)
        return tuple(self._started), tuple(self._preempted)

    def online_ended(self, now: Millis) -> None:
        """Note the end of an online request."""
        self._present_until = now + _PRESENCE

    def wake_at(self) -> list[Millis]:
        """Return the instants at which batch may start without any event."""
        return [*self._pacer.wake_at(), self._present_until]

    def _start_suspect(self, now: Millis) -> None:
        if not len(self._suspects) or self._streams.suspects:
            return
        if self._free() <= 0 and not (self._suspects.online and self._preempt_one()):
            return
        suspect = self._suspects.pop(batch=self._may_start_prompt(now))
        if suspect is not None:
            self._start(suspect, now)

    def _may_start_prompt(self, now: Millis) -> bool:
        if self._streams.batch >= self.width(now):
            return False
        if not self._online_present(now) or not self._settings.paced:
            return True
        return self._pacer.may_start(self._streams, now)

    def _start_online(self, now: Millis) -> None:
        straight = self._settings.mode is not AdmissionMode.POLICY
        while len(self._online):
            if not straight and self._free() <= 0 and not self._preempt_one():
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

    def _narrow(self, now: Millis) -> None:
        if not self._settings.keep_kv or not self._online_present(now):
            return
        while self._streams.batch > self.width(now) and self._preempt_one():
            continue

    def _start_batch(self, now: Millis) -> None:
        while self._streams.batch < self.width(now):
            waiting = self._next_batch(now)
            if waiting is None:
                return
            self._start(waiting, now)

    def width(self, now: Millis) -> int:
        """Return how many batch streams may run now."""
        settings = self._settings
        if settings.mode is AdmissionMode.STRAIGHT:
            return settings.slots + settings.batch_backlog
        if settings.mode is AdmissionMode.CAP:
            return settings.cap
        width = max(0, settings.slots - self._streams.online)
        if settings.paced and self._online_present(now):
            return min(width, self._pacer.width(now))
        return width

    def _next_batch(self, now: Millis) -> Waiting | None:
        parked = self._batch.take_parked()
        if parked is not None or self._settings.mode is not AdmissionMode.POLICY:
            return parked or self._batch.take_prompt()
        if not self._online_present(now):
            return self._next_when_quiet()
        return self._batch.take_prompt() if self._may_start_prompt(now) else None

    def _next_when_quiet(self) -> Waiting | None:
        prompt = self._batch.peek_prompt()
        if prompt is None:
            return None
        in_prefill = self._streams.batch_prefill
        if in_prefill and in_prefill + prompt.prefill_tokens > self._settings.prefill_tokens:
            return None
        return self._batch.take_prompt()

    def _online_present(self, now: Millis) -> bool:
        return self._streams.online > 0 or len(self._online) > 0 or now < self._present_until

    def _free(self) -> int:
        return self._settings.slots - len(self._streams)

    def _start(self, waiting: Waiting, now: Millis) -> None:
        stream = Stream(
            work=waiting.work,
            offered=waiting.offered,
            started=now,
            prefill_tokens=waiting.prefill_tokens,
            tokens=waiting.tokens,
            preemptions=waiting.preemptions,
        )
        self._streams.add(stream)
        self._pacer.steps.started(now)
        if stream.is_online:
            self._pacer.started(waiting.work.id, waiting.work.prompt_tokens, waiting.offered)
        elif stream.is_prefilling:
            self._pacer.prompt_started(now)
            self.prompt_starts += 1
        self._started.append(waiting.work.id)
