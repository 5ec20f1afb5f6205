"""The upstreams of every service, as one entry knows them from the platform's list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis

KEPT_SHARE = 0.5
"""A vanished upstream counts as lapsed only when less than this share of its service is left. An
outage takes most registrations of a service at once; a single one that is missing when a lost
connection to the store is back has really left, and was sent requests for 2.03 s instead of two."""
LAPSE_GRACE: Millis = 1_900.0
"""How long an upstream that vanished around an outage of the store is still used.

Registrations expire while the store is away and are written again within about two seconds of its
return. Dropping them at once would leave a healthy service without upstreams for that time; using
them for longer would send requests to upstreams that have really gone.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One registered server of a service.

    Attributes:
        instance: Id of this start of the server; a restart brings a new one.
        service: The service it belongs to.
        address: IP number and port; may later belong to a server of another service.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        ready: ``False`` when it is leaving and wants nothing new.
    """

    instance: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    ready: bool


class UpstreamList:
    """The registered upstreams, with a short memory for those that lapsed during an outage."""

    __slots__ = ("_before", "_grace_until", "_lapsed", "_listed")

    def __init__(self) -> None:
        self._listed: dict[str, Upstream] = {}
        self._lapsed: dict[str, tuple[Upstream, Millis]] = {}
        self._grace_until: Millis = 0.0
        self._before: Counter[str] = Counter()

    def regained(self, now: Millis) -> None:
        """Note that the store answers again after it could not be read."""
        self._grace_until = now + LAPSE_GRACE
        self._before = self._ready_by_service()

    def replace(
        self, upstreams: Iterable[Upstream], now: Millis, *, unusable: Iterable[str] = ()
    ) -> None:
        """Take a complete listing.

        Args:
            upstreams: Those whose registrations can be used.
            now: The time.
            unusable: Instances whose registrations are there and cannot be used.
        """
        for instance in unusable:
            self.refuse(instance)
        before = self._listed
        self._listed = {each.instance: each for each in upstreams}
        for instance in self._listed:
            self._lapsed.pop(instance, None)
        for instance, upstream in before.items():
            if instance not in self._listed:
                self._vanished(upstream, now)

    def put(self, upstream: Upstream) -> None:
        """Take a new or changed registration."""
        self._listed[upstream.instance] = upstream
        self._lapsed.pop(upstream.instance, None)

    def refuse(self, instance: str) -> None:
        """Take a registration that cannot be used: it names no upstream, however good it was.

        It has not lapsed, since it is there, so an outage of the store keeps nothing of it either.
        """
        self._listed.pop(instance, None)
        self._lapsed.pop(instance, None)

    def remove(self, instance: str, now: Millis) -> None:
        """Take the removal of a registration."""
        upstream = self._listed.pop(instance, None)
        if upstream is not None:
            self._vanished(upstream, now)

    def _vanished(self, upstream: Upstream, now: Millis) -> None:
        """Keep an upstream that has lapsed with most of its service around an outage."""
        if not upstream.ready or now >= self._grace_until:
            return
        left = self._ready_by_service()[upstream.service]
        if left < self._before[upstream.service] * KEPT_SHARE:
            self._lapsed[upstream.instance] = (upstream, self._grace_until)

    def _ready_by_service(self) -> Counter[str]:
        return Counter(each.service for each in self._listed.values() if each.ready)

    def usable(self, service: str, now: Millis) -> list[Upstream]:
        """Return the upstreams of a service that may receive new requests."""
        for instance, (_, until) in list(self._lapsed.items()):
            if now >= until:
                del self._lapsed[instance]
        found = [each for each in self._listed.values() if each.service == service and each.ready]
        found.extend(each for each, _ in self._lapsed.values() if each.service == service)
        return found

    def instances(self) -> set[str]:
        """Return the ids of all upstreams known, leaving ones included."""
        return set(self._listed) | set(self._lapsed)

    def listed(self) -> list[Upstream]:
        """Return every listed upstream."""
        return list(self._listed.values())

    def digest(self) -> int:
        """Return a number that differs when the listed upstreams or their readiness differ."""
        parts = sorted(f"{each.instance} {each.ready}" for each in self._listed.values())
        return xxh3_64_intdigest("\n".join(parts).encode())
