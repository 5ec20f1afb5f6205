"""Routing at an entry: which upstream gets a request.

Load pattern: requests that come faster than reports of load, to a pool from which upstreams leave,
fall silent, slow down and come back. Without this bookkeeping the choice in ``_selection`` would
be made among upstreams that can't answer.

The order of a choice: an ejected upstream due for a probe; the prefix's favourite; two random
choices, the own failure domain preferred when no busier. The chosen one is checked for slowness
last, since only upstreams that would get requests need the check.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from random import Random

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Clock, Millis
from carobspool_core._load_estimate import Flight
from carobspool_core._messages import Load, Priority
from carobspool_core._outcome import Failure, invalid_request, unavailable
from carobspool_core._pools import Pool, PooledUpstream
from carobspool_core._route_types import Choice, RouteRequest, RoutingSettings, Target
from carobspool_core._selection import (
    candidates_for,
    favourite,
    is_light,
    least_busy,
    lighter_of_random,
    near_unless_busier,
)

RETRY_AFTER: Millis = 1_000.0
"""Mean time to come back when nobody can serve: lost upstreams are found again in seconds; spread
over 0.5 to 1.5 times so that callers don't return together."""
LEAVING_LAPSE: Millis = 600_000.0
"""A mark not renewed for ten minutes lapses: twenty times the host list's lag of 30 s."""


class Router:
    """Chooses upstreams; not safe for use by several threads at once.

    An upstream is used from its first load report on: until then nobody knows whether its sidecar
    can be reached and what it has ready.

    Args:
        clock: Times the marks of leaving hosts, which come without an instant.
        rng: Source of the random choices.
        settings: What may be varied.

    Since 0.1.
    """

    __slots__ = ("_clock", "_pools", "_rng", "_settings", "_upstreams")

    def __init__(self, clock: Clock, rng: Random, settings: RoutingSettings) -> None:
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._upstreams: dict[str, PooledUpstream] = {}
        self._pools: dict[str, Pool] = {}

    def set_upstreams(self, targets: Sequence[Target]) -> None:
        """Replace the declared upstreams; what is known of those that stay is kept."""
        known = self._upstreams
        self._upstreams = {}
        for declared in targets:
            upstream = known.get(declared.host)
            if upstream is None:
                upstream = PooledUpstream(declared, lag_correction=self._settings.lag_correction)
            upstream.declared = declared
            self._upstreams[declared.host] = upstream
        self._rebuild_pools()

    def observe(self, host: str, load: Load, now: Millis) -> None:
        """Take over a load report of a sidecar; a report shows that it is not lost."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        _let_leaving_lapse(upstream, now)
        upstream.observe(load, now)

    def lost(self, host: str, now: Millis) -> None:
        """Send nothing more to a host that has gone silent."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.lost = True
        for pool in upstream.pools:
            pool.ejector.forget(host)
        upstream.mark()

    def found(self, host: str, now: Millis) -> None:
        """Use a host again that was lost."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.lost = False
        upstream.mark()

    def leaving(self, host: str, leaving: bool = True) -> None:
        """Send nothing more to a host that is leaving, whatever its reports say.

        The mark lapses after `LEAVING_LAPSE`; repeat it while the host is to be drained.

        Args:
            host: The host.
            leaving: ``False`` takes the mark back, for a drain that an operator has ended.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        was_leaving = upstream.leaving_until is not None
        upstream.leaving_until = self._clock.now() + LEAVING_LAPSE if leaving else None
        if leaving is not was_leaving:
            upstream.mark()

    def pick(self, request: RouteRequest, now: Millis) -> Result[Choice, Failure]:
        """Choose an upstream.

        Returns:
            The choice, or a failure: 404 for a target that nobody declares, 503 when none can
            take it now.
        """
        pool = self._pools.get(request.target)
        if pool is None:
            message = f"the model or service {request.target!r} does not exist"
            return Failed(invalid_request("model_not_found", message, status=404))
        probe = self._probe(pool, request, now)
        if probe is not None:
            return Success(Choice(host=probe, affinity=False))
        candidates = candidates_for(pool, request)
        if not candidates:
            return Failed(self._nobody(request))
        if request.suspect:
            return Success(Choice(host=least_busy(candidates, self._settings).host, affinity=False))
        choice = self._choose(pool, request, candidates)
        if not self._is_ejected_now(pool, choice.host, now):
            return Success(choice)
        candidates = candidates_for(pool, request)
        if not candidates:
            return Failed(self._nobody(request))
        return Success(self._choose(pool, request, candidates))

    def credits(self, target: str) -> int:
        """Return the batch requests that the target's upstreams would take now."""
        pool = self._pools.get(target)
        if pool is None:
            return 0
        return sum(each.estimate.credits for each in pool.chosen)

    def started(
        self,
        host: str,
        id: Hashable,
        cost_tokens: int,
        now: Millis,
        *,
        target: str | None = None,
        priority: Priority = Priority.ONLINE,
        suspect: bool = False,
    ) -> None:
        """Note that a request was sent.

        Args:
            host: The chosen upstream.
            id: The attempt's id.
            cost_tokens: Estimated tokens, prompt and answer together.
            now: The instant.
            target: Model or service; may be left out for an upstream that has only one.
            priority: Online or batch.
            suspect: Whether it is suspected of crashing upstreams.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        name = target if target is not None else _only_target(upstream.declared)
        flight = Flight(
            target=name, cost_tokens=cost_tokens, started=now, priority=priority, suspect=suspect
        )
        had_free_slot = upstream.has_free_slot
        upstream.start(id, flight)
        pool = self._pools.get(name)
        if pool is None or priority is not Priority.ONLINE:
            return
        if had_free_slot or host in pool.ejector.ejected:
            pool.ejector.started(host, id, now)

    def first_token(self, host: str, id: Hashable, now: Millis) -> None:
        """Note the first token of an answer."""
        upstream = self._upstreams.get(host)
        flight = upstream.estimate.flight(id) if upstream is not None else None
        if flight is None or flight.priority is not Priority.ONLINE:
            return
        pool = self._pools.get(flight.target)
        if pool is not None:
            pool.ejector.first_token(host, id, now)

    def ended(self, host: str, id: Hashable, ok: bool, now: Millis) -> None:
        """Note the end of a request.

        Args:
            host: Where it ran.
            id: The attempt's id.
            ok: Whether the upstream did its part; a caller's own mistake or cancel, or a refusal
                for want of room, counts as ok.
            now: The instant.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        flight = upstream.end(id)
        # What fails as a lost upstream goes says nothing of the process that will come back there.
        if flight is None or flight.priority is not Priority.ONLINE or upstream.lost:
            return
        pool = self._pools.get(flight.target)
        if pool is None or not self._settings.ejection:
            return
        size = len(pool.usable_hosts)
        if pool.ejector.ended(host, id, ok=ok, now=now, pool_size=size):
            pool.is_stale = True

    def _rebuild_pools(self) -> None:
        known = self._pools
        self._pools = {}
        for upstream in self._upstreams.values():
            upstream.pools = []
            for name in upstream.declared.targets:
                pool = self._pools.get(name)
                if pool is None:
                    pool = self._pools[name] = known.get(name) or Pool(name)
                    pool.members = []
                    pool.is_stale = True
                pool.members.append(upstream)
                upstream.pools.append(pool)
        for pool in self._pools.values():
            pool.ejector.keep_only(each.host for each in pool.members)

    def _probe(self, pool: Pool, request: RouteRequest, now: Millis) -> str | None:
        if request.priority is not Priority.ONLINE or request.suspect:
            return None
        host = pool.ejector.due_probe(pool.usable_hosts, now)
        return None if host in request.exclude else host

    def _choose(
        self, pool: Pool, request: RouteRequest, candidates: Sequence[PooledUpstream]
    ) -> Choice:
        if request.prefix_key is not None and self._settings.affinity:
            preferred = favourite(request.prefix_key, candidates)
            if is_light(preferred, request.cost_tokens, pool, self._settings):
                return Choice(host=preferred.host, affinity=True)
        chosen = lighter_of_random(candidates, self._rng, self._settings)
        if candidates is pool.chosen:
            near = pool.in_domain(request.failure_domain)
            chosen = near_unless_busier(chosen, near, self._rng, self._settings)
        return Choice(host=chosen.host, affinity=False)

    def _is_ejected_now(self, pool: Pool, host: str, now: Millis) -> bool:
        if not self._settings.ejection:
            return False
        if not pool.ejector.check(host, now, len(pool.usable_hosts)):
            return False
        pool.is_stale = True
        return True

    def _nobody(self, request: RouteRequest) -> Failure:
        message = f"no upstream can take a request for {request.target!r} now"
        wait = RETRY_AFTER * (0.5 + self._rng.random())
        return unavailable("no_upstream", message, retry_after_ms=wait)


def make_router(clock: Clock, rng: Random, settings: RoutingSettings | None = None) -> Router:
    """Return a router with no upstreams.

    Args:
        clock: The process's clock.
        rng: Source of the random choices; seeded in tests.
        settings: What may be varied.

    Since 0.1.
    """
    return Router(clock, rng, settings or RoutingSettings())


def _let_leaving_lapse(upstream: PooledUpstream, now: Millis) -> None:
    # A host is replaced under its old name and the news that it is back is lost: without a lapse
    # nobody would use it again. One that still leaves says so in its own reports.
    if upstream.leaving_until is None or now < upstream.leaving_until:
        return
    upstream.leaving_until = None
    upstream.mark()


def _only_target(declared: Target) -> str:
    return declared.targets[0] if declared.targets else ""
