"""Routing at an entry: chooses the upstream for each request.

Load pattern: requests arrive faster than load reports, at a pool whose upstreams leave, stop
responding, slow down and return. Without the state kept here, ``_selection`` would choose among
upstreams that cannot answer.

A choice tries in this order: an ejected upstream that is due for a probe; the upstream preferred
for the prompt prefix; the less busy of two random upstreams, or an upstream of the entry's own
failure domain if it is no busier. The chosen upstream is checked for slowness last, because only
upstreams that would receive requests need the check.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from random import Random

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._clock import Clock, Millis
from carobspool_core._load_estimate import InFlightRequest
from carobspool_core._messages import Load, Priority
from carobspool_core._outcome import Failure, invalid_request, unavailable
from carobspool_core._pools import Pool, PooledUpstream
from carobspool_core._route_types import (
    DeclaredUpstream,
    RouteChoice,
    RouteRequest,
    RoutingSettings,
)
from carobspool_core._selection import (
    candidates_for,
    has_capacity,
    least_busy,
    least_busy_of_random,
    own_domain_unless_busier,
    preferred_upstream,
)

RETRY_AFTER: Millis = 1_000.0
"""Mean retry delay returned when no upstream is usable: lost upstreams return within seconds. Each
delay is 0.5 to 1.5 times this value, so that callers do not retry in step."""
LEAVING_MARK_TTL: Millis = 600_000.0
"""Ten minutes: twenty times the host list's lag of 30 s."""


class Router:
    """Chooses upstreams. Not thread-safe.

    An upstream is used only after its first load report. Before that report it is unknown whether
    its sidecar is reachable and which targets are ready.

    Args:
        clock: Supplies the current time to `set_leaving`, which has no ``now`` argument.
        rng: Source of the random choices.
        settings: Routing parameters.

    Since 0.1.
    """

    __slots__ = ("_clock", "_pools", "_rng", "_settings", "_upstreams")

    def __init__(self, clock: Clock, rng: Random, settings: RoutingSettings) -> None:
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._upstreams: dict[str, PooledUpstream] = {}
        self._pools: dict[str, Pool] = {}

    def set_upstreams(self, targets: Sequence[DeclaredUpstream]) -> None:
        """Replace the declared upstreams and keep the state of those that remain."""
        previous = self._upstreams
        self._upstreams = {}
        for declared in targets:
            upstream = previous.get(declared.host)
            if upstream is None:
                upstream = PooledUpstream(declared, lag_correction=self._settings.lag_correction)
            upstream.declared = declared
            self._upstreams[declared.host] = upstream
        self._rebuild_pools()

    def apply_load_report(self, host: str, load: Load, now: Millis) -> None:
        """Apply a sidecar's load report and mark its host as not lost."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        _expire_leaving_mark(upstream, now)
        upstream.apply_load_report(load, now)

    def mark_lost(self, host: str, now: Millis) -> None:
        """Mark a silent host as lost and discard its health data; it receives no requests."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.lost = True
        for pool in upstream.pools:
            pool.ejector.forget(host)
        upstream.mark_pools_stale()

    def mark_found(self, host: str, now: Millis) -> None:
        """Remove a host's lost mark."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.lost = False
        upstream.mark_pools_stale()

    def set_leaving(self, host: str, leaving: bool = True) -> None:
        """Mark a host as leaving; it receives no requests, even if it reports that it is ready.

        The mark expires after `LEAVING_MARK_TTL`. Renew it for as long as the host is drained.

        Args:
            host: The host.
            leaving: ``False`` removes the mark, after an operator has ended the drain.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        was_leaving = upstream.leaving_until is not None
        upstream.leaving_until = self._clock.now() + LEAVING_MARK_TTL if leaving else None
        if leaving is not was_leaving:
            upstream.mark_pools_stale()

    def pick(self, request: RouteRequest, now: Millis) -> Result[RouteChoice, Failure]:
        """Choose an upstream.

        Returns:
            The choice, or a failure: 404 if no upstream declares the target, 503 if no upstream
            can take the request now.
        """
        pool = self._pools.get(request.target)
        if pool is None:
            message = f"the model or service {request.target!r} does not exist"
            return Failed(invalid_request("model_not_found", message, status=404))
        probe = self._due_probe(pool, request, now)
        if probe is not None:
            return Success(RouteChoice(host=probe, affinity=False))
        candidates = candidates_for(pool, request)
        if not candidates:
            return Failed(self._no_upstream(request))
        if request.suspect:
            return Success(
                RouteChoice(host=least_busy(candidates, self._settings).host, affinity=False)
            )
        choice = self._choose(pool, request, candidates)
        if not self._eject_if_slow(pool, choice.host, now):
            return Success(choice)
        candidates = candidates_for(pool, request)
        if not candidates:
            return Failed(self._no_upstream(request))
        return Success(self._choose(pool, request, candidates))

    def batch_credits(self, target: str) -> int:
        """Return how many batch requests the target's upstreams would accept now."""
        pool = self._pools.get(target)
        if pool is None:
            return 0
        return sum(each.estimate.credits for each in pool.active)

    def record_start(
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
        """Record that a request was sent.

        Args:
            host: The chosen upstream.
            id: The attempt's id.
            cost_tokens: Estimated tokens, prompt and answer together.
            now: The current time.
            target: Model or service; may be omitted for an upstream that declares only one.
            priority: Online or batch.
            suspect: Whether the request is suspected of crashing upstreams.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        name = target if target is not None else _default_target(upstream.declared)
        flight = InFlightRequest(
            target=name, cost_tokens=cost_tokens, started_at=now, priority=priority, suspect=suspect
        )
        had_free_slot = upstream.has_free_slot
        upstream.start(id, flight)
        pool = self._pools.get(name)
        if pool is None or priority is not Priority.ONLINE:
            return
        if had_free_slot or host in pool.ejector.ejected:
            pool.ejector.record_start(host, id, now)

    def record_first_token(self, host: str, id: Hashable, now: Millis) -> None:
        """Record the first token of an answer."""
        upstream = self._upstreams.get(host)
        flight = upstream.estimate.get_request(id) if upstream is not None else None
        if flight is None or flight.priority is not Priority.ONLINE:
            return
        pool = self._pools.get(flight.target)
        if pool is not None:
            pool.ejector.record_first_token(host, id, now)

    def record_end(self, host: str, id: Hashable, ok: bool, now: Millis) -> None:
        """Record the end of a request.

        Args:
            host: Host of the upstream that ran the request.
            id: The attempt's id.
            ok: Whether the upstream worked correctly. An invalid request, a cancellation by the
                caller and a refusal by a full upstream count as ok.
            now: The current time.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        flight = upstream.end(id)
        # Failures of a lost upstream do not count against the process that will replace it.
        if flight is None or flight.priority is not Priority.ONLINE or upstream.lost:
            return
        pool = self._pools.get(flight.target)
        if pool is None or not self._settings.ejection:
            return
        size = len(pool.usable_hosts)
        if pool.ejector.record_end(host, id, ok=ok, now=now, pool_size=size):
            pool.is_stale = True

    def _rebuild_pools(self) -> None:
        previous = self._pools
        self._pools = {}
        for upstream in self._upstreams.values():
            upstream.pools = []
            for name in upstream.declared.targets:
                pool = self._pools.get(name)
                if pool is None:
                    pool = self._pools[name] = previous.get(name) or Pool(name)
                    pool.members = []
                    pool.is_stale = True
                pool.members.append(upstream)
                upstream.pools.append(pool)
        for pool in self._pools.values():
            pool.ejector.retain_only(each.host for each in pool.members)

    def _due_probe(self, pool: Pool, request: RouteRequest, now: Millis) -> str | None:
        if request.priority is not Priority.ONLINE or request.suspect:
            return None
        host = pool.ejector.due_probe(pool.usable_hosts, now)
        return None if host in request.exclude else host

    def _choose(
        self, pool: Pool, request: RouteRequest, candidates: Sequence[PooledUpstream]
    ) -> RouteChoice:
        if request.prefix_key is not None and self._settings.affinity:
            preferred = preferred_upstream(request.prefix_key, candidates)
            if has_capacity(preferred, request.cost_tokens, pool, self._settings):
                return RouteChoice(host=preferred.host, affinity=True)
        chosen = least_busy_of_random(candidates, self._rng, self._settings)
        if candidates is pool.active:
            own_domain = pool.active_in_domain(request.failure_domain)
            chosen = own_domain_unless_busier(chosen, own_domain, self._rng, self._settings)
        return RouteChoice(host=chosen.host, affinity=False)

    def _eject_if_slow(self, pool: Pool, host: str, now: Millis) -> bool:
        if not self._settings.ejection:
            return False
        if not pool.ejector.check(host, now, len(pool.usable_hosts)):
            return False
        pool.is_stale = True
        return True

    def _no_upstream(self, request: RouteRequest) -> Failure:
        message = f"no upstream can take a request for {request.target!r} now"
        retry_after = RETRY_AFTER * (0.5 + self._rng.random())
        return unavailable("no_upstream", message, retry_after_ms=retry_after)


def make_router(clock: Clock, rng: Random, settings: RoutingSettings | None = None) -> Router:
    """Return a router without upstreams.

    Args:
        clock: The process's clock.
        rng: Source of the random choices; seeded in tests.
        settings: Routing parameters; the defaults if omitted.

    Since 0.1.
    """
    return Router(clock, rng, settings or RoutingSettings())


def _expire_leaving_mark(upstream: PooledUpstream, now: Millis) -> None:
    # A host may be replaced under the same name while the message that removes the mark is lost.
    # Without expiry the new host would never be used. A host that is still leaving reports this
    # state itself.
    if upstream.leaving_until is None or now < upstream.leaving_until:
        return
    upstream.leaving_until = None
    upstream.mark_pools_stale()


def _default_target(declared: DeclaredUpstream) -> str:
    return declared.targets[0] if declared.targets else ""
