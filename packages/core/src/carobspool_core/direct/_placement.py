"""Choice of an upstream for a request, and of the batch runs that give way to it.

Load pattern: short bursts of online requests at nearly twice the fleet's average, over batch work
that fills what is free. Engines admit in order of arrival and know no priorities, so an online
request behind eight batch items waits for one of them to end. Hence batch items fill upstreams only
up to a reserve, and an online request that finds every place taken has a batch item cancelled,
which later resumes at its next event.

Each entry sees its own requests at once and those of the others by hints some 50 ms old.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from xxhash import xxh3_64_intdigest

from carobspool_core.direct._batch_order import BatchUrgency
from carobspool_core.direct._fleet_loads import NO_LOAD, Load
from carobspool_core.direct._upstreams import Upstream

BATCH_RESERVE = 2
"""Slots of each upstream that batch items leave free while there is time, so that an online request
finds one without waiting for a cancelled batch item to leave its slot (a network round trip and one
engine step), and few runs are cut. They are lost to batch work: a delayed item takes one of them,
an urgent one all. Should an online request come then, it waits for the cancellation, which costs it
far less than the item would lose."""
_TAKEN_OF_RESERVE = {
    BatchUrgency.DELAYED: 1,
    BatchUrgency.RESCUED: BATCH_RESERVE,
    BatchUrgency.URGENT: BATCH_RESERVE,
}
SMALL_UPSTREAM = 6
"""Slots below which one is enough in reserve; two of four would halve the room for batch items."""
SAMPLED = 5
"""Upstreams drawn at random among which the least loaded one is chosen. All entries see nearly the
same loads, 50 ms old; choosing the least loaded of all would send everybody to the same upstream
in that time."""
FULL_PENALTY = 0.25
"""Added when no slot is free: another upstream is better although more online requests run there.
"""
SUSPECT_PENALTY = 100.0
"""Larger than any load in slots: a suspect is chosen only when all the others are suspects too."""
OTHER_DOMAIN_PENALTY = 0.05
"""Breaks ties in favour of the same failure domain; far below one slot, so it costs no wait."""
_JITTER = 0.01
_draw = random.Random()


def choose_upstream(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    failure_domain: str,
    queue: Callable[[Upstream], int],
    suspects: frozenset[str] = frozenset(),
    draw: random.Random | None = None,
) -> Upstream | None:
    """Return the upstream for an online request, ``None`` when every one is overfull.

    The least loaded of a few drawn at random; all are looked at when those are overfull.

    Batch load counts only a little: it gives way. It still counts, since a cancelled item costs
    a second reading of its prompt.

    Args:
        upstreams: Candidates.
        loads: What is known to be in flight, by identity.
        failure_domain: Where the request is now.
        queue: How many online requests may wait at an upstream beyond its slots.
        suspects: Identities of upstreams that seem to have stopped.
        draw: Breaks ties.
    """
    draw = draw or _draw
    sampled = _draw_sound(upstreams, suspects, draw)
    if sampled:
        found = _least_loaded(sampled, loads, failure_domain, queue, suspects, draw)
        if found is not None:
            return found
    return _least_loaded(upstreams, loads, failure_domain, queue, suspects, draw)


def _draw_sound(
    upstreams: Sequence[Upstream], suspects: frozenset[str], draw: random.Random
) -> Sequence[Upstream]:
    """Return `SAMPLED` upstreams that are no suspects, none if there are no more than that."""
    if len(upstreams) <= SAMPLED:
        return ()
    # However many upstreams there are, only as many are looked at as could be suspects.
    drawn = draw.sample(upstreams, min(len(upstreams), SAMPLED + 1 + len(suspects)))
    sound = [each for each in drawn if each.identity not in suspects]
    return sound[:SAMPLED] if len(sound) > SAMPLED else ()


def _least_loaded(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    failure_domain: str,
    queue: Callable[[Upstream], int],
    suspects: frozenset[str],
    draw: random.Random,
) -> Upstream | None:
    best: Upstream | None = None
    best_score = float("inf")
    for upstream in upstreams:
        load = loads.get(upstream.identity, NO_LOAD)
        if load.online >= upstream.slots + queue(upstream):
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
    """Return the upstream with most free places for a batch item, ``None`` when there is none."""
    draw = draw or _draw
    best: Upstream | None = None
    best_score = float("inf")
    for upstream in upstreams:
        if upstream.identity in suspects:
            continue
        load = loads.get(upstream.identity, NO_LOAD)
        free = _free_for_batch(upstream, load, urgency)
        if free <= 0:
            continue
        score = -free / upstream.slots + draw.random() * _JITTER
        if score < best_score:
            best = upstream
            best_score = score
    return best


def room_for_batch(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    urgency: BatchUrgency,
    suspects: frozenset[str] = frozenset(),
) -> int:
    """Return how many batch items of one urgency could start now."""
    room = 0
    for upstream in upstreams:
        if upstream.identity not in suspects:
            load = loads.get(upstream.identity, NO_LOAD)
            room += max(0, _free_for_batch(upstream, load, urgency))
    return room


def _free_for_batch(upstream: Upstream, load: Load, urgency: BatchUrgency) -> int:
    return upstream.slots - _reserve(upstream.slots, urgency) - load.total


def _reserve(slots: int, urgency: BatchUrgency) -> int:
    reserve = BATCH_RESERVE if slots >= SMALL_UPSTREAM else min(1, slots - 1)
    return max(0, reserve - _TAKEN_OF_RESERVE.get(urgency, 0))


def excess_of_batch(upstream: Upstream, load: Load) -> int:
    """Return how many batch runs at an upstream stand in the way of online requests."""
    if load.online == 0:
        return 0
    return max(0, min(load.total - upstream.slots, load.batch))


def share_of_excess(
    upstream: Upstream, excess: int, batch_of_entries: Mapping[str, int], entry: str
) -> int:
    """Return how many of its batch runs one entry cancels, of the excess at an upstream.

    Each entry decides alone. In an order that all of them know, drawn anew for each upstream, the
    first ones cancel all that they run there until the excess is met. Shared out in proportion and
    rounded up, every entry with a run there would cancel one where one is needed in all.

    Args:
        upstream: The upstream.
        excess: How many runs are too many.
        batch_of_entries: Batch runs there by entry, by the last hints.
        entry: The entry that decides.
    """
    order = sorted(
        batch_of_entries, key=lambda each: xxh3_64_intdigest(f"{upstream.identity} {each}".encode())
    )
    for each in order:
        if each == entry:
            return min(excess, batch_of_entries[entry])
        excess -= min(excess, batch_of_entries[each])
    return 0
