"""Count the hints that this entry sends, by kind and by whether they leave the failure domain."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

Address = tuple[str, int]


class _CountMetric(Protocol):
    def __call__(self, name: str, value: int = 1, **labels: str) -> None: ...


class HintTraffic:
    """Adds each sent datagram to the metrics.

    Args:
        count: Adds to a counter.
        failure_domain: Failure domain of this entry.
        domains: Returns the known failure domains by address.
    """

    def __init__(
        self,
        count: _CountMetric,
        failure_domain: str,
        domains: Callable[[], Mapping[Address, str]],
    ) -> None:
        self._count = count
        self._failure_domain = failure_domain
        self._domains = domains

    def record(self, kind: str, size: int, addresses: Iterable[Address]) -> None:
        """Count a datagram of ``size`` bytes that was sent to each of the addresses.

        The kinds are ``load``, ``counts``, ``announcement``, ``suspects`` and ``relayed``.
        The crossing is ``unknown`` for entries of the previous build, which do not announce their
        domain, and for entries that have not been heard yet.
        """
        domains = self._domains()
        found = [domains.get(each) for each in addresses]
        same, unknown = found.count(self._failure_domain), found.count(None)
        other = len(found) - same - unknown
        for crossing, number in (("same", same), ("other", other), ("unknown", unknown)):
            if number:
                self._count("hint_bytes", size * number, kind=kind, crossing=crossing)
                self._count("hint_datagrams", number, kind=kind, crossing=crossing)
