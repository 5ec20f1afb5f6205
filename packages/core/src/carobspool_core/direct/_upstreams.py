"""The upstreams of every service, as one entry knows them from the platform's list."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from carobspool_core._clock import Millis

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

    __slots__ = ("_grace_until", "_lapsed", "_listed")

    def __init__(self) -> None:
        self._listed: dict[str, Upstream] = {}
        self._lapsed: dict[str, tuple[Upstream, Millis]] = {}
        self._grace_until: Millis = 0.0

    def regained(self, now: Millis) -> None:
        """Note that the store answers again after it could not be read."""
        self._grace_until = now + LAPSE_GRACE

    def replace(self, upstreams: Iterable[Upstream], now: Millis) -> None:
        """Take a complete listing."""
        listed = {each.instance: each for each in upstreams}
        for instance in set(self._listed) - set(listed):
            self.remove(instance, now)
        self._listed = listed
        for instance in listed:
            self._lapsed.pop(instance, None)

    def put(self, upstream: Upstream) -> None:
        """Take a new or changed registration."""
        self._listed[upstream.instance] = upstream
        self._lapsed.pop(upstream.instance, None)

    def remove(self, instance: str, now: Millis) -> None:
        """Take the removal of a registration."""
        upstream = self._listed.pop(instance, None)
        if upstream is not None and upstream.ready and now < self._grace_until:
            self._lapsed[instance] = (upstream, self._grace_until)

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
