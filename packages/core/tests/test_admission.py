"""Tests of the upstream admission, judged by what callers receive from a simulated engine."""

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
    AdmissionSettings,
    ManualClock,
    OnlineSlowdown,
    Outcome,
    Priority,
    RequestId,
    Work,
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
) -> Work:
    """Return a request of 100 prompt and 100 answer tokens."""
    return Work(
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
    """Return an admission whose slots all run decoding batch streams."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=slots, paced=False), clock)
    for count in range(slots):
        admission.offer(make_work(count, Priority.BATCH))
        for id in admission.next(clock.now()).start:
            admission.first_token(id, clock.now())
    return admission, clock


def test_online_arrival_preempts_at_once_when_no_slot_is_free() -> None:
    """An online request starts in the same decision that preempts one batch stream for it."""
    admission, clock = make_full()
    admission.offer(make_work(1))
    decision = admission.next(clock.now())
    assert decision.start == (RequestId("ONLINE", 1),)
    assert len(decision.preempt) == 1


def test_preempted_stream_is_resumed_before_fresh_batch_work() -> None:
    """A preempted request starts again ahead of batch requests that never ran."""
    admission, clock = make_full()
    admission.offer(make_work(99, Priority.BATCH))
    admission.offer(make_work(1))
    (victim,) = admission.next(clock.now()).preempt
    admission.preempted(victim, clock.now(), 1, kept=True)
    admission.finished(RequestId("ONLINE", 1), clock.now())
    clock.advance(1000.0)
    assert admission.next(clock.now()).start == (victim,)


def test_short_requests_in_a_row_do_not_cancel_and_resume_batch_each_time() -> None:
    """Ten short requests, 20 ms apart, preempt no more streams than the first of them."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=16), clock)
    for count in range(16):
        admission.offer(make_work(count, Priority.BATCH))
        for id in admission.next(clock.now()).start:
            admission.first_token(id, clock.now())
    preempted = []
    for count in range(10):
        clock.advance(20.0)
        admission.offer(make_work(count))
        decision = admission.next(clock.now())
        for id in decision.preempt:
            admission.preempted(id, clock.now(), 1, kept=True)
        preempted.append(len(decision.preempt))
        admission.finished(RequestId("ONLINE", count), clock.now())
        admission.next(clock.now())
    assert preempted[0] > 0
    assert sum(preempted[1:]) == 0


def test_burst_is_served_while_batch_work_is_without_end() -> None:
    """Editors' first tokens come as if there were no batch work, where straight-through stalls."""
    alone, _ = model.run(AdmissionSettings(), model.bursts(1), seconds=SECONDS, batch=False)
    policy, _ = model.run(AdmissionSettings(), model.bursts(1), seconds=SECONDS)
    settings = AdmissionSettings(mode=AdmissionMode.STRAIGHT)
    straight, _ = model.run(settings, model.bursts(1), seconds=SECONDS)
    harm = model.quantile(policy.first, 0.95) / model.quantile(alone.first, 0.95)
    straight_harm = model.quantile(straight.first, 0.95) / model.quantile(alone.first, 0.95)
    assert harm < 1.5
    assert straight_harm > 20.0


def test_batch_fills_the_engine_when_no_editor_is_there() -> None:
    """Batch work alone runs as fast behind the policy as straight through."""
    policy, _ = model.run(AdmissionSettings(), model.steady(1, rate=1e-9), seconds=SECONDS)
    settings = AdmissionSettings(mode=AdmissionMode.STRAIGHT)
    straight, _ = model.run(settings, model.steady(1, rate=1e-9), seconds=SECONDS)
    assert policy.batch_rate > 0.95 * straight.batch_rate


def test_two_suspects_never_run_together() -> None:
    """The second request that may crash the upstream waits for the end of the first."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=4), clock)
    admission.offer(make_work(1, suspect=True))
    admission.offer(make_work(2, suspect=True))
    assert admission.next(clock.now()).start == (RequestId("ONLINE", 1),)
    admission.finished(RequestId("ONLINE", 1), clock.now())
    assert admission.next(clock.now()).start == (RequestId("ONLINE", 2),)


def test_burst_narrows_batch_to_what_first_tokens_allow() -> None:
    """With KV kept, an arrival takes the batch streams down to the width for a burst."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=16), clock)
    for count in range(16):
        admission.offer(make_work(count, Priority.BATCH))
        for id in admission.next(clock.now()).start:
            admission.first_token(id, clock.now())
    admission.offer(make_work(1))
    decision = admission.next(clock.now())
    assert decision.start == (RequestId("ONLINE", 1),)
    assert 16 - len(decision.preempt) == admission.snapshot(clock.now()).width


def test_batch_goes_on_beside_online_work_before_an_upstream_that_reports_no_tokens() -> None:
    """Beside a request without end, one batch request after the other starts, two a second."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=16), clock)
    admission.offer(make_work(1))
    admission.next(clock.now())
    for count in range(8):
        admission.offer(make_work(count, Priority.BATCH))
    started = 0
    for _ in range(200):
        clock.advance(10.0)
        for id in admission.next(clock.now()).start:
            started += 1
            admission.finished(id, clock.now())
    assert started == 4


@pytest.mark.parametrize("tokens", [0, 1])
def test_preempted_request_past_its_deadline_is_not_called_not_run(tokens: int) -> None:
    """A request that was sent and then missed its deadline must not be repeated freely."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=1, paced=False), clock)
    admission.offer(make_work(1, Priority.BATCH, deadline=50.0))
    (batch,) = admission.next(0.0).start
    if tokens:
        admission.first_token(batch, 1.0)
    admission.offer(make_work(1))
    assert admission.next(1.0).preempt == (batch,)
    admission.preempted(batch, 1.0, tokens, kept=tokens > 0)
    ((refused, failure),) = admission.next(51.0).refuse
    assert refused == batch
    assert failure.outcome is Outcome.RAN


@pytest.mark.parametrize("factor", [2, 5])
def test_overload_keeps_goodput_and_refuses_at_once(factor: int) -> None:
    """What happens: editors send 2 and 5 times what the engine can answer within 10 s.

    Callers see either a whole answer in time or a refusal. Were the queue unbounded, every answer
    would come after its deadline and the engine would work for nobody.
    """
    normal = overload(1)
    crowded = overload(factor)
    assert crowded["answered"] >= 0.95 * normal["answered"]
    assert crowded["late"] <= 0.02 * crowded["answered"]
    assert crowded["slow refusals"] <= 0.08 * crowded["refused"]


@functools.cache
def overload(factor: int) -> dict[str, int]:
    """Return what callers got in the minute after half a minute below capacity."""
    top = 6.8 * factor
    arrivals = model.varying(1, lambda t: top if t > 30.0 else 6.0, top, deadline=10_000.0)
    _, online = model.run(AdmissionSettings(), arrivals, seconds=100.0)
    counted = [request for request in online if 30_000.0 <= request.arrived < 90_000.0]
    refused = [request for request in counted if request.refused]
    served = [request for request in counted if not request.refused]
    late = [request for request in served if (request.ended or model.FAR) > request.deadline]
    slow = [request for request in refused if (request.ended or 0.0) - request.arrived > 20.0]
    return {
        "answered": len(served) - len(late),
        "late": len(late),
        "refused": len(refused),
        "slow refusals": len(slow),
    }


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 7), st.integers(0, 30)), max_size=60))
def test_any_interleaving_keeps_the_promises(steps: list[tuple[int, int]]) -> None:
    """Whatever comes in whatever order: no slot is given twice and nobody waits beside free slots.

    Online requests never wait while a batch stream runs, suspects never run together, and each
    request is started at most once unless it was preempted.
    """
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=3), clock)
    running: dict[RequestId, Work] = {}
    works: dict[RequestId, Work] = {}
    for action, number in steps:
        clock.advance(number)
        apply_step(admission, clock.now(), action, number, running, works)
        decision = admission.next(clock.now())
        for id in decision.preempt:
            assert running.pop(id).priority is Priority.BATCH
            admission.preempted(id, clock.now(), 1, kept=bool(number % 2))
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
    running: dict[RequestId, Work],
    works: dict[RequestId, Work],
) -> None:
    """Apply one event; the number picks the request that it concerns."""
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
        admission.first_token(id, now)
    elif action == 5:
        admission.token(id, now, 2)
    elif action == 6:
        admission.finished(id, now)
        del running[id]
    else:
        admission.cancelled(id, now)
        del running[id]


def test_a_changed_target_is_followed() -> None:
    """An operator who loosens or tightens the slowdown sees batch work follow it at once.

    The control of batch work must not go on with the target it was made with, nor the slots.
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
    assert admission._pacer.width(clock.now()) == 16
    assert admission._dispatch._pacer is admission._pacer
    assert admission._dispatch._settings is loose
