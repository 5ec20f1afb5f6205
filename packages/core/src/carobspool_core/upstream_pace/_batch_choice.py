"""Choice of the upstream of a batch item: where it is fast and harms no stream.

Load pattern: batch items fill the slots that streams leave free, on upstreams that differ in speed
and memory. An item at a slow upstream holds its slot for longer, and each item slows the streams
that run beside it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from carobspool_core._clock import Millis
from carobspool_core.direct import (
    NO_LOAD,
    BatchUrgency,
    Load,
    Upstream,
    choose_batch_upstream,
    free_batch_slots,
)
from carobspool_core.upstream_pace._estimates import UpstreamEstimates, Wanted, counts_parts

STREAM_WEIGHT = 0.5
"""Weight of a running stream beside that of a slot in use: an item slows each stream a little."""
JITTER = 0.01
"""As in the choice by slots."""
_draw = random.Random()


def choose_batch(
    estimates: UpstreamEstimates,
    upstreams: Sequence[Upstream],
    loads: Mapping[str, Load],
    wanted: Wanted,
    *,
    urgency: BatchUrgency,
    now: Millis,
    needs_room: bool = False,
    draw: random.Random | None = None,
) -> Upstream | None:
    """Return the upstream for a batch item, ``None`` if none has a slot for it.

    An item that fits into no upstream's memory is placed all the same, as an online request is: it
    would otherwise wait for an idle upstream, and the items behind it would wait too.

    Args:
        estimates: The entry's estimates.
        upstreams: Candidates of one service; the sequence must not change later.
        loads: Known requests in flight, by identity of the upstream.
        wanted: The item.
        urgency: Urgency of the item; a more urgent item may use more slots.
        now: Current time.
        needs_room: Whether to return ``None`` if the item fits into no upstream's memory.
        draw: Random numbers for ties.
    """
    if not upstreams:
        return None
    estimates.paces.refresh(now)
    if not counts_parts(wanted.demand) and estimates.paces.is_uniform(upstreams[0].service):
        chosen = choose_batch_upstream(
            upstreams, loads, urgency=urgency, suspects=wanted.suspects, draw=draw
        )
        if chosen is None or estimates.fits(chosen, loads, wanted):
            return chosen
    draw = draw or _draw
    estimates.add_parts(wanted, upstreams, now)
    best: Upstream | None = None
    best_score = float("inf")
    has_room = False
    for upstream in upstreams:
        free = free_batch_slots((upstream,), loads, urgency=urgency, suspects=wanted.suspects)
        if free <= 0:
            continue
        fits = estimates.fits(upstream, loads, wanted)
        if not fits and (has_room or needs_room):
            continue
        pace = estimates.paces.relative.get(upstream.identity, 1.0)
        online = loads.get(upstream.identity, NO_LOAD).online
        # The slot that the item takes is in use too, so that an idle slow upstream has a cost.
        used = (upstream.slots - free + 1 + STREAM_WEIGHT * online) / upstream.slots
        reading = estimates.expected(upstream, NO_LOAD, wanted) / wanted.mean_duration
        score = used * pace + reading + draw.random() * JITTER
        if score < best_score or fits > has_room:
            best, best_score, has_room = upstream, score, fits
    return best
