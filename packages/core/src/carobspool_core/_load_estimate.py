"""Estimate of the load of one upstream between its delayed load reports.

Load pattern: many requests arrive within the delay of one report. Without the correction, all of
them would go to the upstream that the last report showed as empty.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._messages import Load, Priority

REPORT_LAG: Millis = 10.0
"""Age up to which a request is assumed to be missing from an arriving report.

The one-way latency between failure domains is 1.5 ms, so 3 ms pass between sending a request and
receiving the first report that can include it. The rest covers frames that wait to be batched.
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class InFlightRequest:
    """A request of this entry in flight at an upstream.

    Attributes:
        target: Model or service.
        cost_tokens: Estimated tokens, prompt and answer together.
        started_at: When the request was sent.
        priority: Online or batch.
        suspect: Whether the request is suspected of crashing upstreams.
    """

    target: str
    cost_tokens: int
    started_at: Millis
    priority: Priority
    suspect: bool


class LoadEstimate:
    """Tokens and requests at one upstream, from its last report and this entry's later requests.

    Args:
        lag_correction: ``False`` returns the reported counts unchanged, to measure the difference.

    Since 0.1.
    """

    __slots__ = (
        "_batch_since_report",
        "_reported_credits",
        "_flights",
        "_lag_correction",
        "_local_tokens",
        "_reported_requests",
        "_reported_tokens",
        "_requests_since_report",
        "_suspects",
        "_tokens_since_report",
    )

    def __init__(self, *, lag_correction: bool = True) -> None:
        self._lag_correction = lag_correction
        self._flights: dict[Hashable, InFlightRequest] = {}
        self._local_tokens = 0
        self._reported_tokens = 0
        self._reported_requests = 0
        self._tokens_since_report = 0
        self._requests_since_report = 0
        self._reported_credits = 0
        self._batch_since_report = 0
        self._suspects = 0

    @property
    def tokens(self) -> int:
        """Estimated tokens queued and running; at least those of this entry's own requests."""
        if not self._lag_correction:
            return self._reported_tokens
        return max(self._local_tokens, self._reported_tokens + self._tokens_since_report)

    @property
    def requests(self) -> int:
        """Estimated requests queued and running; at least this entry's own."""
        if not self._lag_correction:
            return self._reported_requests
        return max(len(self._flights), self._reported_requests + self._requests_since_report)

    @property
    def credits(self) -> int:
        """Number of further batch requests that the sidecar accepts from this entry."""
        return max(0, self._reported_credits - self._batch_since_report)

    @property
    def suspects(self) -> int:
        """Number of this entry's suspected requests at the upstream."""
        return self._suspects

    def apply_report(self, load: Load, now: Millis) -> None:
        """Apply a report that arrived at ``now``."""
        self._reported_tokens = load.tokens
        self._reported_requests = load.running + load.queued
        self._reported_credits = load.batch_credits
        self._tokens_since_report = 0
        self._requests_since_report = 0
        self._batch_since_report = 0
        for flight in reversed(self._flights.values()):
            if flight.started_at <= now - REPORT_LAG:
                break
            self._adjust_counts(flight, 1)

    def add_request(self, id: Hashable, flight: InFlightRequest) -> None:
        """Add a request sent to the upstream."""
        self._flights[id] = flight
        self._local_tokens += flight.cost_tokens
        self._suspects += flight.suspect
        self._adjust_counts(flight, 1)

    def remove_request(self, id: Hashable) -> InFlightRequest | None:
        """Remove and return a request; ``None`` if it is unknown."""
        flight = self._flights.pop(id, None)
        if flight is None:
            return None
        self._local_tokens -= flight.cost_tokens
        self._suspects -= flight.suspect
        self._tokens_since_report -= flight.cost_tokens
        self._requests_since_report -= 1
        return flight

    def get_request(self, id: Hashable) -> InFlightRequest | None:
        """Return a request in flight; ``None`` if it is unknown."""
        return self._flights.get(id)

    def _adjust_counts(self, flight: InFlightRequest, sign: int) -> None:
        self._tokens_since_report += sign * flight.cost_tokens
        self._requests_since_report += sign
        if flight.priority is Priority.BATCH:
            self._batch_since_report += sign
