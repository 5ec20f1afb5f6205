"""Settings of a direct entry: a validated model at the border, a data class inside."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from pydantic import Field
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import Millis
from carobspool_core.border import BorderModel, Problem, read_json, validate


class DirectModel(BorderModel):
    """The settings file of a direct entry."""

    role: str = Field(pattern="^(entry|keeper)$")
    node: str = Field(min_length=1)
    failure_domain: str
    address: str
    callers: str | None = None
    ready: str | None = None
    peer_port: int = Field(gt=0, lt=65536)
    object_api: str
    value_limit_bytes: int = Field(gt=0)
    shutdown_limit_s: float = Field(gt=0)
    first_start: bool
    metrics_port: int = Field(gt=0, lt=65536)
    log_level: str = Field(pattern="^(debug|info|warning|error)$")


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectSettings:
    """Settings of a process.

    Attributes:
        role: ``entry`` or ``keeper``.
        node: Its name.
        failure_domain: Where it runs.
        address: IP number of the host.
        callers: Where callers connect; an entry has one.
        ready: Where the balancer asks whether it is ready.
        peer_port: Port for hints and calls between entries.
        object_api: Address of the object store.
        value_limit: Longest object, in bytes.
        shutdown_limit: Time between the signal to stop and the kill.
        first_start: Whether the whole system starts for the first time.
        metrics_port: Port of the metrics.
        log_level: Least severe level that is logged.
    """

    role: str
    node: str
    failure_domain: str
    address: str
    callers: tuple[str, int] | None
    ready: tuple[str, int] | None
    peer_port: int
    object_api: str
    value_limit: int
    shutdown_limit: Millis
    first_start: bool
    metrics_port: int
    log_level: str


def load_direct_settings(path: Path) -> Result[DirectSettings, tuple[Problem, ...]]:
    """Read a settings file; every error comes at once."""
    value = read_json(path)
    if not is_successful(value):
        return Failure((value.failure(),))
    checked = validate(DirectModel, value.unwrap(), file=path.name)
    if not is_successful(checked):
        return Failure(tuple(checked.failure()))
    model = checked.unwrap()
    return Success(
        DirectSettings(
            role=model.role,
            node=model.node,
            failure_domain=model.failure_domain,
            address=model.address,
            callers=_endpoint(model.callers),
            ready=_endpoint(model.ready),
            peer_port=model.peer_port,
            object_api=model.object_api,
            value_limit=model.value_limit_bytes,
            shutdown_limit=model.shutdown_limit_s * 1000.0,
            first_start=model.first_start,
            metrics_port=model.metrics_port,
            log_level=model.log_level,
        )
    )


def _endpoint(value: str | None) -> tuple[str, int] | None:
    if not value:
        return None
    address, _, port = value.rpartition(":")
    return address, int(port)
