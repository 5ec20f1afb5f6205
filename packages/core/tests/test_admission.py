"""Tests of the upstream admission, judged by what callers receive from a simulated engine."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

import _engine_model as model  # noqa: E402

from carobspool_core import (  # noqa: E402
    Admission,
    AdmissionMode,
    AdmissionSettings,
    ManualClock,
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
    assert admission.next(clock.now()).start == (victim,)


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
