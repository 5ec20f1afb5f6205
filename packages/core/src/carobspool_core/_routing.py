"""Routing at an entry: which upstream gets a request.

Load pattern: bursts of requests of very unequal cost over upstreams whose load is known late.
Round robin sends a short request behind long ones; "the least loaded" sends a whole burst to the
one upstream that the last reports showed as empty. Two random choices on corrected estimates
avoid both. Prefix affinity, failure domain and ejection narrow the choice first, each within a
bound on load.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from random import Random

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core._affinity import pick_favourite
from carobspool_core._clock import Clock, Millis
from carobspool_core._ejection import Ejector
from carobspool_core._load_estimate import Flight, LoadEstimate
from carobspool_core._messages import Load, Priority, SidecarState
from carobspool_core._outcome import Failure, invalid_request, unavailable

RETRY_AFTER: Millis = 1_000.0
"""Mean time to come back when nobody can serve: lost upstreams are found again in seconds; spread
over 0.5 to 1.5 times so that callers don't return together."""
LEAVING_LAPSE: Millis = 600_000.0
"""A mark not renewed for ten minutes lapses: twenty times the host list's lag of 30 s."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoutingSettings:
    """What of routing may be varied, mainly to measure what each part is worth.

    Attributes:
        choices: Upstreams compared for a request; 1 is blind, 2 is enough against herds.
        affinity: Whether equal prefixes prefer equal upstreams.
        ejection: Whether slow and failing upstreams are taken out.
        prefer_own_domain: Whether the entry's own failure domain goes first.
        lag_correction: Whether this entry's own requests are added to reports.
        load_bound: Times the pool's mean load above which a preferred upstream is left. 1.25
            keeps at least four fifths of the pool busy before anyone is preferred into overload.
        free_share: Share of the slots up to which a preferred upstream is never left: an engine
            that is half empty delays nobody, however small the mean.
    """

    choices: int = 2
    affinity: bool = True
    ejection: bool = True
    prefer_own_domain: bool = True
    lag_correction: bool = True
    load_bound: float = 1.25
    free_share: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """An upstream as declared.

    Attributes:
        host: Name of the upstream's host.
        failure_domain: Where it stands.
        targets: Models and services that it should serve.
        slots: Requests that it runs side by side.
    """

    host: str
    failure_domain: str
    targets: tuple[str, ...]
    slots: int = 32


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteRequest:
    """What routing needs to know of a request.

    Attributes:
        target: Model or service.
        cost_tokens: Estimated tokens, prompt and answer together.
        prefix_key: Digest of the prompt's leading part; ``None`` when affinity is of no use.
        failure_domain: The entry's own.
        priority: Online or batch; batch goes only where credits are left.
        exclude: Hosts already tried.
        suspect: Whether it is suspected of crashing upstreams.
    """

    target: str
    cost_tokens: int
    prefix_key: str | None = None
    failure_domain: str = ""
    priority: Priority = Priority.ONLINE
    exclude: frozenset[str] = frozenset()
    suspect: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The chosen upstream.

    Attributes:
        host: Its name.
        affinity: Whether the prefix decided, so that a warm cache may be expected.
    """

    host: str
    affinity: bool


class _Upstream:
    """What is known of one upstream."""

    __slots__ = ("declared", "estimate", "leaving_until", "lost", "pools", "ready", "state")

    def __init__(self, declared: Target, *, lag_correction: bool) -> None:
        self.declared = declared
        self.estimate = LoadEstimate(lag_correction=lag_correction)
        self.state: SidecarState | None = None
        self.ready: tuple[str, ...] = ()
        self.lost = False
        self.leaving_until: Millis | None = None
        self.pools: list[_Pool] = []

    def usable(self, target: str) -> bool:
        if self.lost or self.leaving_until is not None or self.state is not SidecarState.READY:
            return False
        return target in self.ready


class _Pool:
    """The upstreams declared for one target, and those of them that may be chosen now."""

    __slots__ = ("by_domain", "chosen", "dirty", "ejector", "hosts", "members", "tokens", "usable")

    def __init__(self) -> None:
        self.members: list[_Upstream] = []
        self.usable: frozenset[str] = frozenset()
        self.hosts: list[str] = []
        self.chosen: frozenset[str] = frozenset()
        self.by_domain: dict[str, list[str]] = {}
        self.tokens = 0
        self.ejector = Ejector()
        self.dirty = True

    @property
    def mean(self) -> float:
        return self.tokens / len(self.hosts)

    def refresh(self, target: str) -> None:
        self.dirty = False
        usable = [each for each in self.members if each.usable(target)]
        self.usable = frozenset(each.declared.host for each in usable)
        ejected = self.ejector.ejected
        chosen = [each for each in usable if each.declared.host not in ejected]
        self.hosts = [each.declared.host for each in chosen]
        self.chosen = frozenset(self.hosts)
        self.tokens = sum(each.estimate.tokens for each in chosen)
        self.by_domain = {}
        for each in chosen:
            self.by_domain.setdefault(each.declared.failure_domain, []).append(each.declared.host)


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
        self._upstreams: dict[str, _Upstream] = {}
        self._pools: dict[str, _Pool] = {}

    def set_upstreams(self, targets: Sequence[Target]) -> None:
        """Replace the declared upstreams; what is known of those that stay is kept."""
        known = self._upstreams
        self._upstreams = {}
        for declared in targets:
            upstream = known.get(declared.host) or self._new_upstream(declared)
            upstream.declared = declared
            self._upstreams[declared.host] = upstream
        self._rebuild_pools()

    def observe(self, host: str, load: Load, now: Millis) -> None:
        """Take over a load report of a sidecar; a report shows that it is not lost."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        before = upstream.estimate.tokens
        upstream.estimate.observe(load, now)
        self._let_leaving_lapse(upstream, now)
        changed = upstream.state is not load.state or upstream.ready != load.targets
        if changed or upstream.lost:
            upstream.state = load.state
            upstream.ready = load.targets
            upstream.lost = False
            self._mark(upstream)
        self._moved(upstream, before)

    def lost(self, host: str, now: Millis) -> None:
        """Send nothing more to a host that has gone silent."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.lost = True
        for pool in upstream.pools:
            pool.ejector.forget(host)
        self._mark(upstream)

    def found(self, host: str, now: Millis) -> None:
        """Use a host again that was lost."""
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.lost = False
        self._mark(upstream)

    def leaving(self, host: str, leaving: bool = True) -> None:
        """Send nothing more to a host that is leaving, whatever its reports say.

        Args:
            host: The host.
            leaving: ``False`` takes the mark back, for a drain that an operator has ended.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        upstream.leaving_until = self._clock.now() + LEAVING_LAPSE if leaving else None
        self._mark(upstream)

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
        if pool.dirty:
            pool.refresh(request.target)
        probe = self._probe(pool, request, now)
        if probe is not None:
            return Success(Choice(host=probe, affinity=False))
        hosts = self._candidates(pool, request)
        if not hosts:
            return Failed(self._nobody(request))
        if request.suspect:
            return Success(Choice(host=self._least_loaded(hosts), affinity=False))
        favourite = self._favourite(pool, request, hosts)
        if favourite is not None:
            return self._checked(pool, request, favourite, affinity=True, now=now)
        host = self._near_or_any(pool, request, hosts)
        return self._checked(pool, request, host, affinity=False, now=now)

    def credits(self, target: str) -> int:
        """Return the batch requests that the target's upstreams would take now."""
        pool = self._pools.get(target)
        if pool is None:
            return 0
        if pool.dirty:
            pool.refresh(target)
        return sum(self._upstreams[host].estimate.credits for host in pool.hosts)

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
        before = upstream.estimate.tokens
        upstream.estimate.start(id, flight)
        self._moved(upstream, before)
        pool = self._pools.get(name)
        if pool is not None and priority is Priority.ONLINE:
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
            ok: Whether the upstream did its part; a caller's own mistake or cancel counts as ok.
            now: The instant.
        """
        upstream = self._upstreams.get(host)
        if upstream is None:
            return
        before = upstream.estimate.tokens
        flight = upstream.estimate.end(id)
        if flight is None:
            return
        self._moved(upstream, before)
        pool = self._pools.get(flight.target)
        if pool is None or flight.priority is not Priority.ONLINE:
            return
        size = len(pool.usable)
        if not self._settings.ejection:
            return
        if pool.ejector.ended(host, id, ok=ok, now=now, pool_size=size):
            pool.dirty = True

    def _rebuild_pools(self) -> None:
        known = self._pools
        self._pools = {}
        for upstream in self._upstreams.values():
            upstream.pools = []
            for name in upstream.declared.targets:
                pool = self._pools.get(name)
                if pool is None:
                    pool = self._pools[name] = known.get(name) or _Pool()
                    pool.members = []
                    pool.dirty = True
                pool.members.append(upstream)
                upstream.pools.append(pool)
        for pool in self._pools.values():
            pool.ejector.keep_only(each.declared.host for each in pool.members)

    def _new_upstream(self, declared: Target) -> _Upstream:
        return _Upstream(declared, lag_correction=self._settings.lag_correction)

    def _let_leaving_lapse(self, upstream: _Upstream, now: Millis) -> None:
        # A host is replaced under its old name and the news that it is back is lost: without a
        # lapse nobody would use it again. One that still leaves says so in its own reports.
        if upstream.leaving_until is None or now < upstream.leaving_until:
            return
        upstream.leaving_until = None
        self._mark(upstream)

    def _mark(self, upstream: _Upstream) -> None:
        for pool in upstream.pools:
            pool.dirty = True

    def _moved(self, upstream: _Upstream, before: int) -> None:
        change = upstream.estimate.tokens - before
        if not change:
            return
        for pool in upstream.pools:
            if upstream.declared.host in pool.chosen:
                pool.tokens += change

    def _probe(self, pool: _Pool, request: RouteRequest, now: Millis) -> str | None:
        if request.priority is not Priority.ONLINE or request.suspect:
            return None
        host = pool.ejector.due_probe(now)
        if host is None or host in request.exclude or host not in pool.usable:
            return None
        return host

    def _candidates(self, pool: _Pool, request: RouteRequest) -> list[str]:
        hosts = pool.hosts
        if request.exclude:
            hosts = [host for host in hosts if host not in request.exclude]
        if request.priority is Priority.BATCH:
            hosts = [host for host in hosts if self._upstreams[host].estimate.credits]
        if request.suspect:
            hosts = [host for host in hosts if not self._upstreams[host].estimate.suspects]
        return hosts

    def _favourite(self, pool: _Pool, request: RouteRequest, hosts: list[str]) -> str | None:
        if request.prefix_key is None or not self._settings.affinity:
            return None
        return pick_favourite(request.prefix_key, hosts, lambda host: self._is_light(pool, host))

    def _near_or_any(self, pool: _Pool, request: RouteRequest, hosts: list[str]) -> str:
        if self._settings.prefer_own_domain and hosts is pool.hosts:
            near = pool.by_domain.get(request.failure_domain)
            if near:
                host = self._lighter_of(near)
                if self._is_light(pool, host):
                    return host
        return self._lighter_of(hosts)

    def _checked(
        self, pool: _Pool, request: RouteRequest, host: str, *, affinity: bool, now: Millis
    ) -> Result[Choice, Failure]:
        if not self._settings.ejection:
            return Success(Choice(host=host, affinity=affinity))
        if not pool.ejector.check(host, now, len(pool.usable)):
            return Success(Choice(host=host, affinity=affinity))
        pool.refresh(request.target)
        hosts = self._candidates(pool, request)
        if not hosts:
            return Failed(self._nobody(request))
        return Success(Choice(host=self._lighter_of(hosts), affinity=False))

    def _is_light(self, pool: _Pool, host: str) -> bool:
        upstream = self._upstreams[host]
        if upstream.estimate.requests < upstream.declared.slots * self._settings.free_share:
            return True
        return upstream.estimate.tokens <= self._settings.load_bound * pool.mean

    def _lighter_of(self, hosts: list[str]) -> str:
        count = len(hosts)
        index = int(self._rng.random() * count)
        best = hosts[index]
        if count == 1:
            return best
        for _ in range(self._settings.choices - 1):
            index = (index + 1 + int(self._rng.random() * (count - 1))) % count
            other = hosts[index]
            if self._relative_load(other) < self._relative_load(best):
                best = other
        return best

    def _least_loaded(self, hosts: list[str]) -> str:
        return min(hosts, key=self._relative_load)

    def _relative_load(self, host: str) -> float:
        upstream = self._upstreams[host]
        return upstream.estimate.tokens / upstream.declared.slots

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


def _only_target(declared: Target) -> str:
    return declared.targets[0] if declared.targets else ""
