"""Choice of an upstream for a request, and of the batch runs that give way to it.

Load pattern: short bursts of online requests at nearly twice the fleet's average, over batch work
that fills what is free. Engines admit in order of arrival and know no priorities, so an online
request behind eight batch items waits for one of them to end. Hence batch items fill upstreams only
up to a reserve, and an online request that finds every place taken has a batch item cancelled,
which later resumes at its next event.

Each entry sees its own requests at once and those of the others by hints some 100 ms old.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from carobspool_core.direct._upstreams import Upstream

BATCH_RESERVE = 1
"""Slots of each upstream that batch items leave free, so that an online request finds one without
waiting for a cancelled batch item to leave its slot (a network round trip and one engine step)."""
SUSPECT_PENALTY = 100.0
"""Larger than any load in slots: a suspect is chosen only when all the others are suspects too."""
OTHER_DOMAIN_PENALTY = 0.05
"""Breaks ties in favour of the same failure domain; far below one slot, so it costs no wait."""
_JITTER = 0.01


@dataclass(frozen=True, slots=True)
class Load:
    """Requests in flight at one upstream, from all entries, as far as they are known."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """Online and batch requests together."""
        return self.online + self.batch


def choose_upstream(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    failure_domain: str,
    queue: Callable[[Upstream], int],
    suspects: frozenset[str] = frozenset(),
    draw: Callable[[], float] = random.random,
) -> Upstream | None:
    """Return the upstream for an online request, ``None`` when every one is overfull.

    Batch load counts only a little: it gives way. It still counts, since a cancelled item costs
    a second reading of its prompt.

    Args:
        upstreams: Candidates.
        loads: What is known to be in flight.
        failure_domain: Where the request is now.
        queue: How many online requests may wait at an upstream beyond its slots.
        suspects: Upstreams that seem to have stopped.
        draw: Breaks ties.
    """
    best: Upstream | None = None
    best_score = float("inf")
    for upstream in upstreams:
        load = loads.get(upstream.instance, Load())
        if load.online >= upstream.slots + queue(upstream):
            continue
        score = load.online / upstream.slots
        if load.total >= upstream.slots:
            score += 0.25
        score += load.batch / upstream.slots * 0.2
        if upstream.failure_domain != failure_domain:
            score += OTHER_DOMAIN_PENALTY
        if upstream.instance in suspects:
            score += SUSPECT_PENALTY
        score += draw() * _JITTER
        if score < best_score:
            best = upstream
            best_score = score
    return best


def choose_batch_upstream(
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    *,
    suspects: frozenset[str] = frozenset(),
    draw: Callable[[], float] = random.random,
) -> Upstream | None:
    """Return the upstream with most free places for a batch item, ``None`` when there is none."""
    best: Upstream | None = None
    best_score = float("inf")
    for upstream in upstreams:
        if upstream.instance in suspects:
            continue
        load = loads.get(upstream.instance, Load())
        free = upstream.slots - BATCH_RESERVE - load.total
        if free <= 0:
            continue
        score = -free / upstream.slots + draw() * _JITTER
        if score < best_score:
            best = upstream
            best_score = score
    return best


def excess_of_batch(upstream: Upstream, load: Load, own_batch: int) -> int:
    """Return how many of its own batch runs an entry cancels at an upstream.

    Only what stands in the way of online requests gives way; the entries share the excess in
    proportion to what each of them runs there, rounded up.
    """
    if own_batch == 0 or load.online == 0:
        return 0
    excess = min(load.total - upstream.slots, load.batch)
    if excess <= 0:
        return 0
    return min(own_batch, -(-excess * own_batch // max(load.batch, own_batch)))
