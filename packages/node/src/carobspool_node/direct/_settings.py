"""Settings of a direct entry or a keeper: the model of the file, and the validated values."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Struct
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import Millis
from carobspool_core.problems import Problem, read_json
from carobspool_core.records import Bounds, Record, field, validate
from carobspool_node.direct._peer_messages import MAX_CAPACITY
from carobspool_node.settings import HIGHEST_PORT, IP_ADDRESS, NODE_NAME, LogLevel

MAX_CORES = 4_096
DIRECT_ROLES = ("direct-entry", "keeper")
_ENDPOINT = re.compile(r"[0-9a-fA-F.:]+:[0-9]{1,5}")


_NodeName = Annotated[str, Bounds(pattern=NODE_NAME)]
_IpAddress = Annotated[str, Bounds(pattern=IP_ADDRESS)]


class DirectModel(Record, unknown_keys="forbid"):
    """Model of the settings file of a direct entry or a keeper."""

    role: Literal["direct-entry", "keeper"] = field(description="The process's role.", unit="name")
    node: _NodeName = field(description="Name of this process, unique in the system.", unit="name")
    failure_domain: _NodeName = field(description="Failure domain in which it stands.", unit="name")
    address: _IpAddress = field(description="Address of its host.", unit="IP number")
    callers: str | None = field(
        description="Where callers connect; an entry has one.", unit="IP number:port", default=None
    )
    ready: str | None = field(
        description="Where the balancer asks whether it is ready; an entry has one.",
        unit="IP number:port",
        default=None,
    )
    peer_port: int = field(
        description="Port for hints (UDP) and calls (TCP) of other entries.",
        unit="port",
        ge=1,
        le=HIGHEST_PORT,
    )
    object_api: str = field(description="Where the object store listens.", unit="IP number:port")
    value_limit_bytes: int = field(
        description="Longest object of the store.", unit="bytes", ge=4096
    )
    shutdown_limit_s: float = field(
        description="Time between the signal to end and the kill.", unit="s", gt=0
    )
    job_retention_s: float = field(
        description="How long the results of a finished job stay readable.",
        unit="s",
        gt=0,
        default=120.0,
    )
    first_start: bool = field(
        description="Whether the whole system starts for the first time, with an empty store.",
        unit="flag",
    )
    metrics_port: int = field(
        description="Port on which metrics are served as text.", unit="port", ge=1, le=HIGHEST_PORT
    )
    placement: Literal["slots", "auto"] = field(
        description="Whether an upstream is chosen by its slots alone, or by what it can do now.",
        unit="name",
        default="slots",
    )
    log_level: LogLevel = field(
        description="Least level that is logged; taken over without a restart.",
        unit="name",
        default="info",
    )
    hint_relays: Literal["off", "auto"] = field(
        description=(
            "Whether hints between failure domains go through one entry of each domain; `auto`:"
            " while 12 entries or more live in two domains or more, and three or more in its own."
        ),
        unit="name",
        default="off",
    )
    prefer_own_domain: Literal["off", "auto"] = field(
        description=(
            "Whether requests and batch items go to upstreams of the own failure domain first;"
            " `auto`: while hints go through relays (`hint_relays`)."
        ),
        unit="name",
        default="off",
    )
    processor_share: float = field(
        description=(
            "Share of its host's processor, 0 if unknown; times `processor_cores` this is the"
            " capacity by which the relay of hints is chosen."
        ),
        unit="cores",
        ge=0,
        le=MAX_CAPACITY,
        default=0.0,
    )
    processor_cores: int = field(
        description="How many times as fast as one core its host's processor is.",
        unit="cores",
        ge=1,
        le=MAX_CORES,
        default=1,
    )
    online_queue: Literal["off", "auto", "on"] = field(
        description="Whether online requests that find no slot wait in an order; `auto`: while an"
        " organisation has a priority.",
        unit="name",
        default="off",
    )
    stream_backups: Literal["off", "auto"] = field(
        description="Whether streams that may run only once continue at another engine when their"
        " engine ends; `auto`: at services whose engines declare backups.",
        unit="name",
        default="off",
    )


class DirectSettings(Struct, frozen=True, kw_only=True):
    """Validated settings of a process.

    Attributes:
        role: ``direct-entry`` or ``keeper``.
        node: Name of the process.
        failure_domain: Failure domain of the process.
        address: IP address of the host.
        callers: Address that callers connect to; required for an entry.
        ready: Address of the load balancer's health check; required for an entry.
        peer_port: Port for hints and calls between entries.
        object_api: Address of the object store.
        value_limit: Maximum size of a stored object, in bytes.
        shutdown_limit: Time between the signal to stop and the kill.
        job_retention: How long the results of a finished job stay readable.
        first_start: Whether the whole system starts for the first time, with an empty store.
        metrics_port: Port on which metrics are served.
        log_level: Least severe level that is logged.
        hint_relays: ``off`` or ``auto``.
        prefer_own_domain: ``off`` or ``auto``, in force while relays of hints are.
        host_capacity: Share of processor times cores of the host, 0 if unknown.
        placement: ``slots`` or ``auto``.
        online_queue: Whether online requests wait at the entry for a slot: ``off``, ``auto`` (while
            an organisation has a priority) or ``on``.
        stream_backups: ``off`` or ``auto``.
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
    job_retention: Millis
    first_start: bool
    metrics_port: int
    log_level: str
    hint_relays: str = "off"
    prefer_own_domain: str = "off"
    host_capacity: float = 0.0
    placement: str = "slots"
    online_queue: str = "off"
    stream_backups: str = "off"


def load_direct_settings(path: Path) -> Result[DirectSettings, tuple[Problem, ...]]:
    """Read a settings file.

    Returns:
        The settings, or the problems found in the file. Invalid fields are reported together.
    """
    value = read_json(path)
    if not is_successful(value):
        return Failure((value.failure(),))
    checked = validate(DirectModel, value.unwrap(), file=path.name)
    if not is_successful(checked):
        return Failure(tuple(checked.failure()))
    model = checked.unwrap()
    unusable = _unusable_endpoints(model)
    if unusable:
        return Failure(tuple(_problem(path, name) for name in unusable))
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
            job_retention=model.job_retention_s * 1000.0,
            first_start=model.first_start,
            metrics_port=model.metrics_port,
            log_level=model.log_level,
            hint_relays=model.hint_relays,
            prefer_own_domain=model.prefer_own_domain,
            host_capacity=model.processor_share * model.processor_cores,
            placement=model.placement,
            online_queue=model.online_queue,
            stream_backups=model.stream_backups,
        )
    )


def _unusable_endpoints(model: DirectModel) -> list[str]:
    """Return the names of endpoints that the role requires and that are absent or invalid."""
    needed = {"object_api": model.object_api}
    if model.role == "direct-entry":
        needed |= {"callers": model.callers or "", "ready": model.ready or ""}
    return [name for name, value in needed.items() if not _ENDPOINT.fullmatch(value)]


def _problem(path: Path, name: str) -> Problem:
    return Problem(
        file=path.name, path=name, found="nothing usable", allowed="an IP number and port, a:p"
    )


def _endpoint(value: str | None) -> tuple[str, int] | None:
    if not value:
        return None
    address, _, port = value.rpartition(":")
    return address, int(port)
