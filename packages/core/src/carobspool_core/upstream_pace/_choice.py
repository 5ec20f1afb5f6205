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
SAMPLE_SIZE_WITH_PARTS = 3
"""Beside the upstreams of the hash, so that a choice compares as many."""
PREFIXES_OF_CANDIDATES = 1
"""Prefixes whose upstreams of the hash are candidates: the longest one, which saves most."""
OTHER_DOMAIN_TIME: Millis = 3.0
"""A round trip between domains costs a few milliseconds; breaks ties."""
SUSPECT_TIME: Millis = 1e12
"""Exceeds every other time, also that of reading `MAX_TOKENS` for each of some hundred requests at
1 ms per token: a suspect is chosen only if all candidates are suspects."""
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
            return self._soonest_of_sample(upstreams, loads, wanted, now, draw or _draw) or chosen
        draw = draw or _draw
        self._estimates.add_parts(wanted, upstreams, now)
        self._reason = "parts" if wanted.prefixes else "pace"
        return self._soonest_of_sample(upstreams, loads, wanted, now, draw)

    def _soonest_of_sample(
        self,
        upstreams: Sequence[Upstream],
        loads: Mapping[str, Load],
        wanted: Wanted,
        now: Millis,
        draw: random.Random,
    ) -> Upstream | None:
        """Return the best upstream of a sample, or of all if none of the sample has room."""
        candidates = self._sample(upstreams, wanted, now, draw)
        chosen = self._soonest(candidates, loads, wanted, draw)
        if candidates is upstreams:
            return chosen
        if chosen is not None and self._estimates.fits(chosen, loads, wanted):
            return chosen
        return self._soonest(upstreams, loads, wanted, draw) or chosen

    def _sample(
        self, upstreams: Sequence[Upstream], wanted: Wanted, now: Millis, draw: random.Random
    ) -> Sequence[Upstream]:
        """Return a few random upstreams that are not suspects, and those of the hash of parts."""
        if len(upstreams) <= SAMPLE_SIZE:
            return upstreams
        found: dict[str, Upstream] = {}
        for key, _ in wanted.prefixes[-PREFIXES_OF_CANDIDATES:]:
            for home in self._estimates.parts.homes(key, upstreams, now):
                found[home.identity] = home
        size = SAMPLE_SIZE_WITH_PARTS if found else SAMPLE_SIZE
        count = len(upstreams)
        # Drawn with repetitions, which costs a third of a sample without them.
        for _ in range(size):
            upstream = upstreams[int(draw.random() * count)]
            if upstream.identity not in wanted.suspects:
                found[upstream.identity] = upstream
        return list(found.values())

    def _soonest(
        self,
        candidates: Sequence[Upstream],
        loads: Mapping[str, Load],
        wanted: Wanted,
        draw: random.Random,
    ) -> Upstream | None:
        """Return the candidate of the soonest first event; its memory has room if any has."""
        self._candidates = candidates
        best = self._best(candidates, loads, wanted, draw)
        if best is None or self._estimates.fits(best, loads, wanted):
            return best
        fitting = [each for each in candidates if self._estimates.fits(each, loads, wanted)]
        return self._best(fitting, loads, wanted, draw) or best

    def _best(
        self,
        candidates: Sequence[Upstream],
        loads: Mapping[str, Load],
        wanted: Wanted,
        draw: random.Random,
    ) -> Upstream | None:
        expected = self._estimates.expected
        suspects = wanted.suspects
        best: Upstream | None = None
        best_time = float("inf")
        for upstream in candidates:
            load = loads.get(upstream.identity, NO_LOAD)
            over = load[0] - upstream.slots
            if over >= 0 and over >= wanted.queue_limit_of(upstream):
                continue
            time = expected(upstream, load, wanted) + draw.random() * JITTER
            if upstream.failure_domain != self._failure_domain:
                time += OTHER_DOMAIN_TIME
            if suspects and upstream.identity in suspects:
                time += SUSPECT_TIME
            if time < best_time:
                best = upstream
                best_time = time
        return best
