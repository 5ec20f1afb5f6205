"""The upstreams of each target, as one entry knows them."""

from __future__ import annotations

from collections.abc import Hashable

from carobspool_core._clock import Millis
from carobspool_core._ejection import Ejector
from carobspool_core._load_estimate import Flight, LoadEstimate
from carobspool_core._messages import Load, SidecarState
from carobspool_core._route_types import Target


class PooledUpstream:
    """What is known of one upstream."""

    __slots__ = ("declared", "estimate", "leaving_until", "lost", "pools", "ready", "state")

    def __init__(self, declared: Target, *, lag_correction: bool) -> None:
        self.declared = declared
        self.estimate = LoadEstimate(lag_correction=lag_correction)
        self.state: SidecarState | None = None
        self.ready: tuple[str, ...] = ()
        self.lost = False
        self.leaving_until: Millis | None = None
        self.pools: list[Pool] = []

    @property
    def host(self) -> str:
        """Name of the upstream's host."""
        return self.declared.host

    @property
    def has_free_slot(self) -> bool:
        """Whether a request sent now would seem to start at once."""
        return self.estimate.requests < self.declared.slots

    def is_usable(self, target: str) -> bool:
        """Return whether requests for ``target`` may be sent there."""
        if self.lost or self.leaving_until is not None or self.state is not SidecarState.READY:
            return False
        return target in self.ready

    def observe(self, load: Load, now: Millis) -> None:
        """Take over a report."""
        before = self.estimate.tokens
        self.estimate.observe(load, now)
        if self.lost or self.state is not load.state or self.ready != load.targets:
            self.state = load.state
            self.ready = load.targets
            self.lost = False
            self.mark()
        self._tell_pools(self.estimate.tokens - before)

    def start(self, id: Hashable, flight: Flight) -> None:
        """Add a request."""
        before = self.estimate.tokens
        self.estimate.start(id, flight)
        self._tell_pools(self.estimate.tokens - before)

    def end(self, id: Hashable) -> Flight | None:
        """Remove a request and return it; ``None`` when it is not known."""
        before = self.estimate.tokens
        flight = self.estimate.end(id)
        self._tell_pools(self.estimate.tokens - before)
        return flight

    def mark(self) -> None:
        """Let each pool look again at who may be chosen."""
        for pool in self.pools:
            pool.is_stale = True

    def _tell_pools(self, change: int) -> None:
        if not change:
            return
        for pool in self.pools:
            pool.add_tokens(self.host, change)


class Pool:
    """The upstreams declared for one target, and those of them that may be chosen now.

    The sum of their tokens is kept, so that the mean costs nothing at a request.
    """

    __slots__ = (
        "_by_domain",
        "_chosen",
        "_chosen_hosts",
        "_slots",
        "_target",
        "_tokens",
        "_usable",
        "_usable_hosts",
        "ejector",
        "is_stale",
        "members",
    )

    def __init__(self, target: str) -> None:
        self._target = target
        self._chosen: list[PooledUpstream] = []
        self._chosen_hosts: frozenset[str] = frozenset()
        self._usable: list[PooledUpstream] = []
        self._usable_hosts: frozenset[str] = frozenset()
        self._by_domain: dict[str, list[PooledUpstream]] = {}
        self._tokens = 0
        self._slots = 0
        self.members: list[PooledUpstream] = []
        self.ejector = Ejector()
        self.is_stale = True

    @property
    def chosen(self) -> list[PooledUpstream]:
        """Usable upstreams that are not ejected."""
        if self.is_stale:
            self._refresh()
        return self._chosen

    @property
    def usable(self) -> list[PooledUpstream]:
        """Usable upstreams, ejected ones included."""
        if self.is_stale:
            self._refresh()
        return self._usable

    @property
    def usable_hosts(self) -> frozenset[str]:
        """Hosts of usable upstreams, ejected ones included."""
        if self.is_stale:
            self._refresh()
        return self._usable_hosts

    @property
    def tokens_per_slot(self) -> float:
        """Estimated tokens of the chosen upstreams for each of their slots."""
        return self._tokens / max(1, self._slots)

    def in_domain(self, failure_domain: str) -> list[PooledUpstream]:
        """Return the chosen upstreams of a failure domain."""
        return self._by_domain.get(failure_domain, [])

    def add_tokens(self, host: str, change: int) -> None:
        """Note that an upstream's estimate has changed."""
        if host in self._chosen_hosts:
            self._tokens += change

    def _refresh(self) -> None:
        self.is_stale = False
        usable = [each for each in self.members if each.is_usable(self._target)]
        self._usable = usable
        ejected = self.ejector.ejected
        self._usable_hosts = frozenset(each.host for each in usable)
        self._chosen = [each for each in usable if each.host not in ejected]
        self._chosen_hosts = frozenset(each.host for each in self._chosen)
        self._tokens = sum(each.estimate.tokens for each in self._chosen)
        self._slots = sum(each.declared.slots for each in self._chosen)
        self._by_domain = {}
        for each in self._chosen:
            self._by_domain.setdefault(each.declared.failure_domain, []).append(each)
