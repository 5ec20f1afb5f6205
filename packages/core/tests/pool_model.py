"""A discrete-event model of entries, sidecars and engines, to test routing from the callers' view.

An engine has slots and starts requests in order of arrival. A request waits for a slot, then for
its prompt (0.1 ms a token, a fifth of that if the prefix is cached), then for its answer (16 ms a
token and 0.4 ms more for each request that runs concurrently). A sidecar refuses requests at once
if its queue is full. It reports its load to every entry when `LoadReporter` decides so, or at fixed
intervals, and at the end of each answer. Each report arrives 1.5 ms late.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from returns.result import Success

from carobspool_core import (
    DeclaredUpstream,
    Failure,
    Load,
    ManualClock,
    Millis,
    Outcome,
    RetryPolicy,
    RetrySettings,
    Router,
    RouteRequest,
    RoutingSettings,
    SidecarState,
    broken_upstream,
    make_load_reporter,
    make_retry_policy,
    make_router,
    rate_limited,
    report_interval,
)

MODEL = "reading-desk"
LATENCY: Millis = 1.5
PREFILL_PER_TOKEN: Millis = 0.1
CACHED_PREFILL_SHARE = 0.2
STEP: Millis = 16.0
STEP_PER_STREAM: Millis = 0.4
LOST_DETECTION_DELAY: Millis = 3_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request of a caller, with its prompt and answer tokens."""

    at: Millis
    prompt: int = 330
    answer: int = 100
    prefix: str | None = None
    timeout: Millis = 30_000.0


@dataclass(slots=True, kw_only=True)
class CallerResult:
    """What a caller received: an answer with its time to the first token, or a failure."""

    arrival: Arrival
    first_token: Millis | None = None
    failure: Failure | None = None
    answered_at: Millis = 0.0
    attempts: int = 0
    cached: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolShape:
    """The pool that a run simulates."""

    upstreams: int = 9
    slots: int = 8
    entries: int = 3
    queue: int = 16
    cached_prefixes: int = 4
    report_every: Millis | None = None
    slow: dict[str, float] = field(default_factory=dict)
    crash_at: dict[str, Millis] = field(default_factory=dict)


class _Engine:
    def __init__(self, host: str, shape: PoolShape) -> None:
        self.host = host
        self.slow = shape.slow.get(host, 1.0)
        self.shape = shape
        self.running: dict[int, _Attempt] = {}
        self.queue: list[_Attempt] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.crashed = False
        self.reporter = make_load_reporter()

    def load(self) -> Load:
        both = [*self.running.values(), *self.queue]
        return Load(
            state=SidecarState.READY,
            running=len(self.running),
            queued=len(self.queue),
            tokens=sum(each.cost for each in both),
            slots=self.shape.slots,
            batch_credits=0,
            targets=(MODEL,),
            revision=1,
            first_token=0.0,
            fencing_epoch=1,
        )

    def lookup_and_cache(self, prefix: str | None) -> bool:
        if prefix is None:
            return False
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > self.shape.cached_prefixes:
            self.cache.popitem(last=False)
        return hit


@dataclass(slots=True, kw_only=True)
class _Attempt:
    id: int
    entry: int
    host: str
    result: CallerResult
    cost: int
    tried: frozenset[str]
    streaming: bool = False
    done: bool = False


class Pool:
    """One simulation run: takes arrivals and returns the callers' results."""

    def __init__(
        self,
        shape: PoolShape,
        *,
        seed: int = 1,
        routing: RoutingSettings | None = None,
        retry: RetrySettings | None = None,
    ) -> None:
        self._shape = shape
        self._clock = ManualClock()
        self._rng = Random(seed)
        self._events: list[tuple[Millis, int, Callable[[], None]]] = []
        self._count = 0
        self._open = 0
        self.first_attempts = 0
        self.retries = 0
        hosts = [f"up-{n}" for n in range(shape.upstreams)]
        self.engines = {host: _Engine(host, shape) for host in hosts}
        self.routers = [self._make_router(hosts, routing) for _ in range(shape.entries)]
        self._retry: list[RetryPolicy] = [
            make_retry_policy(self._clock, retry) for _ in range(shape.entries)
        ]
        for offset, host in enumerate(hosts):
            delay = self._report_interval * offset / len(hosts)
            self._after(delay, lambda host=host: self._report(host))  # type: ignore[misc]
        for host, instant in shape.crash_at.items():
            self._at(instant, lambda host=host: self._crash(host))  # type: ignore[misc]

    def run(self, arrivals: Sequence[Arrival]) -> list[CallerResult]:
        """Run until every caller has a result; return the results in the order of the arrivals."""
        results = [CallerResult(arrival=each) for each in arrivals]
        self._open = len(results)
        for result in results:
            self._at(result.arrival.at, lambda result=result: self._arrive_at_entry(result))  # type: ignore
        while self._open:
            instant, _, event = heapq.heappop(self._events)
            self._clock.advance(max(0.0, instant - self._clock.now()))
            event()
        return results

    def _make_router(self, hosts: list[str], settings: RoutingSettings | None) -> Router:
        router = make_router(self._clock, Random(self._rng.random()), settings)
        slots = self._shape.slots
        router.set_upstreams(
            [
                DeclaredUpstream(
                    host=host, failure_domain=f"fd-{n % 3}", targets=(MODEL,), slots=slots
                )
                for n, host in enumerate(hosts)
            ]
        )
        for host in hosts:
            router.apply_load_report(host, self.engines[host].load(), 0.0)
        return router

    def _at(self, instant: Millis, event: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (instant, self._count, event))

    def _after(self, delay: Millis, event: Callable[[], None]) -> None:
        self._at(self._clock.now() + delay, event)

    @property
    def _report_interval(self) -> Millis:
        return self._shape.report_every or report_interval(self._shape.entries)

    def _report(self, host: str) -> None:
        engine = self.engines[host]
        if engine.crashed:
            return
        load, now = engine.load(), self._clock.now()
        if self._shape.report_every or engine.reporter.record_if_due(
            load, self._shape.entries, now
        ):
            for router in self.routers:
                self._after(
                    LATENCY,
                    lambda r=router: r.apply_load_report(host, load, self._clock.now()),  # type: ignore
                )
        self._after(self._report_interval, lambda: self._report(host))

    def _arrive_at_entry(self, result: CallerResult) -> None:
        entry = self._rng.randrange(self._shape.entries)
        self.first_attempts += 1
        self._retry[entry].record_request()
        self._send(entry, result, frozenset())

    def _send(self, entry: int, result: CallerResult, tried: frozenset[str]) -> None:
        arrival = result.arrival
        cost = arrival.prompt + 100
        request = RouteRequest(
            target=MODEL,
            cost_tokens=cost,
            prefix_key=arrival.prefix,
            failure_domain=f"fd-{entry % 3}",
            exclude=tried,
        )
        now = self._clock.now()
        choice = self.routers[entry].pick(request, now)
        if not isinstance(choice, Success):
            self._finish(result, choice.failure())
            return
        host = choice.unwrap().host
        result.attempts += 1
        self._count += 1
        attempt = _Attempt(
            id=self._count,
            entry=entry,
            host=host,
            result=result,
            cost=cost,
            tried=tried | {host},
        )
        self.routers[entry].record_start(host, attempt.id, cost, now)
        self._after(LATENCY, lambda: self._arrive_at_sidecar(attempt))

    def _arrive_at_sidecar(self, attempt: _Attempt) -> None:
        engine = self.engines[attempt.host]
        if engine.crashed:
            self._fail(attempt, broken_upstream("refused", "", outcome=Outcome.NOT_RUN))
        elif len(engine.running) < self._shape.slots:
            self._start(engine, attempt)
        elif len(engine.queue) < self._shape.queue:
            engine.queue.append(attempt)
        else:
            self._fail(attempt, rate_limited("queue_full", "", retry_after_ms=1_000.0))

    def _start(self, engine: _Engine, attempt: _Attempt) -> None:
        engine.running[attempt.id] = attempt
        arrival = attempt.result.arrival
        attempt.result.cached = engine.lookup_and_cache(arrival.prefix)
        share = CACHED_PREFILL_SHARE if attempt.result.cached else 1.0
        prefill = (STEP + PREFILL_PER_TOKEN * arrival.prompt * share) * engine.slow
        step = (STEP + STEP_PER_STREAM * len(engine.running)) * engine.slow
        self._after(prefill, lambda: self._first_token(attempt))
        self._after(prefill + step * arrival.answer, lambda: self._end(engine, attempt))

    def _first_token(self, attempt: _Attempt) -> None:
        if attempt.done:
            return
        attempt.streaming = True
        now = self._clock.now() + LATENCY
        attempt.result.first_token = now - attempt.result.arrival.at
        self.routers[attempt.entry].record_first_token(attempt.host, attempt.id, now)

    def _end(self, engine: _Engine, attempt: _Attempt) -> None:
        if attempt.done:
            return
        attempt.done = True
        del engine.running[attempt.id]
        if engine.queue:
            self._start(engine, engine.queue.pop(0))
        load = engine.load()
        self._after(LATENCY, lambda: self._answered(attempt, load))

    def _answered(self, attempt: _Attempt, load: Load) -> None:
        now = self._clock.now()
        router = self.routers[attempt.entry]
        router.record_end(attempt.host, attempt.id, True, now)
        router.apply_load_report(attempt.host, load, now)
        self._finish(attempt.result, None)

    def _fail(self, attempt: _Attempt, failure: Failure) -> None:
        attempt.done = True
        now = self._clock.now()
        refused = failure.type == "rate_limit_error"
        self.routers[attempt.entry].record_end(attempt.host, attempt.id, refused, now)
        policy = self._retry[attempt.entry]
        deadline = attempt.result.arrival.at + attempt.result.arrival.timeout
        streaming = attempt.streaming
        if not policy.consume_retry(
            failure, True, attempt.result.attempts, deadline, streaming, now
        ):
            self._finish(attempt.result, failure)
            return
        self.retries += 1
        delay = policy.delay(attempt.result.attempts, self._rng)
        self._after(delay, lambda: self._send(attempt.entry, attempt.result, attempt.tried))

    def _crash(self, host: str) -> None:
        engine = self.engines[host]
        engine.crashed = True
        interrupted = [*engine.running.values(), *engine.queue]
        for router in self.routers:
            self._after(LOST_DETECTION_DELAY, lambda r=router: r.mark_lost(host, self._clock.now()))  # type: ignore
        for attempt in interrupted:
            self._fail(attempt, broken_upstream("broken", "", outcome=Outcome.UNKNOWN))

    def _finish(self, result: CallerResult, failure: Failure | None) -> None:
        result.failure = failure
        result.answered_at = self._clock.now()
        self._open -= 1


def arrivals(
    rng: Random,
    *,
    rate: float,
    seconds: float,
    start: Millis = 0.0,
    prompt: int = 330,
    answer: int = 100,
    prefix: Callable[[Random], str | None] = lambda rng: None,
) -> list[Arrival]:
    """Return Poisson arrivals at ``rate`` per second with log-normal prompt and answer lengths."""
    found = []
    now = start
    while True:
        now += rng.expovariate(rate) * 1000.0
        if now >= start + seconds * 1000.0:
            return found
        found.append(
            Arrival(
                at=now,
                prompt=max(8, int(rng.lognormvariate(0.0, 0.8) * prompt)),
                answer=max(4, int(rng.lognormvariate(0.0, 0.6) * answer)),
                prefix=prefix(rng),
            )
        )


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie; infinity if there are none."""
    if not values:
        return float("inf")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def first_tokens(results: Sequence[CallerResult]) -> list[Millis]:
    """Return the times to the first token of the complete answers."""
    return [each.first_token or 0.0 for each in results if each.failure is None]
