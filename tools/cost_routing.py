"""What the decisions of an entry cost, and how that grows with upstreams, entries and jobs.

Prints microseconds of processor time for one call, the least of five rounds.

    .venv/bin/python tools/cost_routing.py
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from random import Random

from carobspool_core import (
    DeclaredUpstream,
    Dispatcher,
    DispatchJob,
    Hint,
    HintKind,
    Load,
    LoadOrder,
    ManualClock,
    ModelVersion,
    Router,
    RouteRequest,
    SidecarState,
    SubsetAssignment,
    UpstreamModels,
    WeightStoreLimits,
    make_dispatcher,
    make_gossip,
    make_retry_policy,
    make_router,
    make_subset_assignment,
    make_suspect_table,
    plan_model_loads,
    preferred_node,
    unavailable,
)

ROUNDS = 5
ENTRIES = 380


def main() -> None:
    """Print all tables."""
    print("| call | size | microseconds |")
    print("|---|---|---|")
    for count in (9, 24, 168, 414, 2_900):
        _routing(count)
    for count in (20, 1_000, 18_000):
        _dispatch(count)
    for sidecars in (24, 168, 414, 2_900):
        _subsets(sidecars)
    for count in (9, 414, 2_900):
        _plan(count)
    _small()


def _cost(name: str, size: str, calls: int, run: Callable[[int], object]) -> None:
    best = float("inf")
    for _ in range(ROUNDS):
        start = time.process_time()
        for n in range(calls):
            run(n)
        best = min(best, time.process_time() - start)
    print(f"| {name} | {size} | {best / calls * 1e6:.1f} |", flush=True)


def _load(tokens: int) -> Load:
    return Load(
        state=SidecarState.READY,
        running=4,
        queued=0,
        tokens=tokens,
        slots=32,
        batch_credits=4,
        targets=("m",),
        revision=1,
        first_token=50.0,
        fencing_epoch=1,
    )


def _router(count: int) -> Router:
    router = make_router(ManualClock(), Random(1))
    router.set_upstreams(
        [
            DeclaredUpstream(host=f"up-{n}", failure_domain=f"fd-{n % 15}", targets=("m",))
            for n in range(count)
        ]
    )
    rng = Random(2)
    for n in range(count):
        router.apply_load_report(f"up-{n}", _load(rng.randrange(9_000)), 0.0)
    return router


def _routing(count: int) -> None:
    router = _router(count)
    plain = RouteRequest(target="m", cost_tokens=430, failure_domain="fd-1")
    _cost("pick, no prefix", f"{count} upstreams", 2_000, lambda n: router.pick(plain, 1.0))
    prefixed = [
        RouteRequest(target="m", cost_tokens=430, failure_domain="fd-1", prefix_key=f"p{n}")
        for n in range(200)
    ]
    _cost("pick, prefix", f"{count} upstreams", 200, lambda n: router.pick(prefixed[n], 1.0))

    def one_request(n: int) -> None:
        router.record_start("up-1", n, 430, 1.0)
        router.record_first_token("up-1", n, 30.0)
        router.record_end("up-1", n, True, 900.0)

    _cost("started + first_token + ended", f"{count} upstreams", 2_000, one_request)
    loads = [_load(n) for n in range(50)]
    _cost(
        "observe",
        f"{count} upstreams",
        2_000,
        lambda n: router.apply_load_report("up-2", loads[n % 50], 2.0),
    )
    hosts = [f"up-{n}" for n in range(count)]
    _cost("rendezvous owner", f"{count} nodes", 100, lambda n: preferred_node(f"k{n}", hosts))


def _dispatcher(count: int) -> Dispatcher:
    dispatcher = make_dispatcher(ManualClock(), entry_count=ENTRIES)
    for n in range(count):
        share = DispatchJob(
            id=f"job-{n}",
            organisation=f"org-{n % max(1, count // 3)}",
            weight=1.0 + n % 3,
            due_at=3_600_000.0 * (1 + n % 24),
            items_left=100_000,
        )
        dispatcher.add_job(share)
        dispatcher.add_ready_items(share.id, 100_000)
    return dispatcher


def _dispatch(count: int) -> None:
    tracemalloc.start()
    dispatcher = _dispatcher(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    _cost(
        "take, each item of 32 credits",
        f"{count} jobs, {size / 1e6:.1f} MB",
        200 * 32,
        _taker(dispatcher),
    )
    _cost(
        "offer",
        f"{count} jobs",
        2_000,
        lambda n: dispatcher.add_ready_items(f"job-{n % count}", 256),
    )


def _taker(dispatcher: Dispatcher) -> Callable[[int], object]:
    def take(n: int) -> None:
        if n % 32 == 0:
            dispatcher.assign_credits(32, n * 2.0)

    return take


def _subsets(sidecars: int) -> None:
    entries = [f"entry-{n}" for n in range(ENTRIES)]
    hosts = [f"up-{n}" for n in range(sidecars)]
    size = f"{ENTRIES} entries, {sidecars} sidecars of a model"

    def fresh(n: int) -> SubsetAssignment:
        subsets = make_subset_assignment()
        subsets.set_members(entries, hosts)
        subsets.sidecars_of("entry-9")
        return subsets

    _cost("subset, first time", size, 1, fresh)
    subsets = fresh(0)

    def change(n: int) -> None:
        subsets.set_members(entries[1:] if n % 2 else entries, hosts)
        subsets.sidecars_of("entry-9")

    _cost("subset, one entry changed", size, 2, change)


def _plan(count: int) -> None:
    old = ModelVersion(model="m", version="1")
    new = ModelVersion(model="m", version="2")
    fleet = [
        UpstreamModels(
            host=f"up-{n}",
            failure_domain=f"fd-{n % 15}",
            declared=frozenset({new}),
            ready=frozenset({old}),
        )
        for n in range(count)
    ]
    limits = WeightStoreLimits(bytes_per_second=1e9, max_concurrent_loads=8)

    def plan(n: int) -> list[LoadOrder]:
        return plan_model_loads(fleet, {"m": 10**10}, limits)

    _cost("plan of a new version everywhere", f"{count} upstreams", 2, plan)


def _small() -> None:
    clock = ManualClock()
    retry = make_retry_policy(clock)
    failure = unavailable("no_upstream", "")

    def request_and_failure(n: int) -> None:
        retry.record_request()
        retry.consume_retry(failure, True, 1, 1e9, False, float(n))

    _cost("retry: request + may_retry", "-", 5_000, request_and_failure)
    suspects = make_suspect_table(clock)
    suspects.record_crash("up-1", [f"f{n}" for n in range(20_000)], 0.0)
    _cost("suspects: check", "20,000 records", 5_000, lambda n: suspects.check(f"f{n}", 1.0))
    gossip = make_gossip(clock, Random(1))
    links = [f"entry-{n}" for n in range(10)]
    hints = [
        Hint(kind=HintKind.JOB_CHANGED, subject="j", origin=f"e{n % 380}", sequence=n)
        for n in range(5_000)
    ]

    def pass_on(n: int) -> None:
        gossip.record_if_new(hints[n])
        gossip.choose_links(hints[n], links, 100, float(n))

    _cost("gossip: is_new + links_for", "380 origins, 10 links", 5_000, pass_on)


if __name__ == "__main__":
    main()
