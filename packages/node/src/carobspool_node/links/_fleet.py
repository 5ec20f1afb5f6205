"""The sidecars that an entry uses: one peer each, and the routing decision over them."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Mapping

from returns.result import Result

from carobspool_core import (
    Clock,
    Configuration,
    DeclaredUpstream,
    Failure,
    Hint,
    Load,
    Message,
    Millis,
    Open,
    RequestId,
    RouteChoice,
    Router,
    RouteRequest,
    Upstream,
    UpstreamKind,
)
from carobspool_node.links._handshake import Identity
from carobspool_node.links._peer_keys import PeerKeys
from carobspool_node.links._sidecar_peer import PeerEvents, SidecarPeer

SETTLE_LIMIT: Millis = 3_000.0
"""As long as a sidecar may be silent before it counts as lost."""


class Fleet:
    """All sidecars of an entry. Since 0.1.

    Args:
        identity: This entry.
        keys: Shared keys.
        clock: This process's clock.
        router: The routing decision; this class serialises its use.
        on_hint: Receives hints from sidecars.
        on_configuration: Receives a sidecar's request for parts of the configuration.
    """

    def __init__(
        self,
        identity: Identity,
        keys: PeerKeys,
        clock: Clock,
        router: Router,
        *,
        on_hint: Callable[[Hint], None],
        on_configuration: Callable[[str, Configuration], None],
    ) -> None:
        self._identity = identity
        self._keys = keys
        self._clock = clock
        self._router = router
        self._lock = threading.Lock()
        self._peers: dict[str, SidecarPeer] = {}
        self._loads: dict[str, Load] = {}
        self._declared_at: Millis = clock.now()
        self._drained: frozenset[str] = frozenset()
        self._counter = itertools.count(1)
        self._events = PeerEvents(
            on_load=self._observe,
            on_lost=self._lost,
            on_found=self._found,
            on_hint=on_hint,
            on_configuration=on_configuration,
        )

    @property
    def loads(self) -> dict[str, Load]:
        """The last load report of each host."""
        return dict(self._loads)

    @property
    def settled(self) -> bool:
        """Whether every sidecar has told what it has ready, or was given the time to.

        An entry that takes requests before that would refuse them for want of an upstream.
        """
        if self._clock.now() - self._declared_at > SETTLE_LIMIT:
            return True
        return all(host in self._loads and self._loads[host].targets for host in self._peers)

    @property
    def connected(self) -> dict[str, bool]:
        """Whether each host's sidecar is connected and heard."""
        return {host: peer.connected for host, peer in self._peers.items()}

    def new_id(self) -> RequestId:
        """Return a fresh attempt id."""
        return RequestId(self._identity.incarnation, next(self._counter))

    def set_upstreams(self, upstreams: Mapping[str, Upstream]) -> None:
        """Connect to the declared sidecars and leave those that are declared no more."""
        started: list[SidecarPeer] = []
        stopped: list[SidecarPeer] = []
        with self._lock:
            for host, peer in list(self._peers.items()):
                declared = upstreams.get(host)
                if declared is not None and declared.address == peer.address:
                    continue
                stopped.append(self._peers.pop(host))
                self._loads.pop(host, None)
            for host, declared in upstreams.items():
                if host in self._peers:
                    continue
                self._declared_at = self._clock.now()
                self._peers[host] = self._new_peer(host, declared.address)
                started.append(self._peers[host])
            self._router.set_upstreams([_target(declared) for declared in upstreams.values()])
        for peer in stopped:
            peer.stop()
        for peer in started:
            peer.start()

    def set_drained(self, hosts: frozenset[str]) -> None:
        """Give hosts that are to be drained nothing new, and take up those that are not any more.

        Args:
            hosts: Every host under a drain order or listed as leaving by the platform.
        """
        with self._lock:
            for host in hosts - self._drained:
                self._router.set_leaving(host, True)
            for host in self._drained - hosts:
                self._router.set_leaving(host, False)
            self._drained = hosts

    def pick(self, request: RouteRequest) -> Result[RouteChoice, Failure]:
        """Choose the host for a request."""
        with self._lock:
            return self._router.pick(request, self._clock.now())

    def credits(self, target: str) -> int:
        """Return how many batch requests the sidecars of a model would take now."""
        with self._lock:
            return self._router.batch_credits(target)

    def started(self, host: str, request: Open) -> None:
        """Tell the router that an attempt was sent."""
        with self._lock:
            self._router.record_start(
                host,
                request.id,
                request.cost_tokens,
                self._clock.now(),
                target=request.target,
                priority=request.priority,
                suspect=request.suspect,
            )

    def first_token(self, host: str, identity: RequestId) -> None:
        """Tell the router that an attempt's answer has begun."""
        with self._lock:
            self._router.record_first_token(host, identity, self._clock.now())

    def ended(self, host: str, identity: RequestId, *, ok: bool) -> None:
        """Tell the router that an attempt is over."""
        with self._lock:
            self._router.record_end(host, identity, ok, self._clock.now())

    def peer(self, host: str) -> SidecarPeer | None:
        """Return the peer of a host."""
        return self._peers.get(host)

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected sidecar."""
        for peer in self._all():
            peer.send(message)

    def tick(self) -> None:
        """Send heartbeats and notice missed ones; called about each second."""
        now = self._clock.now()
        with self._lock:
            # The router lets the mark of a leaving host lapse; a drain order does not lapse.
            for host in self._drained:
                self._router.set_leaving(host, True)
        for peer in self._all():
            peer.tick(now)

    def stop(self) -> None:
        """Leave all sidecars."""
        for peer in self._all():
            peer.stop()

    def _all(self) -> list[SidecarPeer]:
        with self._lock:
            return list(self._peers.values())

    def _new_peer(self, host: str, address: str) -> SidecarPeer:
        return SidecarPeer(
            host,
            address,
            identity=self._identity,
            keys=self._keys,
            clock=self._clock,
            events=self._events,
        )

    def _observe(self, host: str, load: Load) -> None:
        with self._lock:
            if host not in self._peers:
                return
            self._loads[host] = load
            self._router.apply_load_report(host, load, self._clock.now())

    def _lost(self, host: str) -> None:
        with self._lock:
            self._router.mark_lost(host, self._clock.now())

    def _found(self, host: str) -> None:
        with self._lock:
            self._router.mark_found(host, self._clock.now())


def _target(declared: Upstream) -> DeclaredUpstream:
    names = declared.models
    if declared.kind is UpstreamKind.SERVICE and declared.service is not None:
        names = (declared.service,)
    return DeclaredUpstream(
        host=declared.host,
        failure_domain=declared.failure_domain,
        targets=names,
        slots=declared.slots,
    )
