"""Estimate of the load of one upstream between its lagging reports.

Load pattern: many requests within one report's lag. Without the correction all of them would go
to the upstream that the last report showed as empty.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._messages import Load, Priority

REPORT_LAG: Millis = 10.0
"""A request started this shortly before a report arrived is not in the report yet.

Failure domains are 1.5 ms apart one way, so 3 ms pass between sending a request and the arrival of
the first report that can show it; the rest covers frames that wait to be joined.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Flight:
    """A request that this entry has running at an upstream.

    Attributes:
        target: Model or service.
        cost_tokens: Estimated tokens, prompt and answer together.
        started: Instant at which it was sent.
        priority: Online or batch.
        suspect: Whether it is suspected of crashing upstreams.
    """

    target: str
    cost_tokens: int
    started: Millis
    priority: Priority
    suspect: bool


class LoadEstimate:
    """Tokens and requests at one upstream: the last report, corrected by what this entry did since.

    Args:
        lag_correction: ``False`` leaves the counts as reported, to measure the difference.

    Since 0.1.
    """

    __slots__ = (
        "_batch_since",
        "_credits",
        "_flights",
        "_lag_correction",
        "_local_tokens",
        "_reported_requests",
        "_reported_tokens",
        "_requests_since",
        "_suspects",
        "_tokens_since",
    )

    def __init__(self, *, lag_correction: bool = True) -> None:
        self._lag_correction = lag_correction
        self._flights: dict[Hashable, Flight] = {}
        self._local_tokens = 0
        self._reported_tokens = 0
        self._reported_requests = 0
        self._tokens_since = 0
        self._requests_since = 0
        self._credits = 0
        self._batch_since = 0
        self._suspects = 0

    @property
    def tokens(self) -> int:
        """Estimated tokens queued and running; never below what this entry has there itself."""
        if not self._lag_correction:
            return self._reported_tokens
        return max(self._local_tokens, self._reported_tokens + self._tokens_since)

    @property
    def requests(self) -> int:
        """Estimated requests queued and running."""
        if not self._lag_correction:
            return self._reported_requests
        return max(len(self._flights), self._reported_requests + self._requests_since)

    @property
    def credits(self) -> int:
        """Batch requests that the sidecar would still take from this entry."""
        return max(0, self._credits - self._batch_since)

    @property
    def suspects(self) -> int:
        """Suspected requests that this entry has there."""
        return self._suspects

    def observe(self, load: Load, now: Millis) -> None:
        """Take over a report that arrived at ``now``."""
        self._reported_tokens = load.tokens
        self._reported_requests = load.running + load.queued
        self._credits = load.batch_credits
        self._tokens_since = 0
        self._requests_since = 0
        self._batch_since = 0
        for flight in reversed(self._flights.values()):
            if flight.started <= now - REPORT_LAG:
                break
            self._count(flight, 1)

    def start(self, id: Hashable, flight: Flight) -> None:
        """Add a request."""
        self._flights[id] = flight
        self._local_tokens += flight.cost_tokens
        self._suspects += flight.suspect
        self._count(flight, 1)

    def end(self, id: Hashable) -> Flight | None:
        """Remove a request and return it; ``None`` when it is not known."""
        flight = self._flights.pop(id, None)
        if flight is None:
            return None
        self._local_tokens -= flight.cost_tokens
        self._suspects -= flight.suspect
        self._tokens_since -= flight.cost_tokens
        self._requests_since -= 1
        return flight

    def flight(self, id: Hashable) -> Flight | None:
        """Return a request in flight, or ``None``."""
        return self._flights.get(id)

    def _count(self, flight: Flight, sign: int) -> None:
        self._tokens_since += sign * flight.cost_tokens
        self._requests_since += sign
        if flight.priority is Priority.BATCH:
            self._batch_since += sign
