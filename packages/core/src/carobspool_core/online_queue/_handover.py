"""Which entry uses a slot next that a request has left, and the handovers that last.

Load pattern: requests wait at dozens of entries for the same slots, and information about other
entries is up to 50 ms old. If all entries decided about a free slot by that information, two of
them would start a request there within one hint's age. Only the entry whose request leaves the slot
knows of it without delay, so it uses the slot or hands it over to one peer.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Mapping
from itertools import accumulate, islice
from random import Random

from carobspool_core.online_queue._entry_queue import STARTS_PER_TURN, WaitingClass
from carobspool_core.online_queue._fleet_waiting import FleetWaiting

MIN_SURPLUS = 2
"""A slot goes to a peer in the same class that has at least this many more requests waiting, so
that the peer still has more than this entry afterwards. A slot that is handed over stays empty for
some 60 ms, which a smaller difference does not outweigh."""


def choose_receiver(
    own: Mapping[WaitingClass, int],
    peers: FleetWaiting,
    promised: Mapping[str, int],
    draw: Random,
) -> tuple[str, WaitingClass] | None:
    """Return which peer uses a slot next that a request of this entry has left.

    Args:
        own: Numbers of the requests that wait here, by rank and class.
        peers: The requests that wait at the peers.
        promised: Slots that are handed over to peers and not used yet.
        draw: Random numbers.

    Returns:
        The name of the peer and the class of its request, or ``None`` if this entry keeps the slot.
    """
    first = min(own, default=None)
    left = dict(promised)
    for waiting in peers.classes():
        if first is not None and waiting > first:
            return None
        counts = _not_promised(peers.by_peer(waiting), left)
        sums = list(accumulate(counts.values()))
        if not sums[-1]:
            continue
        index = bisect(sums, draw.random() * sums[-1], hi=len(sums) - 1)
        name = next(islice(counts, index, None))
        if waiting == first:
            if counts[name] < own[first] + MIN_SURPLUS:
                return None
        elif first is not None and draw.random() < 1.0 / STARTS_PER_TURN:
            return None
        return name, waiting
    return None


def _not_promised(counts: Mapping[str, int], promised: dict[str, int]) -> Mapping[str, int]:
    """Return the waiting requests that have no slot yet, and subtract the others from promises."""
    names = promised.keys() & counts.keys()
    if not names:
        return counts
    left = dict(counts)
    for name in names:
        used = min(promised[name], left[name])
        promised[name] -= used
        left[name] -= used
    return left
