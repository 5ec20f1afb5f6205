"""Tests of the fair queue over callers."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from carobspool_core import FairQueue, QueueBounds, RequestId, Ticket, make_fair_queue

FAR = 1e12


def make_ticket(
    count: int, caller: str, *, cost: float = 100.0, weight: float = 1.0, start_by: float = FAR
) -> Ticket[str]:
    """Return a ticket whose item is its caller."""
    id = RequestId("entry", count)
    return Ticket(id=id, caller=caller, weight=weight, cost=cost, start_by=start_by, item=caller)


def fill(queue: FairQueue[str], callers: dict[str, int], weights: dict[str, float]) -> None:
    """Queue so many requests of each caller, one caller after the other."""
    count = 0
    for caller, requests in callers.items():
        for _ in range(requests):
            count += 1
            queue.push(make_ticket(count, caller, weight=weights.get(caller, 1.0)), 0.0)


def test_hot_caller_does_not_delay_the_others() -> None:
    """A caller with one request is served second, however many a hot caller queued before."""
    queue: FairQueue[str] = make_fair_queue()
    fill(queue, {"hot": 200, "editor": 1}, {})
    served = [queue.pop(), queue.pop()]
    assert "editor" in [ticket.item for ticket in served if ticket is not None]


def test_service_follows_weights() -> None:
    """Of the first 40 served, a caller with three times the weight has three quarters."""
    queue: FairQueue[str] = make_fair_queue()
    fill(queue, {"heavy": 100, "light": 100}, {"heavy": 3.0})
    served = Counter(ticket.item for ticket in (queue.pop() for _ in range(40)) if ticket)
    assert abs(served["heavy"] - 30) <= 1


def test_full_queue_pushes_out_the_heaviest_caller_not_the_newcomer() -> None:
    """An editor still gets in when one caller's script has filled the queue."""
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=10, per_caller=10))
    fill(queue, {"hot": 10}, {})
    (pushed_out,) = queue.push(make_ticket(11, "editor"), 0.0).unwrap()
    assert pushed_out.item == "hot"
    assert not is_successful(queue.push(make_ticket(12, "hot"), 0.0))


def test_request_that_cannot_start_in_time_is_refused_with_when_to_come_back() -> None:
    """A request behind 1,000 tokens at one a millisecond is refused at once if it has 500 ms."""
    queue: FairQueue[str] = make_fair_queue()
    queue.set_rate(1.0)
    fill(queue, {"editor": 10}, {})
    refusal = queue.push(make_ticket(11, "editor", start_by=500.0), 0.0).failure()
    assert refusal.status == 429
    assert refusal.retry_after_ms is not None
    assert refusal.retry_after_ms >= 500.0


def test_expired_requests_come_out_at_once_and_in_time_order() -> None:
    """What can no longer start in time leaves the queue; the rest stays."""
    queue: FairQueue[str] = make_fair_queue()
    for count, start_by in enumerate([30.0, 10.0, 20.0]):
        queue.push(make_ticket(count, "editor", start_by=start_by), 0.0)
    assert queue.next_expiry() == 10.0
    assert [ticket.start_by for ticket in queue.expire(25.0)] == [10.0, 20.0]
    assert len(queue) == 1


def test_nothing_is_kept_of_idle_callers() -> None:
    """Of 30,000 callers that were served, an empty queue holds nothing."""
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=40_000))
    fill(queue, {f"poet-{index}": 1 for index in range(30_000)}, {})
    while queue.pop() is not None:
        continue
    assert queue.callers_held == 0


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from("abc"), st.integers(1, 500))))
def test_each_request_comes_out_once_whatever_happens(
    steps: list[tuple[int, str, int]],
) -> None:
    """Over any mix of pushes, pops, removals and expiries nothing is lost, doubled or overrun."""
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=6, per_caller=4))
    inside: set[RequestId] = set()
    for now, (action, caller, cost) in enumerate(steps):
        gone: list[Ticket[str]] = []
        if action <= 1:
            ticket = make_ticket(now, caller, cost=cost, start_by=now + cost)
            answer = queue.push(ticket, now)
            if is_successful(answer):
                inside.add(ticket.id)
                gone += answer.unwrap()
        elif action == 2:
            popped = queue.pop()
            assert (popped is None) == (not inside)
            gone += [popped] if popped is not None else []
        elif action == 3 and inside:
            removed = queue.remove(min(inside))
            gone += [removed] if removed is not None else []
        elif action == 4:
            gone += queue.expire(now)
        for ticket in gone:
            inside.remove(ticket.id)
        assert len(queue) == len(inside) <= 6
        assert queue.cost >= 0.0


def test_backlogged_callers_differ_by_at_most_one_request() -> None:
    """The gap in tokens served between two busy callers never exceeds their largest requests."""
    rng = random.Random(3)
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=4000, per_caller=1000))
    for count in range(1500):
        caller = "abc"[count % 3]
        queue.push(make_ticket(count, caller, cost=rng.randint(1, 500)), 0.0)
    served = Counter({"a": 0.0, "b": 0.0, "c": 0.0})
    for _ in range(900):
        ticket = queue.pop()
        assert ticket is not None
        served[ticket.item] += ticket.cost
        assert max(served.values()) - min(served.values()) <= 1000.0
