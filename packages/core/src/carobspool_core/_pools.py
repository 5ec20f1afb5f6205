"""The pool of upstreams of each target, as known to one entry."""

from __future__ import annotations

from collections.abc import Hashable

from carobspool_core._clock import Millis
from carobspool_core._ejection import Ejector
from carobspool_core._load_estimate import InFlightRequest, LoadEstimate
from carobspool_core._messages import Load, SidecarState
from carobspool_core._route_types import DeclaredUpstream


class PooledUpstream:
    """An upstream's declaration, load estimate and state."""

    __slots__ = ("declared", "estimate", "leaving_until", "lost", "pools", "ready", "state")

    def __init__(self, declared: DeclaredUpstream, *, lag_correction: bool) -> None:
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
        """Whether a request sent now would probably start without waiting."""
        return self.estimate.requests < self.declared.slots

    def is_usable(self, target: str) -> bool:
        """Return whether requests for ``target`` may be sent to this upstream."""
        if self.lost or self.leaving_until is not None or self.state is not SidecarState.READY:
            return False
        return target in self.ready

    def apply_load_report(self, load: Load, now: Millis) -> None:
        """Apply a load report."""
        before = self.estimate.tokens
        self.estimate.apply_report(load, now)
        if self.lost or self.state is not load.state or self.ready != load.targets:
            self.state = load.state
            self.ready = load.targets
            self.lost = False
            self.mark_pools_stale()
        self._update_pool_tokens(self.estimate.tokens - before)

    def start(self, id: Hashable, flight: InFlightRequest) -> None:
        """Add a request to the load estimate."""
        before = self.estimate.tokens
        self.estimate.add_request(id, flight)
        self._update_pool_tokens(self.estimate.tokens - before)

    def end(self, id: Hashable) -> InFlightRequest | None:
        """Remove a request from the load estimate.

        Returns:
            The request, or ``None`` if the id is unknown.
        """
        before = self.estimate.tokens
        flight = self.estimate.remove_request(id)
        self._update_pool_tokens(self.estimate.tokens - before)
        return flight

    def mark_pools_stale(self) -> None:
        """Make each pool of this upstream recompute its usable upstreams on next access."""
        for pool in self.pools:
            pool.is_stale = True

    def _update_pool_tokens(self, change: int) -> None:
        if not change:
            return
        for pool in self.pools:
            pool.add_tokens(self.host, change)


class Pool:
    """The upstreams declared for one target, and the subset that is active now.

    The pool maintains the sum of the active upstreams' tokens, so that a request does not compute
    the mean anew.
    """

    __slots__ = (
        "_active",
        "_active_by_domain",
        "_active_hosts",
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
        self._active: list[PooledUpstream] = []
        self._active_hosts: frozenset[str] = frozenset()
        self._usable: list[PooledUpstream] = []
        self._usable_hosts: frozenset[str] = frozenset()
        self._active_by_domain: dict[str, list[PooledUpstream]] = {}
        self._tokens = 0
        self._slots = 0
        self.members: list[PooledUpstream] = []
        self.ejector = Ejector()
        self.is_stale = True

    @property
    def active(self) -> list[PooledUpstream]:
        """Usable upstreams that are not ejected."""
        if self.is_stale:
            self._refresh()
        return self._active

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
        """Mean estimated tokens per slot of the active upstreams."""
        return self._tokens / max(1, self._slots)

    def active_in_domain(self, failure_domain: str) -> list[PooledUpstream]:
        """Return the active upstreams in a failure domain."""
        return self._active_by_domain.get(failure_domain, [])

    def add_tokens(self, host: str, change: int) -> None:
        """Add a change of an upstream's estimate to the sum, if the upstream is active."""
        if host in self._active_hosts:
            self._tokens += change

    def _refresh(self) -> None:
        self.is_stale = False
        usable = [each for each in self.members if each.is_usable(self._target)]
        self._usable = usable
        ejected = self.ejector.ejected
        self._usable_hosts = frozenset(each.host for each in usable)
        self._active = [each for each in usable if each.host not in ejected]
        self._active_hosts = frozenset(each.host for each in self._active)
        self._tokens = sum(each.estimate.tokens for each in self._active)
        self._slots = sum(each.declared.slots for each in self._active)
        self._active_by_domain = {}
        for each in self._active:
            self._active_by_domain.setdefault(each.declared.failure_domain, []).append(each)
