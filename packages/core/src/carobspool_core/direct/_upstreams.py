"""The upstreams of every service, as one entry knows them from the platform's list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis
from carobspool_core.direct._upstream_identity import UNKNOWN_START, identity_of, key_of

KEPT_SHARE = 0.5
"""A vanished upstream counts as lapsed only when less than this share of its service is left. An
outage takes most registrations of a service at once; a single one that is missing when a lost
connection to the store is back has really left."""
LAPSE_GRACE: Millis = 1_900.0
"""How long an upstream that vanished around an outage of the store is still used.

Registrations expire while the store is away and are written again within about two seconds of its
return. Dropping them at once would leave a healthy service without upstreams for that time; using
them for longer would send requests to upstreams that have really gone.
"""
STARTS_REMEMBERED = 4_096
"""Ids whose latest start is remembered after they are gone; far more than a fleet has at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One start of a registered server of a service.

    Attributes:
        instance: Id of the server; it may start again under it.
        service: The service it belongs to.
        address: IP number and port; may later belong to a server of another service.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        ready: ``False`` when it is leaving and wants nothing new.
        started: Unix milliseconds of its start, by its own clock; 0 when it does not tell.
        identity: Id and start, the key of all that is believed of it.
    """

    instance: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    ready: bool
    started: int = UNKNOWN_START
    identity: str = field(init=False)

    def __post_init__(self) -> None:
        # Built once: a choice of an upstream looks some hundred of them up under its lock.
        object.__setattr__(self, "identity", identity_of(self.instance, self.started))

    def replaces(self, other: Upstream) -> bool:
        """Whether this is a later start of the same server."""
        return self.instance == other.instance and self.started > other.started


class UpstreamsView(Struct, frozen=True, kw_only=True):
    """The upstreams as one entry knows them, for another one.

    Attributes:
        listed: Every listed upstream.
        lapsed: Those that have lapsed and are still used, with the time for which they are.
    """

    listed: Sequence[Upstream]
    lapsed: Sequence[tuple[Upstream, Millis]]


class UpstreamList:
    """The registered upstreams, with a short memory for those that lapsed during an outage."""

    __slots__ = (
        "_before",
        "_grace_until",
        "_keys",
        "_lapsed",
        "_largest",
        "_latest",
        "_listed",
        "_ready",
    )

    def __init__(self) -> None:
        self._listed: dict[str, Upstream] = {}
        self._lapsed: dict[str, tuple[Upstream, Millis]] = {}
        self._latest: dict[str, Upstream] = {}
        self._grace_until: Millis = 0.0
        self._before: Counter[str] = Counter()
        # Asked for by each request and each hint, and changed only with the list.
        self._ready: dict[str, Sequence[Upstream]] = {}
        self._keys: Mapping[int, str] | None = None
        self._largest: int | None = None

    def regained(self, now: Millis) -> None:
        """Note that the store answers again after it could not be read."""
        self._grace_until = now + LAPSE_GRACE
        self._before = self._ready_by_service()

    def replace(
        self, upstreams: Iterable[Upstream], now: Millis, *, unusable: Iterable[str] = ()
    ) -> list[Upstream]:
        """Take a complete listing; return the upstreams in it that have started again.

        Args:
            upstreams: Those whose registrations can be used.
            now: The time.
            unusable: Instances whose registrations are there and cannot be used.
        """
        for instance in unusable:
            self.refuse(instance)
        self._changed()
        before = self._listed
        self._listed = {}
        restarted = []
        for upstream in upstreams:
            known = before.get(upstream.instance)
            if self._is_outdated(upstream, known):
                if known is not None:
                    self._listed[known.instance] = known
                continue
            if self._take(upstream):
                restarted.append(upstream)
        for instance, upstream in before.items():
            if instance not in self._listed:
                self._vanished(upstream, now)
        return restarted

    def view(self, now: Millis) -> UpstreamsView:
        """Return what is known, for another entry."""
        lapsed = [(each, until - now) for each, until in self._lapsed.values() if until > now]
        return UpstreamsView(listed=self.listed(), lapsed=lapsed)

    def adopt(self, view: UpstreamsView, now: Millis) -> list[Upstream]:
        """Take what another entry knows; return the upstreams in it that have started again."""
        restarted = self.replace(view.listed, now)
        for upstream, left in view.lapsed:
            if upstream.instance not in self._listed:
                self._lapsed[upstream.instance] = (upstream, now + left)
        return restarted

    def put(self, upstream: Upstream) -> list[Upstream]:
        """Take a new or changed registration; return it if the upstream has started again."""
        if self._is_outdated(upstream, self._listed.get(upstream.instance)):
            return []
        return [upstream] if self._take(upstream) else []

    def refuse(self, instance: str) -> None:
        """Take a registration that cannot be used: it names no upstream, however good it was.

        It has not lapsed, since it is there, so an outage of the store keeps nothing of it either.
        """
        self._changed()
        self._listed.pop(instance, None)
        self._lapsed.pop(instance, None)

    def remove(self, instance: str, now: Millis) -> None:
        """Take the removal of a registration."""
        self._changed()
        upstream = self._listed.pop(instance, None)
        if upstream is not None:
            self._vanished(upstream, now)

    def _is_outdated(self, upstream: Upstream, listed: Upstream | None) -> bool:
        """Whether a registration speaks of an earlier start than one that is known.

        Listings and watches can cross, and an earlier start must not come back with what is not
        answered there. A server that tells no start is refused only beside one that does: its
        software may have been replaced by an older one, and it would be lost for good.
        """
        if listed is not None and listed.replaces(upstream):
            return True
        if upstream.started == UNKNOWN_START:
            return False
        latest = self._latest.get(upstream.instance)
        return latest is not None and latest.replaces(upstream)

    def _take(self, upstream: Upstream) -> bool:
        """List an upstream; return whether an earlier start of it was known."""
        self._changed()
        self._listed[upstream.instance] = upstream
        self._lapsed.pop(upstream.instance, None)
        earlier = self._latest.pop(upstream.instance, upstream)
        self._latest[upstream.instance] = earlier if earlier.replaces(upstream) else upstream
        if len(self._latest) > STARTS_REMEMBERED:
            del self._latest[next(iter(self._latest))]
        return upstream.replaces(earlier)

    def _changed(self) -> None:
        self._ready.clear()
        self._keys = None
        self._largest = None

    def _vanished(self, upstream: Upstream, now: Millis) -> None:
        """Keep an upstream that has lapsed with most of its service around an outage."""
        if not upstream.ready or now >= self._grace_until:
            return
        left = self._ready_by_service()[upstream.service]
        if left < self._before[upstream.service] * KEPT_SHARE:
            self._lapsed[upstream.instance] = (upstream, self._grace_until)

    def _ready_by_service(self) -> Counter[str]:
        return Counter(each.service for each in self._listed.values() if each.ready)

    def usable(self, service: str, now: Millis) -> Sequence[Upstream]:
        """Return the upstreams of a service that may receive new requests."""
        ready = self._ready.get(service)
        if ready is None:
            ready = [
                each for each in self._listed.values() if each.service == service and each.ready
            ]
            self._ready[service] = ready
        if not self._lapsed:
            return ready
        for instance, (_, until) in list(self._lapsed.items()):
            if now >= until:
                del self._lapsed[instance]
        lapsed = (each for each, _ in self._lapsed.values() if each.service == service)
        return [*ready, *lapsed]

    def largest_service(self) -> int:
        """Return how many upstreams the largest service has, leaving ones left out."""
        if self._largest is None:
            self._largest = max(self._ready_by_service().values(), default=0)
        return self._largest

    def knows(self, instance: str) -> bool:
        """Return whether an upstream is listed, or has lapsed a moment ago."""
        return instance in self._listed or instance in self._lapsed

    def identities(self) -> set[str]:
        """Return the identities of all upstreams known, leaving ones included."""
        found = {each.identity for each in self._listed.values()}
        return found.union(each.identity for each, _ in self._lapsed.values())

    def identities_by_key(self) -> Mapping[int, str]:
        """Return the identities of all upstreams by their keys, without keys that two share."""
        if self._keys is None:
            found: dict[int, str] = {}
            shared = set()
            for identity in self.identities():
                key = key_of(identity)
                if key in found:
                    shared.add(key)
                found[key] = identity
            self._keys = {key: each for key, each in found.items() if key not in shared}
        return self._keys

    def listed(self) -> list[Upstream]:
        """Return every listed upstream."""
        return list(self._listed.values())

    def digest(self) -> int:
        """Return a number that differs when the listed upstreams or their readiness differ."""
        parts = sorted(f"{each.instance} {each.ready}" for each in self._listed.values())
        return xxh3_64_intdigest("\n".join(parts).encode())

    def digest_of_starts(self) -> int:
        """Return a number that differs when the starts of listed upstreams differ.

        Apart from `digest`, which processes of the version before compute without starts: they
        would differ, and read the list again each second, for as long as both versions run.
        """
        identities = sorted(each.identity for each in self._listed.values())
        return xxh3_64_intdigest("\n".join(identities).encode())
