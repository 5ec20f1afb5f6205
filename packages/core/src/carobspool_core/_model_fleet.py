"""Declared and actual models of a fleet, and the counts shared by the orders of one step."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from carobspool_core._clock import Millis


class LoadOrderKind(StrEnum):
    """What an order makes an upstream do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ModelVersion:
    """One version of a model."""

    model: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamModels:
    """Declared and actual models of one upstream.

    Attributes:
        host: Name of the upstream's host.
        failure_domain: Failure domain of the host.
        declared: Models that should be ready.
        ready: Models that are ready.
        loading: Models that are being loaded.
        max_models: Number of models that fit into its memory at once.
        reachable: Whether the upstream accepts orders now and its ready models serve callers.
    """

    host: str
    failure_domain: str
    declared: frozenset[ModelVersion]
    ready: frozenset[ModelVersion] = frozenset()
    loading: frozenset[ModelVersion] = frozenset()
    max_models: int = 1
    reachable: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightStoreLimits:
    """Limits of the weight store.

    Attributes:
        bytes_per_second: Bandwidth shared by all loads.
        max_concurrent_loads: Largest number of loads at once.
        max_load_time: Time within which a load should finish; fewer loads run at once if they would
            take longer with shared bandwidth. The default fits the time limit of an order, ten
            minutes.
    """

    bytes_per_second: float
    max_concurrent_loads: int = 4
    max_load_time: Millis = 600_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadOrder:
    """One order to an upstream's engine."""

    host: str
    kind: LoadOrderKind
    model: str
    version: str


MAX_UNAVAILABLE_SHARE = 0.25
"""Largest part of a model's upstreams that may be unavailable in one step; one upstream is always
allowed. Routing limits the load of the remaining upstreams to 1.25 times the mean, so a pool with
that margin can serve the load."""


Candidate = tuple[UpstreamModels, ModelVersion]


class FleetState:
    """Counts over the fleet, shared by the orders of one step.

    Attributes:
        upstreams: The reachable upstreams.
        declared: Number of upstreams for which each model is declared, unreachable ones included.
        ready: Number of reachable upstreams on which each model is ready.
        ready_by_domain: The counts in ``ready`` for each pair of model and failure domain.
        unavailable: Number of reachable upstreams that unload each model in this step or do not
            have it ready yet.
    """

    __slots__ = ("declared", "ready", "ready_by_domain", "unavailable", "upstreams")

    def __init__(self, upstreams: Sequence[UpstreamModels]) -> None:
        self.upstreams = [upstream for upstream in upstreams if upstream.reachable]
        self.declared: dict[str, int] = {}
        self.ready: dict[str, int] = {}
        self.ready_by_domain: dict[tuple[str, str], int] = {}
        self.unavailable: dict[str, int] = {}
        for upstream in upstreams:
            for model in {version.model for version in upstream.declared}:
                self.declared[model] = self.declared.get(model, 0) + 1
        for upstream in self.upstreams:
            for model in {version.model for version in upstream.ready}:
                self._count(upstream, model, 1)

    def is_redundant(self, upstream: UpstreamModels, unwanted: ModelVersion) -> bool:
        """Return whether a ready model can be unloaded without reducing what is served.

        That is the case when the model is declared for no upstream, or when another version of it
        is ready on the same upstream.
        """
        if unwanted.model not in self.declared:
            return True
        return any(
            version.model == unwanted.model and version != unwanted for version in upstream.ready
        )

    def can_unload(self, model: str) -> bool:
        """Return whether a model may be unloaded from one more upstream in this step."""
        ready = self.ready.get(model, 0)
        unavailable = self.unavailable.get(model, 0)
        return ready > 1 and unavailable < max(
            1, int((ready + unavailable) * MAX_UNAVAILABLE_SHARE)
        )

    def record_unload(self, upstream: UpstreamModels, model: str) -> None:
        """Count a ready model of an upstream as unavailable."""
        self._count(upstream, model, -1)
        self.unavailable[model] = self.unavailable.get(model, 0) + 1

    def ready_in_same_domain(self, upstream: UpstreamModels, model: str) -> int:
        """Return how many upstreams of the same failure domain have the model ready."""
        return self.ready_by_domain.get((model, upstream.failure_domain), 0)

    def _count(self, upstream: UpstreamModels, model: str, by: int) -> None:
        self.ready[model] = self.ready.get(model, 0) + by
        key = (model, upstream.failure_domain)
        self.ready_by_domain[key] = self.ready_by_domain.get(key, 0) + by
