"""Models that validate the settings file of ``carobspoold``.

Each field carries its description and unit; ``tools/settings_reference.py`` writes the reference
page from them.
"""

from __future__ import annotations

from typing import Literal

from carobspool_core.border import BorderModel
from carobspool_node.roles._fields import IpAddress, KeyHash, NodeName, Url, setting
from carobspool_node.settings import HIGHEST_PORT, LogLevel

MIB = 1_048_576
MINUTE = 60_000.0


class EndpointModel(BorderModel):
    """An address and port."""

    address: IpAddress = setting("Address to use.", unit="IP number")
    port: int = setting("Port to use.", unit="port", ge=1, le=HIGHEST_PORT)


class HttpModel(EndpointModel):
    """Where callers and operators connect, and the bounds of a request."""

    workers: int = setting("Requests served at once.", unit="requests", default=256, ge=1, le=8192)
    body_limit_bytes: int = setting(
        "Longest request body; a longer one is answered 413.",
        unit="bytes",
        default=16 * MIB,
        ge=1024,
        le=1024 * MIB,
    )
    request_timeout_ms: float = setting(
        "Deadline of a request that names none.", unit="ms", default=10 * MINUTE, gt=0
    )


class AdmissionModel(BorderModel):
    """How the sidecar admits requests to its upstream."""

    mode: Literal["policy", "straight", "cap"] = setting(
        "`policy`: online first, batch into spare capacity. `straight`: in order of arrival, and "
        "`cap`: in order of arrival with at most `cap` batch requests; both for comparison.",
        unit="name",
        default="policy",
    )
    cap: int = setting(
        "Batch requests at once in the mode `cap`.", unit="requests", default=8, ge=0, le=4096
    )


class OrdersModel(BorderModel):
    """How the sidecar gives orders to its engine."""

    lease_ttl_ms: float = setting(
        "How long the right to give orders lasts after it was confirmed in the object API.",
        unit="ms",
        default=15_000.0,
        ge=1000,
    )
    timeout_ms: float = setting(
        "Longest time of one order; a successor waits this long and the lease before it gives "
        "orders to an engine that ignores fencing numbers.",
        unit="ms",
        default=MINUTE,
        gt=0,
    )
    check_ms: float = setting(
        "Time between two readings of the engine's state.", unit="ms", default=2000.0, ge=50
    )


class ProcessModel(BorderModel):
    """What both roles have."""

    node: NodeName = setting("Name of this process, unique in the system.", unit="name")
    failure_domain: NodeName = setting("Failure domain in which it stands.", unit="name")
    object_api: Url = setting("Base of the platform's object API.", unit="URL")
    peer_keys: str = setting(
        "File of the keys by which processes prove themselves to each other; relative to the "
        "folder of the settings file.",
        unit="path",
        min_length=1,
    )
    statsd: EndpointModel | None = setting(
        "Where metrics go; none are sent without it.", unit="object", default=None
    )
    shutdown_limit_ms: float = setting(
        "Longest wait for requests in progress after the signal to end.",
        unit="ms",
        default=MINUTE,
        ge=0,
    )
    log_level: LogLevel = setting("Least level that is logged.", unit="name", default="info")


class EntryModel(ProcessModel):
    """Settings of an entry."""

    role: Literal["entry"] = setting("The process's role.", unit="name")
    http: HttpModel = setting("Where callers and operators connect.", unit="object")
    peer: EndpointModel = setting("Where other entries connect (websocket).", unit="object")
    host_list: Url | None = setting(
        "Base of the platform's list of live and leaving hosts.", unit="URL", default=None
    )
    first_operator_key_hash: KeyHash | None = setting(
        "SHA-256 of the key that may apply the first configuration; void once a revision exists.",
        unit="hex",
        default=None,
    )
    lease_ttl_ms: float = setting(
        "Lease of this entry on the batch work that it has claimed.",
        unit="ms",
        default=10_000.0,
        ge=1000,
    )


class SidecarModel(ProcessModel):
    """Settings of a sidecar."""

    role: Literal["sidecar"] = setting("The process's role.", unit="name")
    host: NodeName = setting("Host of the upstream, as the desired state names it.", unit="name")
    listen: EndpointModel = setting("Where entries connect (websocket).", unit="object")
    upstream: Url = setting("Base of the upstream.", unit="URL")
    kind: Literal["engine", "service"] = setting(
        "Model engine or plain service.", unit="name", default="engine"
    )
    service: NodeName | None = setting(
        "Name of the service when the kind is `service`.", unit="name", default=None
    )
    order_key: str | None = setting(
        "Bearer key that proves orders to the engine.", unit="text", default=None, min_length=1
    )
    admission: AdmissionModel = setting(
        "How requests are admitted.", unit="object", default=AdmissionModel()
    )
    orders: OrdersModel = setting("How orders are given.", unit="object", default=OrdersModel())
    heartbeat_ms: float = setting(
        "Time between two reports of load to an entry.", unit="ms", default=1000.0, ge=50
    )
