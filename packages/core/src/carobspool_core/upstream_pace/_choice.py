"""Choice of the upstream where a request's first event is expected soonest.

Load pattern: upstreams that differ in speed, and prompts whose parts some upstreams have kept.
Where upstreams are alike and prompts share little, the choice is that by slots, with the same
random draws.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from carobspool_core._clock import Millis
from carobspool_core.direct import NO_LOAD, Load, Upstream, choose_upstream
from carobspool_core.upstream_pace._estimates import UpstreamEstimates, Wanted, counts_parts

SAMPLE_SIZE = 5
"""As in the choice by slots: against all entries choosing the same upstream within 50 ms."""
PREFIXES_OF_CANDIDATES = 2
"""Prefixes whose upstreams of the hash are candidates: the longest ones, which save most."""
OTHER_DOMAIN_TIME: Millis = 3.0
"""A round trip between domains costs a few milliseconds; breaks ties."""
NO_MEMORY_TIME: Millis = 100_000.0
"""Exceeds every wait: an upstream without room in its memory is chosen only if all have none."""
SUSPECT_TIME: Millis = 1_000_000.0
"""Exceeds every other time: a suspect is chosen only if all candidates are suspects."""
JITTER: Millis = 1.0
"""Random part that breaks ties, about a hundredth of the time in which a slot becomes free."""
_draw = random.Random()


class FirstEventChoice:
    """Chooses the upstreams of online requests. Not thread-safe.

    Args:
        failure_domain: Failure domain of the entry.
        estimates: The entry's estimates.
    """

    def __init__(self, failure_domain: str, estimates: UpstreamEstimates) -> None:
        self._failure_domain = failure_domain
        self._estimates = estimates
        self._reason = ""
        self._candidates: Sequence[Upstream] = ()

    @property
    def reason(self) -> str:
        """What decided the last choice: ``slots``, ``memory``, ``pace`` or ``parts``."""
        return self._reason

    @property
    def candidates(self) -> Sequence[Upstream]:
        """Upstreams compared in the last choice, none if slots alone decided."""
        return self._candidates

    def choose(
        self,
        upstreams: Sequence[Upstream],
        loads: Mapping[str, Load],
        wanted: Wanted,
        *,
        now: Millis,
        draw: random.Random | None = None,
    ) -> Upstream | None:
        """Return the upstream for an online request, ``None`` if all queues are full.

        Args:
            upstreams: Candidates of one service; the sequence must not change later.
            loads: Known requests in flight, by identity of the upstream.
            wanted: The request.
            now: Current time.
            draw: Random numbers for the sample and for ties.
        """
        self._candidates = ()
        if not upstreams:
            return None
        paces = self._estimates.paces
        paces.refresh(now)
        if not counts_parts(wanted.demand) and paces.is_uniform(upstreams[0].service):
            self._reason = "slots"
            chosen = choose_upstream(
                upstreams,
                loads,
                failure_domain=self._failure_domain,
                queue_limit_of=wanted.queue_limit_of,
                suspects=wanted.suspects,
                draw=draw,
            )
            if chosen is None or self._estimates.fits(chosen, loads, wanted):
                return chosen
            self._reason = "memory"
            return self._soonest(upstreams, loads, wanted, now, draw or _draw) or chosen
        draw = draw or _draw
        wanted = self._estimates.with_parts(wanted, upstreams)
        self._reason = "parts" if wanted.prefixes else "pace"
        candidates = self._sample(upstreams, wanted, draw)
        chosen = self._soonest(candidates, loads, wanted, now, draw)
        if chosen is None and candidates is not upstreams:
            chosen = self._soonest(upstreams, loads, wanted, now, draw)
        return chosen

    def _sample(
        self, upstreams: Sequence[Upstream], wanted: Wanted, draw: random.Random
    ) -> Sequence[Upstream]:
        if len(upstreams) <= SAMPLE_SIZE:
            return upstreams
        count = min(len(upstreams), SAMPLE_SIZE + len(wanted.suspects))
        sample = draw.sample(upstreams, count)
        if not wanted.prefixes:
            return sample
        found = {each.identity: each for each in sample}
        for key, _ in wanted.prefixes[-PREFIXES_OF_CANDIDATES:]:
            for home in self._estimates.parts.homes(key, upstreams):
                found[home.identity] = home
        return list(found.values())

    def _soonest(
        self,
        candidates: Sequence[Upstream],
        loads: Mapping[str, Load],
        wanted: Wanted,
        now: Millis,
        draw: random.Random,
    ) -> Upstream | None:
        self._candidates = candidates
        best: Upstream | None = None
        best_time = float("inf")
        for upstream in candidates:
            load = loads.get(upstream.identity, NO_LOAD)
            over = load.online - upstream.slots
            if over >= 0 and over >= wanted.queue_limit_of(upstream):
                continue
            time = self._estimates.expected(upstream, load, wanted, now)[0]
            time += draw.random() * JITTER
            if upstream.failure_domain != self._failure_domain:
                time += OTHER_DOMAIN_TIME
            if upstream.identity in wanted.suspects:
                time += SUSPECT_TIME
            if not self._estimates.fits(upstream, loads, wanted):
                time += NO_MEMORY_TIME
            if time < best_time:
                best, best_time = upstream, time
        return best
