"""Print what each decision of the admission costs, in microseconds a call, and how that grows."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

from carobspool_core import (
    AdmissionRequest,
    AdmissionSettings,
    Caller,
    FairQueueItem,
    Limits,
    ManualClock,
    Organisation,
    Priority,
    QueueBounds,
    RequestId,
    make_admission,
    make_fair_queue,
    make_limiter,
)

CALLERS = (30, 300, 3_000, 30_000)
FAR = 1e12
FREE = Organisation(name="free")


def measure(calls: int, body: Callable[[int], object]) -> float:
    """Return microseconds of processor time a call of ``body``."""
    began = time.process_time()
    for index in range(calls):
        body(index)
    return (time.process_time() - began) * 1e6 / calls


def queue_costs(callers: int) -> tuple[float, float, float]:
    """Return the cost of push, pop and remove with one request of each caller waiting."""
    queue = make_fair_queue(QueueBounds(total=4 * callers, per_caller=64))
    queue.set_throughput(1.0)

    def ticket(index: int) -> FairQueueItem[int]:
        id = RequestId("e", index)
        name = f"caller-{index % callers}"
        return FairQueueItem(
            id=id, caller=name, weight=1.0, cost=100 + index % 900, start_by=FAR, item=index
        )

    tickets = [ticket(index) for index in range(2 * callers)]
    push = measure(2 * callers, lambda index: queue.push(tickets[index], 0.0))
    remove = measure(callers // 2, lambda index: queue.remove(RequestId("e", index * 2)))
    pop = measure(callers, lambda index: queue.pop())
    return push, pop, remove


def limiter_costs(callers: int) -> tuple[float, float, float, int]:
    """Return the cost of admit and release, of a report over all, and bytes an active account."""
    limiter = make_limiter(ManualClock(), "entry-0")
    limiter.set_live_entries([f"entry-{index}" for index in range(4)])
    limits = Limits(requests_per_minute=600, tokens_per_minute=600_000, concurrent=32)
    names = [f"organisation-{index}" for index in range(callers)]
    organisations = [Organisation(name=name, limits=limits) for name in names]
    caller = Caller(id="c", organisation="o", key_hashes=())
    tracemalloc.start()
    grants = [limiter.admit(caller, each, 100, 0.0).unwrap() for each in organisations]
    size = tracemalloc.get_traced_memory()[0] // callers
    tracemalloc.stop()
    release = measure(callers, lambda index: limiter.release(grants[index], 100, 0.0))
    admit = measure(callers, lambda index: limiter.admit(caller, organisations[index], 1, 1.0))
    report = measure(1, lambda index: limiter.measure_demand(1000.0))
    return admit + release, report, report / callers, size


def admission_costs(streams: int) -> tuple[float, float]:
    """Return the cost of a token, and of a whole online request without its tokens."""
    clock = ManualClock()
    admission = make_admission(AdmissionSettings(slots=streams), clock)

    def work(index: int, priority: Priority) -> AdmissionRequest:
        id = RequestId(priority.name, index)
        name = f"caller-{index % 50}"
        return AdmissionRequest(
            id=id,
            priority=priority,
            caller=name,
            weight=1.0,
            prompt_tokens=300,
            cost_tokens=400,
            deadline=FAR,
        )

    running: list[RequestId] = []
    for index in range(streams):
        admission.offer(work(index, Priority.BATCH))
        for id in admission.decide(clock.now()).start:
            admission.record_first_token(id, clock.now())
            running.append(id)

    def token(index: int) -> None:
        clock.advance(0.02)
        admission.record_tokens(running[index % len(running)], clock.now())

    def online(index: int) -> None:
        clock.advance(20.0)
        now = clock.now()
        admission.offer(work(index, Priority.ONLINE))
        decision = admission.decide(now)
        for id in decision.preempt:
            admission.requeue_preempted(id, now, 10, True)
        id = decision.start[0]
        admission.record_first_token(id, now + 5.0)
        admission.record_end(id, now + 9.0)
        admission.decide(now + 9.0)

    return measure(100_000, token), measure(5_000, online)


def main() -> None:
    """Print the tables."""
    print("fair queue, us a call:    callers    push     pop  remove")
    for callers in CALLERS:
        push, pop, remove = queue_costs(callers)
        print(f"{callers:33} {push:7.2f} {pop:7.2f} {remove:7.2f}")
    print("limiter, us: accounts  admit+release   report  a report's account  bytes an account")
    for callers in CALLERS:
        admit, report, each, size = limiter_costs(callers)
        print(f"{callers:21} {admit:14.2f} {report:8.0f} {each:19.2f} {size:17}")
    print("admission, us: slots   a token  an online request")
    for streams in (8, 32, 128, 512):
        token, online = admission_costs(streams)
        print(f"{streams:20} {token:9.2f} {online:18.1f}")


if __name__ == "__main__":
    main()
