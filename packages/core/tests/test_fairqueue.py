"""Tests of fair queueing across callers."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from carobspool_core import FairQueue, FairQueueItem, QueueBounds, RequestId, make_fair_queue

FAR = 1e12


def make_ticket(
    count: int, caller: str, *, cost: float = 100.0, weight: float = 1.0, start_by: float = FAR
) -> FairQueueItem[str]:
    """Return a ticket whose item is its caller."""
    id = RequestId("entry", count)
    return FairQueueItem(
        id=id, caller=caller, weight=weight, cost=cost, start_by=start_by, item=caller
    )


def fill(queue: FairQueue[str], callers: dict[str, int], weights: dict[str, float]) -> None:
    """Queue the given number of requests of each caller, one caller after the other."""
    count = 0
    for caller, requests in callers.items():
        for _ in range(requests):
            count += 1
            queue.push(make_ticket(count, caller, weight=weights.get(caller, 1.0)), 0.0)


def test_hot_caller_does_not_delay_the_others() -> None:
    """A caller with one request is served second at the latest, behind 200 requests of another."""
    queue: FairQueue[str] = make_fair_queue()
    fill(queue, {"hot": 200, "editor": 1}, {})
    served = [queue.pop(), queue.pop()]
    assert "editor" in [ticket.item for ticket in served if ticket is not None]


def test_service_follows_weights() -> None:
    """A caller with three times the weight gets three quarters of the first 40 requests served."""
    queue: FairQueue[str] = make_fair_queue()
    fill(queue, {"heavy": 100, "light": 100}, {"heavy": 3.0})
    served = Counter(ticket.item for ticket in (queue.pop() for _ in range(40)) if ticket)
    assert abs(served["heavy"] - 30) <= 1


def test_full_queue_evicts_from_the_heaviest_caller() -> None:
    """A light caller is still queued after one caller has filled the queue."""
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=10, per_caller=10))
    fill(queue, {"hot": 10}, {})
    (evicted,) = queue.push(make_ticket(11, "editor"), 0.0).unwrap()
    assert evicted.item == "hot"
    assert not is_successful(queue.push(make_ticket(12, "hot"), 0.0))


def test_request_that_cannot_start_in_time_is_refused_with_a_retry_delay() -> None:
    """With 1,000 tokens queued at one per millisecond, a 500 ms deadline is refused immediately."""
    queue: FairQueue[str] = make_fair_queue()
    queue.set_throughput(1.0)
    fill(queue, {"editor": 10}, {})
    refusal = queue.push(make_ticket(11, "editor", start_by=500.0), 0.0).failure()
    assert refusal.status == 429
    assert refusal.retry_after_ms is not None
    assert refusal.retry_after_ms >= 500.0


def test_expire_removes_late_requests_in_deadline_order() -> None:
    """Requests that can no longer start in time are removed; the others stay."""
    queue: FairQueue[str] = make_fair_queue()
    for count, start_by in enumerate([30.0, 10.0, 20.0]):
        queue.push(make_ticket(count, "editor", start_by=start_by), 0.0)
    assert queue.next_expiry() == 10.0
    assert [ticket.start_by for ticket in queue.expire(25.0)] == [10.0, 20.0]
    assert len(queue) == 1


def test_idle_callers_leave_no_state() -> None:
    """After serving 30,000 callers, the empty queue has no state of any caller."""
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=40_000))
    fill(queue, {f"poet-{index}": 1 for index in range(30_000)}, {})
    while queue.pop() is not None:
        continue
    assert queue.caller_count == 0


@settings(derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from("abc"), st.integers(1, 500))))
def test_each_request_leaves_exactly_once_in_any_interleaving(
    steps: list[tuple[int, str, int]],
) -> None:
    """No mix of operations loses a request, returns one twice or exceeds the bounds."""
    queue: FairQueue[str] = make_fair_queue(QueueBounds(total=6, per_caller=4))
    queued: set[RequestId] = set()
    for now, (action, caller, cost) in enumerate(steps):
        removed_tickets: list[FairQueueItem[str]] = []
        if action <= 1:
            ticket = make_ticket(now, caller, cost=cost, start_by=now + cost)
            pushed = queue.push(ticket, now)
            if is_successful(pushed):
                queued.add(ticket.id)
                removed_tickets += pushed.unwrap()
        elif action == 2:
            popped = queue.pop()
            assert (popped is None) == (not queued)
            removed_tickets += [popped] if popped is not None else []
        elif action == 3 and queued:
            removed = queue.remove(min(queued))
            removed_tickets += [removed] if removed is not None else []
        elif action == 4:
            removed_tickets += queue.expire(now)
        for ticket in removed_tickets:
            queued.remove(ticket.id)
        assert len(queue) == len(queued) <= 6
        assert queue.cost >= 0.0


def test_backlogged_callers_differ_by_at_most_one_request() -> None:
    """Tokens served to any two busy callers differ by at most twice the largest request."""
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
