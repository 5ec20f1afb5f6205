"""Choice of an upstream of the own failure domain before others.

Load pattern: many entries and upstreams in several failure domains. Every request to another domain
crosses the links between domains, and its load hint has to cross them too before entries there know
of it. Requests therefore stay in their domain while that costs them no waiting.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from msgspec import Struct

from carobspool_core.direct import NO_LOAD, Load, Upstream

MAX_EXTRA_SHARE = 0.125
"""One of eight slots. Servers slow down as they fill: with two slots, a service with one server in
each domain answered its calls a third later."""
MAX_EXTRA_BATCH_SLOTS = 2
"""A batch item waits for no slot, so a difference of the reserve's size costs it nothing."""

MAX_SPLITS = 16
"""Cached splits, one for each list of a service; a split of 2,900 upstreams takes 0.3 ms, and the
list of a service stays the same object until the service changes."""

Choose = Callable[[Sequence[Upstream]], Upstream | None]


class _Split(Struct, frozen=True, kw_only=True):
    """Upstreams of the own domain and of the others; keeps ``upstreams`` alive, so its id holds."""

    upstreams: Sequence[Upstream]
    own: Sequence[Upstream]
    elsewhere: Sequence[Upstream]


class OwnDomainFirst:
    """Prefers upstreams of one failure domain. Not thread-safe.

    Args:
        failure_domain: Failure domain of the entry.
    """

    __slots__ = ("_failure_domain", "_splits")

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._splits: dict[int, _Split] = {}

    def choose_online(
        self,
        upstreams: Sequence[Upstream],
        loads: Mapping[str, Load],
        *,
        suspects: frozenset[str],
        choose: Choose,
    ) -> Upstream | None:
        """Return the upstream for an online request, of the own domain if that costs little.

        An upstream of the own domain is chosen while it has a free slot and its share of slots in
        use exceeds that of the upstream chosen elsewhere by at most `MAX_EXTRA_SHARE`.

        Args:
            upstreams: Candidates; the sequence must not change later.
            loads: Known requests in flight, by identity of the upstream.
            suspects: Identities of upstreams that seem to have stopped.
            choose: Chooses among upstreams without regard to this preference.
        """
        split = self._split(upstreams)
        if not split.own or not split.elsewhere:
            return choose(upstreams)
        near = choose(split.own)
        if near is None or near.identity in suspects:
            return choose(upstreams)
        load = loads.get(near.identity, NO_LOAD)
        if load.total >= near.slots:
            return choose(upstreams)
        far = choose(split.elsewhere)
        if far is None or far.identity in suspects:
            return near
        far_share = loads.get(far.identity, NO_LOAD).total / far.slots
        return near if load.total / near.slots <= far_share + MAX_EXTRA_SHARE else far

    def choose_batch(
        self, upstreams: Sequence[Upstream], loads: Mapping[str, Load], *, choose: Choose
    ) -> Upstream | None:
        """Return the upstream for a batch item; the own domain breaks ties of up to two slots.

        Args:
            upstreams: Candidates; the sequence must not change later.
            loads: Known requests in flight, by identity of the upstream.
            choose: Chooses among upstreams without regard to this preference.
        """
        split = self._split(upstreams)
        near = choose(split.own)
        far = choose(split.elsewhere)
        if near is None or far is None:
            return near or far
        extra = _free_slots(far, loads) - _free_slots(near, loads)
        return near if extra <= MAX_EXTRA_BATCH_SLOTS else far

    def _split(self, upstreams: Sequence[Upstream]) -> _Split:
        known = self._splits.get(id(upstreams))
        if known is not None and known.upstreams is upstreams:
            return known
        own: list[Upstream] = []
        elsewhere: list[Upstream] = []
        for upstream in upstreams:
            is_own = upstream.failure_domain == self._failure_domain
            (own if is_own else elsewhere).append(upstream)
        split = _Split(upstreams=upstreams, own=own, elsewhere=elsewhere)
        if len(self._splits) >= MAX_SPLITS:
            self._splits.clear()
        self._splits[id(upstreams)] = split
        return split


def _free_slots(upstream: Upstream, loads: Mapping[str, Load]) -> int:
    return upstream.slots - loads.get(upstream.identity, NO_LOAD).total
