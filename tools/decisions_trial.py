"""What dispatch, subsets, suspects and retries are worth: each with a simpler way, in one run.

.venv/bin/python tools/decisions_trial.py --seeds 5
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable
from random import Random
from statistics import mean

from carobspool_core import (
    DispatchJob,
    ManualClock,
    Millis,
    VerdictKind,
    make_dispatcher,
    make_subset_assignment,
    make_suspect_table,
    preferred_nodes,
)

FAR: Millis = 1e12
CREDITS = 20
"""Credits of a tick of 100 ms, revoked in 3 s of every 12 s by an online burst."""

Take = Callable[[int, Millis], list[str]]


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(1, parser.parse_args().seeds + 1)
    print("| dispatch | small jobs end after, mean s | of 10 due jobs late | large jobs, share |")
    print("|---|---|---|---|")
    for name, make in DISPATCHES.items():
        rows = [_run_dispatch(make, seed) for seed in seeds]
        small, late, large = (mean(column) for column in zip(*rows, strict=True))
        print(f"| {name} | {small:.0f} | {late:.1f} | {large:.2f} |", flush=True)
    print("\n| subsets, 380 entries x 414 sidecars | entries of a sidecar, least-greatest |")
    print("|---|---|")
    for name, assign in SUBSETS.items():
        print(f"| {name} | {assign(380, 414)} |", flush=True)
    print("\n| subsets, 6 entries x 100 sidecars | entries of a sidecar, least-greatest |")
    print("|---|---|")
    for name, assign in SUBSETS.items():
        print(f"| {name} | {assign(6, 100)} |", flush=True)
    print("\n| suspects, 9 upstreams, 40 resends | upstreams taken down, mean |")
    print("|---|---|")
    for name, isolate in (("isolation", True), ("none", False)):
        print(f"| {name} | {mean(_crashes(isolate, seed) for seed in seeds):.1f} |", flush=True)


def _jobs(rng: Random) -> list[DispatchJob]:
    """Ten jobs of 560,000 items, 40 of about 20, 10 of 5,000 that are due in ten minutes."""
    jobs = [_job(f"a-large-{n}", "large", 560_000) for n in range(10)]
    for n in range(40):
        jobs.append(_job(f"small-{n}", f"org-{n % 8}", rng.randrange(10, 31)))
    for n in range(10):
        jobs.append(_job(f"due-{n}", "large", rng.randrange(4_000, 6_000), due=600_000.0))
    return jobs


def _job(id: str, organisation: str, items: int, due: Millis = FAR) -> DispatchJob:
    return DispatchJob(id=id, organisation=organisation, weight=1.0, due_at=due, items_left=items)


def _dispatcher(jobs: list[DispatchJob], *, urgency: bool = True) -> Take:
    dispatcher = make_dispatcher(ManualClock())
    for job in jobs:
        due = job.due_at if urgency else FAR
        dispatcher.add_job(_job(job.id, job.organisation, job.items_left, due))
        dispatcher.add_ready_items(job.id, job.items_left)
    return dispatcher.assign_credits


def _in_order(jobs: list[DispatchJob]) -> Take:
    waiting = [[job.id, job.items_left] for job in jobs]

    def take(credits: int, now: Millis) -> list[str]:
        taken: list[str] = []
        while waiting and len(taken) < credits:
            id, items = waiting[0]
            count = min(int(items), credits - len(taken))
            taken.extend([str(id)] * count)
            waiting[0][1] = int(items) - count
            if not waiting[0][1]:
                waiting.pop(0)
        return taken

    return take


def _earliest_due(jobs: list[DispatchJob]) -> Take:
    return _in_order(sorted(jobs, key=lambda job: job.due_at))


DISPATCHES: dict[str, Callable[[list[DispatchJob]], Take]] = {
    "weighted, urgent first": _dispatcher,
    "weighted alone": lambda jobs: _dispatcher(jobs, urgency=False),
    "order of arrival": _in_order,
    "earliest due first": _earliest_due,
}


def _run_dispatch(
    make: Callable[[list[DispatchJob]], Take], seed: int
) -> tuple[float, float, float]:
    rng = Random(seed)
    jobs = _jobs(rng)
    left = {job.id: job.items_left for job in jobs}
    take = make(jobs)
    ended: dict[str, Millis] = {}
    served: Counter[str] = Counter()
    for tick in range(9_000):
        now = tick * 100.0
        for id in take(0 if tick % 120 < 30 else CREDITS, now):
            served[id] += 1
            left[id] -= 1
            if not left[id]:
                ended[id] = now
    horizon = 900_000.0
    small = [ended.get(job.id, horizon) / 1000.0 for job in jobs if job.id.startswith("small")]
    due = [job for job in jobs if job.id.startswith("due")]
    late = sum(ended.get(job.id, horizon) > job.due_at for job in due)
    large = sum(count for id, count in served.items() if id.startswith("a-large"))
    return mean(small), float(late), large / served.total()


def _by_sidecars(entries: int, sidecars: int) -> str:
    subsets = make_subset_assignment()
    subsets.set_members(
        [f"entry-{n}" for n in range(entries)], [f"up-{n}" for n in range(sidecars)]
    )
    return _spread(subsets.all_subsets(), sidecars)


def _by_entries(entries: int, sidecars: int) -> str:
    hosts = [f"up-{n}" for n in range(sidecars)]
    return _spread(
        {f"entry-{n}": preferred_nodes(f"entry-{n}", hosts, 24) for n in range(entries)}, sidecars
    )


def _spread(assigned: dict[str, list[str]], sidecars: int) -> str:
    counts = Counter(host for hosts in assigned.values() for host in hosts)
    least = min(counts.values()) if len(counts) == sidecars else 0
    size = max(len(hosts) for hosts in assigned.values())
    return f"{least}-{max(counts.values())}, entries hold up to {size}"


SUBSETS = {"from the sidecars": _by_sidecars, "each entry its own 24": _by_entries}


def _crashes(isolate: bool, seed: int) -> int:
    """Send one crashing request 40 times through three entries; hints arrive between sends."""
    rng = Random(seed)
    entries = [make_suspect_table(ManualClock()) for _ in range(3)]
    down: set[int] = set()
    for n in range(40):
        entry = entries[rng.randrange(3)]
        now = n * 10.0
        verdict = entry.check("f", now)
        if isolate and verdict.kind is VerdictKind.QUARANTINED:
            continue
        host = rng.randrange(9)
        down.add(host)
        for change in entry.record_crash(f"up-{host}", ["f"], now, crash_id=f"{n}"):
            for other in entries:
                other.merge("f", change.values, now)
    return len(down)


if __name__ == "__main__":
    main()
