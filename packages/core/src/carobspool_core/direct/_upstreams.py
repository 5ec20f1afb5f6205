"""The upstreams of all services that an entry knows from the registrations in the store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis
from carobspool_core.direct._upstream_identity import UNKNOWN_START, identity_of, short_key_of

OUTAGE_REMAINING_SHARE = 0.5
"""A removed upstream counts as lapsed only if less than this share of its service is left. An
outage of the store removes most registrations of a service at once. A single registration that is
missing after a lost connection to the store was restored belongs to an upstream that has really
left."""
LAPSE_GRACE: Millis = 1_900.0
"""How long an upstream whose registration lapsed in an outage of the store is still used.

Registrations expire during the outage and are written again within about two seconds of its end.
Dropping the upstreams at once would leave a healthy service without upstreams for that time. Using
them for longer would send requests to upstreams that are really gone.
"""
UNKNOWN_VERSION = ""
"""Version of a server whose registration came from an entry that does not read versions, and of
events that may come from a start of their server that is not registered yet."""
MAX_REMEMBERED_STARTS = 4_096
"""Ids whose latest start is remembered after their removal; far more than a fleet has at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """A registered server of a service, identified by its id and its start.

    Attributes:
        instance: Id of the server, which may restart under the same id.
        service: Service to which the server belongs.
        address: IP address and port; may later belong to a server of another service.
        failure_domain: Failure domain in which the server runs.
        slots: Number of requests that the server runs at once.
        ready: ``False`` if the server is draining and accepts no new requests.
        started: Start of the server in Unix milliseconds, by its own clock; 0 if unknown.
        version: Version of the server's software; empty if unknown.
        identity: Id and start of the server; the key of all state about it.
    """

    instance: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    ready: bool
    started: int = UNKNOWN_START
    version: str = UNKNOWN_VERSION
    identity: str = field(init=False)

    def __post_init__(self) -> None:
        # Computed once, since a placement reads some hundred identities while it holds a lock.
        object.__setattr__(self, "identity", identity_of(self.instance, self.started))

    def replaces(self, other: Upstream) -> bool:
        """Whether this is a later start of the same server."""
        return self.instance == other.instance and self.started > other.started

    def runs_version(self, version: str) -> bool:
        """Whether the server is known to run a software version; an unknown one equals none."""
        return version != UNKNOWN_VERSION and self.version == version


class UpstreamsSnapshot(Struct, frozen=True, kw_only=True):
    """A snapshot of the upstreams that one entry knows, for another entry.

    Attributes:
        listed: All listed upstreams.
        lapsed: Lapsed upstreams that are still used, with the remaining time of their use.
    """

    listed: Sequence[Upstream]
    lapsed: Sequence[tuple[Upstream, Millis]]


class UpstreamList:
    """The registered upstreams, and for a short time those that lapsed in a store outage."""

    __slots__ = (
        "_grace_until",
        "_key_cache",
        "_lapsed",
        "_largest_service_size",
        "_latest",
        "_listed",
        "_ready_before_outage",
        "_ready_cache",
    )

    def __init__(self) -> None:
        self._listed: dict[str, Upstream] = {}
        self._lapsed: dict[str, tuple[Upstream, Millis]] = {}
        self._latest: dict[str, Upstream] = {}
        self._grace_until: Millis = 0.0
        self._ready_before_outage: Counter[str] = Counter()
        # Caches: read by each request and each hint, and invalidated only by changes of the list.
        self._ready_cache: dict[str, Sequence[Upstream]] = {}
        self._key_cache: Mapping[int, str] | None = None
        self._largest_service_size: int | None = None

    def store_recovered(self, now: Millis) -> None:
        """Record that the store can be read again after failed reads."""
        self._grace_until = now + LAPSE_GRACE
        self._ready_before_outage = self._count_ready_by_service()

    def replace(
        self, upstreams: Iterable[Upstream], now: Millis, *, unusable: Iterable[str] = ()
    ) -> list[Upstream]:
        """Replace the list by a complete listing; return the upstreams that have restarted.

        Args:
            upstreams: Upstreams with valid registrations.
            now: Current time.
            unusable: Instances with registrations that exist but are invalid.
        """
        for instance in unusable:
            self.reject_registration(instance)
        self._clear_caches()
        before = self._listed
        self._listed = {}
        restarted = []
        for upstream in upstreams:
            known = before.get(upstream.instance)
            if self._is_outdated(upstream, known):
                if known is not None:
                    self._listed[known.instance] = known
                continue
            if self._list_upstream(upstream):
                restarted.append(upstream)
        for instance, upstream in before.items():
            if instance not in self._listed:
                self._retain_if_lapsed(upstream, now)
        return restarted

    def snapshot(self, now: Millis) -> UpstreamsSnapshot:
        """Return a snapshot of the known upstreams for another entry."""
        lapsed = [(each, until - now) for each, until in self._lapsed.values() if until > now]
        return UpstreamsSnapshot(listed=self.listed(), lapsed=lapsed)

    def apply_snapshot(self, snapshot: UpstreamsSnapshot, now: Millis) -> list[Upstream]:
        """Apply the snapshot of another entry; return the upstreams that have restarted."""
        restarted = self.replace(snapshot.listed, now)
        for upstream, left in snapshot.lapsed:
            if upstream.instance not in self._listed:
                self._lapsed[upstream.instance] = (upstream, now + left)
        return restarted

    def put(self, upstream: Upstream) -> list[Upstream]:
        """Add or update an upstream; return it in a list if it has restarted."""
        if self._is_outdated(upstream, self._listed.get(upstream.instance)):
            return []
        return [upstream] if self._list_upstream(upstream) else []

    def reject_registration(self, instance: str) -> None:
        """Drop the upstream of an invalid registration, even if its last registration was valid.

        The registration exists, so it has not lapsed, and the upstream is not kept in use after an
        outage of the store either.
        """
        self._clear_caches()
        self._listed.pop(instance, None)
        self._lapsed.pop(instance, None)

    def remove(self, instance: str, now: Millis) -> None:
        """Remove the upstream of a deleted registration."""
        self._clear_caches()
        upstream = self._listed.pop(instance, None)
        if upstream is not None:
            self._retain_if_lapsed(upstream, now)

    def _is_outdated(self, upstream: Upstream, listed: Upstream | None) -> bool:
        """Whether a registration is of an earlier start than the latest known start.

        Listings and watch events can arrive out of order, and an earlier start, which no longer
        answers requests, must not be listed again. A registration without a start is ignored only
        while one with a start is listed: the software of the server may have been replaced by an
        older version, and the server would otherwise never be used again.
        """
        if listed is not None and listed.replaces(upstream):
            return True
        if upstream.started == UNKNOWN_START:
            return False
        latest = self._latest.get(upstream.instance)
        return latest is not None and latest.replaces(upstream)

    def _list_upstream(self, upstream: Upstream) -> bool:
        """Add an upstream to the list; return whether an earlier start of it was known."""
        self._clear_caches()
        self._listed[upstream.instance] = upstream
        self._lapsed.pop(upstream.instance, None)
        earlier = self._latest.pop(upstream.instance, upstream)
        self._latest[upstream.instance] = earlier if earlier.replaces(upstream) else upstream
        if len(self._latest) > MAX_REMEMBERED_STARTS:
            del self._latest[next(iter(self._latest))]
        return upstream.replaces(earlier)

    def _clear_caches(self) -> None:
        self._ready_cache.clear()
        self._key_cache = None
        self._largest_service_size = None

    def _retain_if_lapsed(self, upstream: Upstream, now: Millis) -> None:
        """Use a removed upstream until the grace time ends if it counts as lapsed.

        An upstream counts as lapsed if it was ready, the store has just recovered, and less
        than `OUTAGE_REMAINING_SHARE` of the upstreams of its service that were ready before the
        outage are left.
        """
        if not upstream.ready or now >= self._grace_until:
            return
        left = self._count_ready_by_service()[upstream.service]
        if left < self._ready_before_outage[upstream.service] * OUTAGE_REMAINING_SHARE:
            self._lapsed[upstream.instance] = (upstream, self._grace_until)

    def _count_ready_by_service(self) -> Counter[str]:
        return Counter(each.service for each in self._listed.values() if each.ready)

    def usable(self, service: str, now: Millis) -> Sequence[Upstream]:
        """Return the upstreams of a service that may receive new requests, lapsed ones included."""
        ready = self._ready_cache.get(service)
        if ready is None:
            ready = [
                each for each in self._listed.values() if each.service == service and each.ready
            ]
            self._ready_cache[service] = ready
        if not self._lapsed:
            return ready
        for instance, (_, until) in list(self._lapsed.items()):
            if now >= until:
                del self._lapsed[instance]
        lapsed = (each for each, _ in self._lapsed.values() if each.service == service)
        return [*ready, *lapsed]

    def largest_service(self) -> int:
        """Return the number of ready upstreams of the largest service."""
        if self._largest_service_size is None:
            self._largest_service_size = max(self._count_ready_by_service().values(), default=0)
        return self._largest_service_size

    def find(self, instance: str) -> Upstream | None:
        """Return the listed upstream of an id, ``None`` if there is none."""
        return self._listed.get(instance)

    def knows(self, instance: str) -> bool:
        """Return whether an upstream is listed or lapsed recently."""
        return instance in self._listed or instance in self._lapsed

    def identities(self) -> set[str]:
        """Return the identities of all known upstreams, draining ones included."""
        found = {each.identity for each in self._listed.values()}
        return found.union(each.identity for each, _ in self._lapsed.values())

    def versions(self) -> set[tuple[str, str]]:
        """Return the service and software version of each known upstream."""
        known = (*self._listed.values(), *(each for each, _ in self._lapsed.values()))
        return {(each.service, each.version) for each in known}

    def identities_by_key(self) -> Mapping[int, str]:
        """Return the identities of all known upstreams by short key, without shared keys."""
        if self._key_cache is None:
            found: dict[int, str] = {}
            shared = set()
            for identity in self.identities():
                key = short_key_of(identity)
                if key in found:
                    shared.add(key)
                found[key] = identity
            self._key_cache = {key: each for key, each in found.items() if key not in shared}
        return self._key_cache

    def listed(self) -> list[Upstream]:
        """Return all listed upstreams."""
        return list(self._listed.values())

    def digest(self) -> int:
        """Return a digest of the listed upstreams and their readiness."""
        parts = sorted(f"{each.instance} {each.ready}" for each in self._listed.values())
        return xxh3_64_intdigest("\n".join(parts).encode())

    def digest_of_starts(self) -> int:
        """Return a digest of the identities of the listed upstreams, which include their starts.

        Separate from `digest`, which processes of the previous version compute without starts. With
        starts in it the digests of both versions would differ, and the processes would read the
        list again each second for as long as both versions run.
        """
        identities = sorted(each.identity for each in self._listed.values())
        return xxh3_64_intdigest("\n".join(identities).encode())
