"""Placement of requests on upstreams, and preemption of batch runs by online requests.

Load pattern: short bursts of online requests at nearly twice the fleet's average, on top of batch
work that fills the free slots. Engines admit requests in order of arrival and have no priorities,
so an online request behind eight batch items waits for one of them to end. Batch items therefore
leave a reserve of slots free. An online request that finds no free slot causes the cancellation of
a batch item, which later resumes after its last event.

An entry knows its own requests at once, and the requests of other entries from hints that are some
50 ms old.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from carobspool_core.direct._batch_order import BatchUrgency
from carobspool_core.direct._fleet_loads import NO_LOAD, Load
from carobspool_core.direct._upstreams import Upstream

BATCH_RESERVE = 2
"""Slots of each upstream that batch items leave free unless they run out of time. An online request
then finds a slot without waiting for a cancelled batch item to leave its slot (a network round trip
and one engine step), and few runs are cancelled. Batch work loses these slots, so a delayed item
may use one of them and an urgent item all. An online request that arrives then waits for the
cancellation, which costs the request far less than the item would lose."""
_RESERVE_USED_BY_BATCH = {
    BatchUrgency.DELAYED: 1,
    BatchUrgency.RESCUED: BATCH_RESERVE,
    BatchUrgency.URGENT: BATCH_RESERVE,
}
FULL_RESERVE_MIN_SLOTS = 6
"""Smaller upstreams reserve one slot only; two of four would halve the slots for batch items."""
SAMPLE_SIZE = 5
"""Size of the random sample from which the least loaded upstream is chosen. All entries see nearly
the same loads, 50 ms old. If each entry chose the least loaded of all upstreams, all entries would
choose the same upstream during that time."""
FULL_PENALTY = 0.25
"""Score added if no slot is free: an upstream with a free slot is better even if it runs more
online requests."""
SUSPECT_PENALTY = 100.0
"""Exceeds every load score, so that a suspect is chosen only if all candidates are suspects."""
OTHER_DOMAIN_PENALTY = 0.05
"""Breaks ties in favour of the same failure domain; far below the score of one slot, so that no
request waits for it."""
_JITTER = 0.01
_draw = random.Random()


def choose_upstream(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    failure_domain: str,
    queue_limit_of: Callable[[Upstream], int],
    suspects: frozenset[str] = frozenset(),
    draw: random.Random | None = None,
) -> Upstream | None:
    """Return the upstream for an online request, ``None`` if the queues of all upstreams are full.

    Chooses the least loaded upstream of a small random sample, or of all upstreams if the queues of
    the sample are full.

    Batch load has a low weight, since online requests preempt it. The weight is not 0, since a
    cancelled item needs its prompt processed again.

    Args:
        upstreams: Candidates.
        loads: Known requests in flight, by identity of the upstream.
        failure_domain: Failure domain in which the request is now.
        queue_limit_of: Returns how many online requests may wait at an upstream beyond its slots.
        suspects: Identities of upstreams that seem to have stopped.
        draw: Random numbers for the sample and for ties.
    """
    draw = draw or _draw
    sampled = _sample_healthy(upstreams, suspects, draw)
    if sampled:
        chosen = _least_loaded(sampled, loads, failure_domain, queue_limit_of, suspects, draw)
        if chosen is not None:
            return chosen
    return _least_loaded(upstreams, loads, failure_domain, queue_limit_of, suspects, draw)


def _sample_healthy(
    upstreams: Sequence[Upstream], suspects: frozenset[str], draw: random.Random
) -> Sequence[Upstream]:
    """Return `SAMPLE_SIZE` random upstreams that are not suspects, none if there are not more."""
    if len(upstreams) <= SAMPLE_SIZE:
        return ()
    # Draws enough upstreams that `SAMPLE_SIZE` healthy ones remain even if all suspects are drawn.
    # The cost does not depend on the number of upstreams.
    sample = draw.sample(upstreams, min(len(upstreams), SAMPLE_SIZE + 1 + len(suspects)))
    healthy = [candidate for candidate in sample if candidate.identity not in suspects]
    return healthy[:SAMPLE_SIZE] if len(healthy) > SAMPLE_SIZE else ()


def _least_loaded(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    failure_domain: str,
    queue_limit_of: Callable[[Upstream], int],
    suspects: frozenset[str],
    draw: random.Random,
) -> Upstream | None:
    best: Upstream | None = None
    best_score = float("inf")
    for upstream in upstreams:
        load = loads.get(upstream.identity, NO_LOAD)
        if load.online >= upstream.slots + queue_limit_of(upstream):
            continue
        score = load.online / upstream.slots
        if load.total >= upstream.slots:
            score += FULL_PENALTY
        score += load.batch / upstream.slots * 0.2
        if upstream.failure_domain != failure_domain:
            score += OTHER_DOMAIN_PENALTY
        if upstream.identity in suspects:
            score += SUSPECT_PENALTY
        score += draw.random() * _JITTER
        if score < best_score:
            best = upstream
            best_score = score
    return best


def choose_batch_upstream(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    urgency: BatchUrgency = BatchUrgency.ORDINARY,
    suspects: frozenset[str] = frozenset(),
    draw: random.Random | None = None,
) -> Upstream | None:
    """Return the upstream with the largest share of free slots for a batch item, if any."""
    draw = draw or _draw
    best: Upstream | None = None
    best_score = float("inf")
    for upstream in upstreams:
        if upstream.identity in suspects:
            continue
        load = loads.get(upstream.identity, NO_LOAD)
        free = _free_batch_slots_at(upstream, load, urgency)
        if free <= 0:
            continue
        score = -free / upstream.slots + draw.random() * _JITTER
        if score < best_score:
            best = upstream
            best_score = score
    return best


def free_batch_slots(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    urgency: BatchUrgency,
    suspects: frozenset[str] = frozenset(),
) -> int:
    """Return the number of slots that batch items of one urgency could use now."""
    free = 0
    for upstream in upstreams:
        if upstream.identity not in suspects:
            load = loads.get(upstream.identity, NO_LOAD)
            free += max(0, _free_batch_slots_at(upstream, load, urgency))
    return free


def _free_batch_slots_at(upstream: Upstream, load: Load, urgency: BatchUrgency) -> int:
    return upstream.slots - _reserve(upstream.slots, urgency) - load.total


def _reserve(slots: int, urgency: BatchUrgency) -> int:
    reserve = BATCH_RESERVE if slots >= FULL_RESERVE_MIN_SLOTS else min(1, slots - 1)
    return max(0, reserve - _RESERVE_USED_BY_BATCH.get(urgency, 0))


def excess_batch_runs(upstream: Upstream, load: Load) -> int:
    """Return how many batch runs at an upstream block online requests."""
    if load.online == 0:
        return 0
    return max(0, min(load.total - upstream.slots, load.batch))


def runs_to_cancel(
    upstream: Upstream, excess: int, batch_of_entries: Mapping[str, int], entry: str
) -> int:
    """Return how many of its batch runs at an upstream an entry cancels.

    Each entry decides without communication. All entries know the same order of entries, a hash
    order that differs for each upstream. The first entries in this order cancel all their runs
    until the excess is met. With proportional shares, rounded up, every entry with a run at the
    upstream would cancel one even if a single cancellation were enough.

    Args:
        upstream: The upstream.
        excess: Number of batch runs to cancel in total.
        batch_of_entries: Number of batch runs at the upstream by entry, from the last hints.
        entry: The entry that decides.
    """
    order = sorted(
        batch_of_entries, key=lambda name: xxh3_64_intdigest(f"{upstream.identity} {name}".encode())
    )
    for name in order:
        if name == entry:
            return min(excess, batch_of_entries[entry])
        excess -= min(excess, batch_of_entries[name])
    return 0
