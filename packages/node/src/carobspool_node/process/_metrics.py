"""Metrics by statsd. Names and units stand in docs/METRICS.md."""

from __future__ import annotations

from typing import Protocol

import statsd

from carobspool_core import Millis
from carobspool_node.roles import Endpoint


class Metrics(Protocol):
    """Where measurements go; never blocks and never fails."""

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, value: Millis) -> None:
        """Record a duration in milliseconds."""


class _NoMetrics:
    def count(self, name: str, value: int = 1) -> None:
        """Drop it."""

    def gauge(self, name: str, value: float) -> None:
        """Drop it."""

    def timing(self, name: str, value: Millis) -> None:
        """Drop it."""


class _StatsdMetrics:
    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    def count(self, name: str, value: int = 1) -> None:
        self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        self._client.gauge(name, value)

    def timing(self, name: str, value: Millis) -> None:
        self._client.timing(name, value)


def make_metrics(endpoint: Endpoint | None, *, role: str, node: str) -> Metrics:
    """Return metrics that go to a statsd server, or nowhere when none is set."""
    if endpoint is None:
        return _NoMetrics()
    prefix = f"carobspool.{role}.{node}"
    return _StatsdMetrics(statsd.StatsClient(endpoint.address, endpoint.port, prefix=prefix))
