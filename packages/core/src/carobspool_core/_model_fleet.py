"""Declared and actual models of a fleet, and counts that the orders of one step share."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from carobspool_core._clock import Millis


class LoadOrderKind(StrEnum):
    """What an upstream is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ModelVersion:
    """A model in one version."""

    model: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamModels:
    """Declared and actual models of one upstream.

    Attributes:
        host: Name of the upstream's host.
        failure_domain: Where it stands.
        declared: What should be ready there.
        ready: What is ready there.
        loading: What it is loading now.
        room: Models that fit into its memory at once.
        reachable: Whether it takes orders now and its ready models serve callers.
    """

    host: str
    failure_domain: str
    declared: frozenset[ModelVersion]
    ready: frozenset[ModelVersion] = frozenset()
    loading: frozenset[ModelVersion] = frozenset()
    room: int = 1
    reachable: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightStoreLimits:
    """What the weight store gives.

    Attributes:
        bytes_per_second: Rate shared by all loads.
        concurrent: Loads that it serves at once.
        max_load_time: Time within which a load should end; fewer run at once when sharing the rate
            would take longer. The default fits the time limit of an order, ten minutes.
    """

    bytes_per_second: float
    concurrent: int = 4
    max_load_time: Millis = 600_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadOrder:
    """One order to an upstream's engine."""

    host: str
    kind: LoadOrderKind
    model: str
    version: str


MAX_UNAVAILABLE_SHARE = 0.25
"""Part of a model's ready upstreams that may be taken away in one step beyond the first: routing
holds the others at 1.25 times the mean, so a pool planned with that margin carries it."""


Candidate = tuple[UpstreamModels, ModelVersion]


class FleetState:
    """Counts over the fleet that orders of the same step have to share."""

    __slots__ = ("declared", "ready", "ready_in", "taken", "upstreams")

    def __init__(self, upstreams: Sequence[UpstreamModels]) -> None:
        self.upstreams = [each for each in upstreams if each.reachable]
        self.declared: dict[str, int] = {}
        self.ready: dict[str, int] = {}
        self.ready_in: dict[tuple[str, str], int] = {}
        self.taken: dict[str, int] = {}
        for each in upstreams:
            for model in {one.model for one in each.declared}:
                self.declared[model] = self.declared.get(model, 0) + 1
        for each in self.upstreams:
            for model in {one.model for one in each.ready}:
                self._count(each, model, 1)

    def is_spare(self, upstream: UpstreamModels, unwanted: ModelVersion) -> bool:
        """Return whether a ready model serves nobody who could not be served beside it."""
        if unwanted.model not in self.declared:
            return True
        return any(one.model == unwanted.model and one != unwanted for one in upstream.ready)

    def may_take(self, model: str) -> bool:
        """Return whether one more upstream may lose a model now."""
        left = self.ready.get(model, 0)
        taken = self.taken.get(model, 0)
        return left > 1 and taken < max(1, int((left + taken) * MAX_UNAVAILABLE_SHARE))

    def take(self, upstream: UpstreamModels, model: str) -> None:
        """Count a ready model as gone from an upstream."""
        self._count(upstream, model, -1)
        self.taken[model] = self.taken.get(model, 0) + 1

    def ready_beside(self, upstream: UpstreamModels, model: str) -> int:
        """Return how many upstreams of the same failure domain have a model ready."""
        return self.ready_in.get((model, upstream.failure_domain), 0)

    def _count(self, upstream: UpstreamModels, model: str, by: int) -> None:
        self.ready[model] = self.ready.get(model, 0) + by
        key = (model, upstream.failure_domain)
        self.ready_in[key] = self.ready_in.get(key, 0) + by
