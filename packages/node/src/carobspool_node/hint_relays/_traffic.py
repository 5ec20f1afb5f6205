"""Count the hints that this entry sends, by kind and by whether they leave the failure domain."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

Address = tuple[str, int]


class _CountMetric(Protocol):
    def __call__(self, name: str, value: int = 1, **labels: str) -> None: ...


class HintTraffic:
    """Adds each sent datagram to the metrics.

    Args:
        count: Adds to a counter.
        failure_domain: Failure domain of this entry.
        domain_at: Returns the failure domain of the entry at an address, ``None`` if unknown.
    """

    def __init__(
        self,
        count: _CountMetric,
        failure_domain: str,
        domain_at: Callable[[Address], str | None],
    ) -> None:
        self._count = count
        self._failure_domain = failure_domain
        self._domain_at = domain_at

    def record(self, kind: str, size: int, addresses: Iterable[Address]) -> None:
        """Count a datagram of ``size`` bytes that was sent to each of the addresses.

        The kinds are ``load``, ``counts``, ``announcement``, ``suspects`` and ``relayed``.
        The crossing is ``unknown`` for entries of the previous build, which do not announce their
        domain, and for entries that have not been heard yet.
        """
        for crossing, number in Counter(map(self._crossing, addresses)).items():
            self._count("hint_bytes", size * number, kind=kind, crossing=crossing)
            self._count("hint_datagrams", number, kind=kind, crossing=crossing)

    def _crossing(self, address: Address) -> str:
        domain = self._domain_at(address)
        if domain is None:
            return "unknown"
        return "same" if domain == self._failure_domain else "other"
