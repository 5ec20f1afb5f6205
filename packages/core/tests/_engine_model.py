"""Simulated inference engine with continuous batching, run step by step on a `ManualClock`.

A step takes 16 ms, plus 0.4 ms for each decoding stream and 0.1 ms for each prompt token computed
in the step, at most 2,048 of them. Requests enter the slots in arrival order. Trials and tests of
the admission control use it in place of a real engine; their figures are those of a simulation.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from carobspool_core import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    ManualClock,
    Priority,
    RequestId,
    make_admission,
)

STEP_BASE_MS = 16.0
STEP_STREAM_MS = 0.4
STEP_PREFILL_MS = 0.1
PREFILL_CHUNK = 2048
BATCH_PROMPT = 1200
BATCH_ANSWER = 300
NO_DEADLINE = 1e12


@dataclass(slots=True, eq=False)
class Request:
    """A request, its size, and the progress of its answer."""

    id: RequestId
    online: bool
    prompt: int
    answer: int
    arrived: float
    caller: str = "editor"
    suspect: bool = False
    deadline: float = NO_DEADLINE
    done: int = 0
    left: int = 0
    started: bool = False
    first: float | None = None
    last: float | None = None
    ended: float | None = None
    refused: bool = False


@dataclass(slots=True)
class RunMeasurements:
    """Measurements of one run."""

    first_token_times: list[float] = field(default_factory=list)
    token_gaps: list[float] = field(default_factory=list)
    batch_tokens: int = 0
    online_tokens: int = 0
    recomputed_tokens: int = 0
    preemptions: int = 0
    prompts: int = 0
    elapsed: float = 1.0

    @property
    def batch_rate(self) -> float:
        """Batch answer tokens per second."""
        return self.batch_tokens * 1000.0 / self.elapsed


def quantile(samples: list[float], share: float) -> float:
    """Return the value below which ``share`` of the samples lie."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Engine:
    """Simulated engine: slots and a first-come, first-served queue."""

    def __init__(self, slots: int, keep_kv: bool) -> None:
        self.slots = slots
        self.keep_kv = keep_kv
        self.waiting: deque[Request] = deque()
        self.running: list[Request] = []

    def submit(self, request: Request, prefill: int) -> None:
        """Queue a request that needs ``prefill`` tokens computed before its next token."""
        request.left = prefill
        request.started = True
        self.waiting.append(request)

    def cancel(self, request: Request) -> bool:
        """Remove a request; return whether its KV cache is kept."""
        if request in self.waiting:
            self.waiting.remove(request)
            return self.keep_kv and request.left == 0
        self.running.remove(request)
        return self.keep_kv and request.left == 0

    def step(self) -> tuple[float, list[Request]]:
        """Run one step; return its duration and the requests that received a token."""
        while self.waiting and len(self.running) < self.slots:
            self.running.append(self.waiting.popleft())
        decoding = [request for request in self.running if request.left == 0]
        prefill_budget = PREFILL_CHUNK
        ready = list(decoding)
        for request in self.running:
            if request.left == 0 or prefill_budget == 0:
                continue
            computed = min(prefill_budget, request.left)
            request.left -= computed
            prefill_budget -= computed
            if request.left == 0:
                ready.append(request)
        used = PREFILL_CHUNK - prefill_budget
        return STEP_BASE_MS + STEP_STREAM_MS * len(decoding) + STEP_PREFILL_MS * used, ready


Arrivals = Iterator[Request]


def bursts(seed: int, *, rate: float = 6.0, on: float = 3.0, period: float = 12.0) -> Arrivals:
    """Yield Poisson arrivals at ``rate`` per second in the first ``on`` seconds of each period."""
    return varying(seed, lambda t: rate if t % period < on else 0.0, rate)


def steady(seed: int, *, rate: float = 1.5) -> Arrivals:
    """Yield Poisson arrivals at a constant rate per second."""
    return varying(seed, lambda t: rate, rate)


def ramp(seed: int, *, top: float = 6.0, length: float = 300.0) -> Arrivals:
    """Yield arrivals whose rate rises from 0 to ``top`` per second and falls back, periodically."""
    return varying(seed, lambda t: top * (1.0 - abs(1.0 - 2.0 * (t % length) / length)), top)


def varying(
    seed: int, rate: Callable[[float], float], top: float, deadline: float = NO_DEADLINE
) -> Arrivals:
    """Yield Poisson arrivals at ``rate(t)`` per second, up to ``top``, due in ``deadline`` ms."""
    rng = random.Random(seed)
    t = 0.0
    count = 0
    while True:
        t += rng.expovariate(top)
        if rng.random() * top > rate(t):
            continue
        count += 1
        prompt = min(4000, max(1, round(rng.lognormvariate(math.log(330), 0.8))))
        answer = min(1000, max(1, round(rng.lognormvariate(math.log(100), 0.5))))
        id = RequestId("online", count)
        yield Request(
            id,
            True,
            prompt,
            answer,
            t * 1000.0,
            caller=f"editor-{count % 7}",
            deadline=t * 1000.0 + deadline,
        )


def run(
    settings: AdmissionSettings,
    arrivals: Arrivals,
    *,
    seconds: float,
    batch: bool = True,
    batch_prompt: int = BATCH_PROMPT,
) -> tuple[RunMeasurements, list[Request]]:
    """Run an engine behind an admission control; return the figures and all online requests."""
    return _Simulation(settings, arrivals, batch=batch, batch_prompt=batch_prompt).until(
        seconds * 1000.0
    )


class _Simulation:
    def __init__(
        self, settings: AdmissionSettings, arrivals: Arrivals, *, batch: bool, batch_prompt: int
    ) -> None:
        self.clock = ManualClock()
        self.admission: Admission = make_admission(settings, self.clock)
        self.engine = Engine(settings.slots, settings.keep_kv)
        self.arrivals = arrivals
        self.upcoming = next(arrivals)
        self.requests: dict[RequestId, Request] = {}
        self.online: list[Request] = []
        self.figures = RunMeasurements()
        self.batch = batch
        self.batch_prompt = batch_prompt
        self.batch_count = 0
        self.kv_kept: set[RequestId] = set()
        self.wake: float | None = None

    def until(self, end: float) -> tuple[RunMeasurements, list[Request]]:
        while self.clock.now() < end:
            self.deliver(self.clock.now())
            if not self.engine.running and not self.engine.waiting:
                self.advance_idle()
                continue
            duration, ready = self.engine.step()
            self.deliver(self.clock.now() + duration)
            self.emit(ready)
        self.figures.elapsed = self.clock.now()
        return self.figures, self.online

    def advance_idle(self) -> None:
        self.deliver(self.upcoming.arrived)

    def deliver(self, to: float) -> None:
        """Advance the clock to ``to``, handling arrivals and timers at their own times."""
        self.refill()
        self.decide()
        while True:
            instants = [self.upcoming.arrived]
            if self.wake is not None:
                instants.append(max(self.wake, self.clock.now()))
            instant = min(instants)
            if instant > to:
                break
            self.clock.advance(max(0.0, instant - self.clock.now()))
            if instant == self.upcoming.arrived:
                self.arrive(self.upcoming)
                self.upcoming = next(self.arrivals)
            elif self.wake is not None and self.wake <= self.clock.now():
                self.wake = None
            self.decide(timer=True)
        self.clock.advance(to - self.clock.now())

    def arrive(self, request: Request) -> None:
        self.requests[request.id] = request
        if request.online:
            self.online.append(request)
        priority = Priority.ONLINE if request.online else Priority.BATCH
        work = AdmissionRequest(
            id=request.id,
            priority=priority,
            caller=request.caller,
            weight=1.0,
            prompt_tokens=request.prompt,
            cost_tokens=request.prompt + request.answer,
            deadline=request.deadline,
            suspect=request.suspect,
        )
        if self.admission.offer(work).value_or(work) is work:
            request.refused = True
            request.ended = self.clock.now()

    def refill(self) -> None:
        if not self.batch:
            return
        for _ in range(self.admission.batch_credits(self.clock.now())):
            self.batch_count += 1
            id = RequestId("batch", self.batch_count)
            now = self.clock.now()
            self.arrive(Request(id, False, self.batch_prompt, BATCH_ANSWER, now, caller="job"))

    def decide(self, timer: bool = False) -> None:
        now = self.clock.now()
        decision = self.admission.decide(now)
        for id, _ in decision.refuse:
            self.requests[id].refused = True
            self.requests[id].ended = now
        for id in decision.preempt:
            request = self.requests[id]
            kv_kept = self.engine.cancel(request)
            if kv_kept:
                self.kv_kept.add(id)
            self.figures.preemptions += 1
            self.admission.requeue_preempted(id, now, request.done, kv_kept)
        for id in decision.start:
            self.submit(self.requests[id])
        wake = decision.wake_at
        self.wake = wake

    def submit(self, request: Request) -> None:
        if request.id in self.kv_kept:
            self.kv_kept.discard(request.id)
            self.engine.submit(request, 0)
            return
        if request.done or request.last is not None:
            self.figures.recomputed_tokens += request.prompt + request.done
        if not request.online:
            self.figures.prompts += 1
        self.engine.submit(request, request.prompt + request.done)

    def emit(self, ready: list[Request]) -> None:
        now = self.clock.now()
        for request in ready:
            if request.id in self.kv_kept or request not in self.engine.running:
                continue
            self.receive(request, now)
            if request.done >= request.answer:
                self.engine.running.remove(request)
                request.ended = now
                self.admission.record_end(request.id, now)
                if not request.online:
                    del self.requests[request.id]

    def receive(self, request: Request, now: float) -> None:
        request.done += 1
        if request.first is None:
            request.first = now
        if request.started:
            request.started = False
            self.admission.record_first_token(request.id, now)
        else:
            self.admission.record_tokens(request.id, now)
        if not request.online:
            self.figures.batch_tokens += 1
            request.last = now
            return
        self.figures.online_tokens += 1
        if request.last is None:
            self.figures.first_token_times.append(now - request.arrived)
        else:
            self.figures.token_gaps.append(now - request.last)
        request.last = now
