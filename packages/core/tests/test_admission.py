"""Tests of the admission control of one upstream, some of them against a simulated engine."""

from __future__ import annotations

import functools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import _engine_model as model  # noqa: E402
import pytest  # noqa: E402
from hypothesis import given, settings  # noqa: E402
from hypothesis import strategies as st  # noqa: E402

from carobspool_core import (  # noqa: E402
    Admission,
    AdmissionMode,
    AdmissionRequest,
    AdmissionSettings,
    ManualClock,
    OnlineSlowdown,
    Outcome,
    Priority,
    RequestId,
    make_admission,
)

SECONDS = 120.0


def make_work(
    count: int,
    priority: Priority = Priority.ONLINE,
    *,
    caller: str = "editor",
    deadline: float = 1e12,
    suspect: bool = False,
) -> AdmissionRequest:
    """Return a request of 100 prompt and 100 answer tokens."""
    return AdmissionRequest(
        id=RequestId(priority.name, count),
        priority=priority,
        caller=caller,
        weight=1.0,
        prompt_tokens=100,
        cost_tokens=200,
        deadline=deadline,
        suspect=suspect,
    )


def make_full(slots: int = 4) -> tuple[Admission, ManualClock]:
    """Return an admission control with a decoding batch stream in every slot."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=slots, pace_batch_prompts=False), clock)
    for count in range(slots):
        admission.offer(make_work(count, Priority.BATCH))
        for id in admission.decide(clock.now()).start:
            admission.record_first_token(id, clock.now())
    return admission, clock


def test_online_arrival_preempts_at_once_when_no_slot_is_free() -> None:
    """The decision that starts an online request also preempts one batch stream."""
    admission, clock = make_full()
    admission.offer(make_work(1))
    decision = admission.decide(clock.now())
    assert decision.start == (RequestId("ONLINE", 1),)
    assert len(decision.preempt) == 1


def test_preempted_stream_is_resumed_before_fresh_batch_work() -> None:
    """A preempted request starts again before batch requests that have not run yet."""
    admission, clock = make_full()
    admission.offer(make_work(99, Priority.BATCH))
    admission.offer(make_work(1))
    (victim,) = admission.decide(clock.now()).preempt
    admission.requeue_preempted(victim, clock.now(), 1, kv_kept=True)
    admission.record_end(RequestId("ONLINE", 1), clock.now())
    clock.advance(1000.0)
    assert admission.decide(clock.now()).start == (victim,)


def test_short_requests_in_a_row_do_not_cancel_and_resume_batch_each_time() -> None:
    """Of ten short requests, 20 ms apart, only the first preempts batch streams."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=16), clock)
    for count in range(16):
        admission.offer(make_work(count, Priority.BATCH))
        for id in admission.decide(clock.now()).start:
            admission.record_first_token(id, clock.now())
    preempted = []
    for count in range(10):
        clock.advance(20.0)
        admission.offer(make_work(count))
        decision = admission.decide(clock.now())
        for id in decision.preempt:
            admission.requeue_preempted(id, clock.now(), 1, kv_kept=True)
        preempted.append(len(decision.preempt))
        admission.record_end(RequestId("ONLINE", count), clock.now())
        admission.decide(clock.now())
    assert preempted[0] > 0
    assert sum(preempted[1:]) == 0


def test_first_tokens_in_bursts_stay_fast_on_a_permanent_batch_backlog() -> None:
    """First tokens take little longer than without batch requests; with passthrough they stall."""
    alone, _ = model.run(AdmissionSettings(), model.bursts(1), seconds=SECONDS, batch=False)
    policy, _ = model.run(AdmissionSettings(), model.bursts(1), seconds=SECONDS)
    settings = AdmissionSettings(mode=AdmissionMode.STRAIGHT)
    passthrough, _ = model.run(settings, model.bursts(1), seconds=SECONDS)
    slowdown = model.quantile(policy.first_token_times, 0.95) / model.quantile(
        alone.first_token_times, 0.95
    )
    passthrough_slowdown = model.quantile(passthrough.first_token_times, 0.95) / model.quantile(
        alone.first_token_times, 0.95
    )
    assert slowdown < 1.5
    assert passthrough_slowdown > 20.0


def test_batch_uses_the_whole_engine_when_no_online_request_is_present() -> None:
    """Batch requests alone run as fast with the policy as without admission control."""
    policy, _ = model.run(AdmissionSettings(), model.steady(1, rate=1e-9), seconds=SECONDS)
    settings = AdmissionSettings(mode=AdmissionMode.STRAIGHT)
    passthrough, _ = model.run(settings, model.steady(1, rate=1e-9), seconds=SECONDS)
    assert policy.batch_rate > 0.95 * passthrough.batch_rate


def test_two_suspects_never_run_concurrently() -> None:
    """The second suspected request waits until the first has ended."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=4), clock)
    admission.offer(make_work(1, suspect=True))
    admission.offer(make_work(2, suspect=True))
    assert admission.decide(clock.now()).start == (RequestId("ONLINE", 1),)
    admission.record_end(RequestId("ONLINE", 1), clock.now())
    assert admission.decide(clock.now()).start == (RequestId("ONLINE", 2),)


def test_burst_reduces_batch_streams_to_the_limit_for_first_tokens() -> None:
    """If KV caches are kept, an online arrival reduces batch streams to the limit in a burst."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=16), clock)
    for count in range(16):
        admission.offer(make_work(count, Priority.BATCH))
        for id in admission.decide(clock.now()).start:
            admission.record_first_token(id, clock.now())
    admission.offer(make_work(1))
    decision = admission.decide(clock.now())
    assert decision.start == (RequestId("ONLINE", 1),)
    assert 16 - len(decision.preempt) == admission.snapshot(clock.now()).batch_limit


def test_batch_does_not_starve_at_an_upstream_that_reports_no_tokens() -> None:
    """While an online request runs, batch requests start one by one, two per second."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=16), clock)
    admission.offer(make_work(1))
    admission.decide(clock.now())
    for count in range(8):
        admission.offer(make_work(count, Priority.BATCH))
    started = 0
    for _ in range(200):
        clock.advance(10.0)
        for id in admission.decide(clock.now()).start:
            started += 1
            admission.record_end(id, clock.now())
    assert started == 4


@pytest.mark.parametrize("tokens", [0, 1])
def test_preempted_request_past_its_deadline_is_reported_as_ran(tokens: int) -> None:
    """A request that was sent and then missed its deadline must not be retried unconditionally."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=1, pace_batch_prompts=False), clock)
    admission.offer(make_work(1, Priority.BATCH, deadline=50.0))
    (batch,) = admission.decide(0.0).start
    if tokens:
        admission.record_first_token(batch, 1.0)
    admission.offer(make_work(1))
    assert admission.decide(1.0).preempt == (batch,)
    admission.requeue_preempted(batch, 1.0, tokens, kv_kept=tokens > 0)
    ((refused, failure),) = admission.decide(51.0).refuse
    assert refused == batch
    assert failure.outcome is Outcome.RAN


@pytest.mark.parametrize("factor", [2, 5])
def test_overload_preserves_goodput_and_refuses_immediately(factor: int) -> None:
    """Online load of 2 and 5 times what the engine can answer within the 10 s deadline.

    Callers receive either a whole answer in time or a refusal. With an unbounded queue, every
    answer would miss its deadline and all of the engine's work would be wasted.
    """
    normal = overload(1)
    overloaded = overload(factor)
    assert overloaded["answered"] >= 0.95 * normal["answered"]
    assert overloaded["late"] <= 0.02 * overloaded["answered"]
    assert overloaded["slow refusals"] <= 0.08 * overloaded["refused"]


@functools.cache
def overload(factor: int) -> dict[str, int]:
    """Return the outcomes of requests in the minute that follows half a minute below capacity."""
    top = 6.8 * factor
    arrivals = model.varying(1, lambda t: top if t > 30.0 else 6.0, top, deadline=10_000.0)
    _, online = model.run(AdmissionSettings(), arrivals, seconds=100.0)
    counted = [request for request in online if 30_000.0 <= request.arrived < 90_000.0]
    refused = [request for request in counted if request.refused]
    served = [request for request in counted if not request.refused]
    late = [
        request for request in served if (request.ended or model.NO_DEADLINE) > request.deadline
    ]
    slow = [request for request in refused if (request.ended or 0.0) - request.arrived > 20.0]
    return {
        "answered": len(served) - len(late),
        "late": len(late),
        "refused": len(refused),
        "slow refusals": len(slow),
    }


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 7), st.integers(0, 30)), max_size=60))
def test_any_interleaving_preserves_the_invariants(steps: list[tuple[int, int]]) -> None:
    """Events in any order never lead to more running requests than slots.

    Online requests never wait while a batch stream runs, suspects never run concurrently, and a
    running request is not started again.
    """
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=3), clock)
    running: dict[RequestId, AdmissionRequest] = {}
    works: dict[RequestId, AdmissionRequest] = {}
    for action, number in steps:
        clock.advance(number)
        apply_step(admission, clock.now(), action, number, running, works)
        decision = admission.decide(clock.now())
        for id in decision.preempt:
            assert running.pop(id).priority is Priority.BATCH
            admission.requeue_preempted(id, clock.now(), 1, kv_kept=bool(number % 2))
        for id in decision.start:
            assert id not in running
            running[id] = works[id]
        state = admission.snapshot(clock.now())
        assert len(running) == state.running_online + state.running_batch <= 3
        assert sum(work.suspect for work in running.values()) <= 1
        plain_waiting = state.queued_online - sum(
            work.suspect and id not in running for id, work in works.items()
        )
        assert plain_waiting <= 0 or state.running_batch == 0


def apply_step(
    admission: Admission,
    now: float,
    action: int,
    number: int,
    running: dict[RequestId, AdmissionRequest],
    works: dict[RequestId, AdmissionRequest],
) -> None:
    """Apply one event to the request selected by ``number``."""
    if action <= 3:
        priority = Priority.ONLINE if action <= 1 else Priority.BATCH
        work = make_work(len(works), priority, caller=f"c{number % 3}", suspect=number % 7 == 0)
        works[work.id] = work
        admission.offer(work)
        return
    if not running:
        return
    id = sorted(running)[number % len(running)]
    if action == 4:
        admission.record_first_token(id, now)
    elif action == 5:
        admission.record_tokens(id, now, 2)
    elif action == 6:
        admission.record_end(id, now)
        del running[id]
    else:
        admission.cancel(id, now)
        del running[id]


def test_reconfiguration_replaces_the_pacer_only_if_its_target_changed() -> None:
    """Changed slots or slowdown limits apply immediately.

    The pacer keeps the slots and limits that it was created with, so it must be replaced.
    """
    clock = ManualClock()
    tight = AdmissionSettings(slots=4, slowdown=OnlineSlowdown(first_token=1.05))
    admission = make_admission(tight, clock)
    before = admission._pacer
    admission.reconfigure(tight)
    assert admission._pacer is before
    loose = AdmissionSettings(slots=16, slowdown=OnlineSlowdown(first_token=1.5))
    admission.reconfigure(loose)
    assert admission._pacer is not before
    assert admission._pacer.batch_limit(clock.now()) == 16
    assert admission._allocator._pacer is admission._pacer
    assert admission._allocator._settings is loose
