"""Compares the declared state of an engine with its actual state and selects the next order.

This module does no I/O: the caller reads the engine's state, sends the order and reads the state
again. Only one order is selected at a time, because an engine may have carried out only part of its
orders or may have restarted in between, so a plan of several orders would soon be wrong.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from returns.result import Result

from carobspool_core._clock import Millis
from carobspool_core._config import DesiredState, Model, UpstreamKind


class EngineOrderKind(StrEnum):
    """What an order makes the engine do."""

    LOAD = "load"
    UNLOAD = "unload"
    ADAPTER = "adapter"
    ROLE = "role"


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """One order to an engine; fields that the kind of order does not use are ``None``.

    Since 0.1.
    """

    kind: EngineOrderKind
    model: str | None = None
    version: str | None = None
    adapter: str | None = None
    role: str | None = None


@dataclass(frozen=True, slots=True, order=True)
class Fence:
    """A fencing token. A later holder has a higher epoch, a later order a higher sequence.

    Since 0.1.
    """

    epoch: int
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningModel:
    """A model that an engine runs; it is not ready while it is loading."""

    version: str
    adapters: tuple[str, ...] = ()
    ready: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """The models and role that an engine reports, and the highest fencing token it has seen."""

    models: Mapping[str, RunningModel] = field(default_factory=dict)
    role: str = ""
    fence: Fence = Fence(0, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class DeclaredEngine:
    """What an engine should run.

    Attributes:
        models: Models by name.
        role: Role that the engine should have.
        checks_fencing: Whether the engine refuses an old fencing token.
    """

    models: Mapping[str, Model] = field(default_factory=dict)
    role: str = "serve"
    checks_fencing: bool = False


class OrderFault(StrEnum):
    """Why an order, or a read of an engine's state, failed."""

    UNREACHABLE = "unreachable"
    OLD_FENCE = "old_fence"
    FORBIDDEN = "forbidden"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderFailure:
    """A failed order or a failed read of the state.

    Attributes:
        fault: ``UNREACHABLE``: no complete response arrived; the order may have taken effect.
            ``OLD_FENCE``: the engine has seen a higher fencing token. ``FORBIDDEN``: the engine
            does not accept orders from this sender. ``FAILED``: the engine reported that the order
            failed.
        detail: Description for logs.
        fence: With ``OLD_FENCE``: the highest fencing token that the engine has seen.

    Since 0.1.
    """

    fault: OrderFault
    detail: str = ""
    fence: Fence | None = None


class EngineControl(Protocol):
    """Port to an engine; adapters return the engine's faults as failures instead of raising."""

    def read_state(self) -> Result[EngineState, OrderFailure]:
        """Read the engine's models, role and highest fencing token."""

    def send_order(
        self, order: EngineOrder, fence: Fence, *, timeout: Millis
    ) -> Result[None, OrderFailure]:
        """Send one order and wait at most ``timeout`` milliseconds until it is carried out."""


def declared_engine(state: DesiredState, host: str) -> DeclaredEngine | None:
    """Return what the engine of a host should run.

    Returns:
        ``None`` when the host is not declared or is declared as a plain service; such a host gets
        no orders.

    Since 0.1.
    """
    upstream = state.upstreams.get(host)
    if upstream is None or upstream.kind is not UpstreamKind.ENGINE:
        return None
    models = {name: state.models[name] for name in upstream.models if name in state.models}
    return DeclaredEngine(models=models, role=upstream.role, checks_fencing=upstream.checks_fencing)


def next_order(declared: DeclaredEngine, actual: EngineState) -> EngineOrder | None:
    """Return the next order, or ``None`` when no order is needed now.

    Unloads come first, since they free the memory that a load needs. No order removes a single
    adapter from an engine, so a model with an undeclared adapter is unloaded and loaded again.

    Since 0.1.
    """
    return (
        _next_unload(declared, actual)
        or _next_load(declared, actual)
        or _next_adapter(declared, actual)
        or _next_role(declared, actual)
    )


def describe_differences(declared: DeclaredEngine, actual: EngineState) -> tuple[str, ...]:
    """Describe each difference for operators; empty when the engine runs what is declared.

    Since 0.1.
    """
    found: list[str] = []
    for name in sorted(actual.models.keys() - declared.models.keys()):
        found.append(f"{name}: runs, not declared")
    for name, model in sorted(declared.models.items()):
        running = actual.models.get(name)
        if running is None:
            found.append(f"{name}: declared {model.version}, not loaded")
            continue
        found.extend(_model_differences(model, running))
    if actual.role != declared.role:
        found.append(f"role: declared {declared.role}, is {actual.role}")
    return tuple(found)


def _model_differences(model: Model, running: RunningModel) -> list[str]:
    found = []
    if running.version != model.version:
        found.append(f"{model.name}: declared {model.version}, runs {running.version}")
    if not running.ready:
        found.append(f"{model.name}: loading {running.version}")
    if set(running.adapters) != set(model.adapters):
        declared = ", ".join(sorted(model.adapters)) or "none"
        present = ", ".join(sorted(running.adapters)) or "none"
        found.append(f"{model.name}: adapters declared {declared}, present {present}")
    return found


def _next_unload(declared: DeclaredEngine, actual: EngineState) -> EngineOrder | None:
    for name, running in sorted(actual.models.items()):
        model = declared.models.get(name)
        if model is None or set(running.adapters) - set(model.adapters):
            return EngineOrder(kind=EngineOrderKind.UNLOAD, model=name, version=running.version)
    return None


def _next_load(declared: DeclaredEngine, actual: EngineState) -> EngineOrder | None:
    for name, model in sorted(declared.models.items()):
        running = actual.models.get(name)
        if running is not None and running.version == model.version:
            continue
        return EngineOrder(kind=EngineOrderKind.LOAD, model=name, version=model.version)
    return None


def _next_adapter(declared: DeclaredEngine, actual: EngineState) -> EngineOrder | None:
    for name, model in sorted(declared.models.items()):
        running = actual.models[name]
        if not running.ready:
            continue
        for adapter in model.adapters:
            if adapter in running.adapters:
                continue
            return EngineOrder(
                kind=EngineOrderKind.ADAPTER, model=name, version=model.version, adapter=adapter
            )
    return None


def _next_role(declared: DeclaredEngine, actual: EngineState) -> EngineOrder | None:
    if actual.role == declared.role:
        return None
    return EngineOrder(kind=EngineOrderKind.ROLE, role=declared.role)
