"""Messages between an entry and a sidecar, and between entries.

The codec in ``carobspool_node`` writes each message as one CBOR array: a type number followed by
its fields in the order of their definition. A websocket frame is an array of messages.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure

PROTOCOL_VERSION = 1


class Priority(IntEnum):
    """The class of service of a request."""

    ONLINE = 0
    BATCH = 1


class SidecarState(StrEnum):
    """Whether a sidecar accepts new work."""

    READY = "ready"
    LEAVING = "leaving"
    UPSTREAM_DOWN = "upstream_down"


class HintKind(StrEnum):
    """The subject of a hint.

    Hints only reduce delays; the object store is authoritative.
    """

    JOB_CHANGED = "job_changed"
    CHUNK_DONE = "chunk_done"
    CONFIGURATION = "configuration"
    HOST_LEAVING = "host_leaving"
    SUSPECT = "suspect"
    QUARANTINE = "quarantine"
    USAGE = "usage"


@dataclass(frozen=True, slots=True, order=True)
class RequestId:
    """Identifies one attempt of a request, unique across all processes and restarts.

    Attributes:
        incarnation: Random id of the entry process that made the attempt.
        counter: Increases by one for each attempt.
    """

    incarnation: str
    counter: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Hello:
    """First message of each side of a connection."""

    version: int
    node: str
    incarnation: str
    role: str
    failure_domain: str
    nonce: str
    sent: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Heartbeat of a side that has nothing else to send.

    Attributes:
        sent: Sender's monotonic clock, from which the receiver derives the clocks' offset.
    """

    sent: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """Second message of each side: proves knowledge of a shared key."""

    key_id: str
    mac: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Open:
    """Asks a sidecar to run one request at its upstream.

    Attributes:
        id: The attempt's id, returned in `Head`, `Data` and `End`.
        priority: Online or batch.
        target: Name of the model or of the service.
        method: HTTP method.
        path: Path and query at the upstream.
        headers: Headers to forward.
        body: Request body.
        caller: Caller's id, for fair queueing.
        organisation: The caller's organisation.
        weight: The caller's weight in fair queueing.
        cost_tokens: Estimated tokens, prompt and answer together.
        prompt_tokens: Estimated prompt tokens.
        timeout: Time left to the caller's deadline, in milliseconds, when the message was sent.
        idempotent: Whether running the request twice is harmless.
        stream: Whether the caller wants server-sent events as they are produced.
        fingerprint: Digest of organisation and body, to recognise requests that crash upstreams.
        suspect: Whether the request must not run together with another suspect.
        sent: Sender's monotonic clock; a receiver that was paused refuses messages that are too
            old.
    """

    id: RequestId
    priority: Priority
    target: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    caller: str
    organisation: str
    weight: float
    cost_tokens: int
    prompt_tokens: int
    timeout: Millis
    idempotent: bool
    stream: bool
    fingerprint: str
    suspect: bool
    sent: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Status and headers of the upstream's answer."""

    id: RequestId
    status: int
    headers: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Data:
    """A piece of the answer's body; ``sequence`` numbers the pieces from 0 without gaps."""

    id: RequestId
    sequence: int
    payload: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class End:
    """The end of an answer.

    Attributes:
        id: The attempt's id.
        count: Number of `Data` pieces sent; the answer is broken if the receiver has fewer.
        failure: Why the attempt failed, or ``None`` after a complete answer.
    """

    id: RequestId
    count: int
    failure: Failure | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Asks a sidecar to stop an attempt."""

    id: RequestId


@dataclass(frozen=True, slots=True, kw_only=True)
class Attach:
    """Asks a sidecar to resend an attempt's pieces, starting at ``sequence``."""

    id: RequestId
    sequence: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """A sidecar's load, sent on change and at least at each heartbeat.

    Attributes:
        state: Whether the sidecar accepts new work.
        running: Number of requests running at the upstream.
        queued: Number of requests queued at the sidecar.
        tokens: Estimated tokens of the running and queued requests.
        slots: Number of requests that the upstream runs concurrently.
        batch_credits: Number of batch requests that the sidecar would accept now, beyond those
            that it holds.
        targets: Models and services ready at the upstream.
        revision: Configuration revision in force.
        first_token: Smoothed time to the first token of online requests, in milliseconds.
        fencing_epoch: Epoch under which the sidecar issues orders.
    """

    state: SidecarState
    running: int
    queued: int
    tokens: int
    slots: int
    batch_credits: int
    targets: tuple[str, ...]
    revision: int
    first_token: Millis
    fencing_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A revision of the desired state, with the parts that the receiver lacks."""

    revision: int
    parts: dict[str, str] = field(default_factory=dict)
    values: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Hint:
    """Information that saves the receiver a read of the object store.

    Attributes:
        kind: The subject of the hint.
        subject: Job id, host, or fingerprint.
        origin: Node that created the hint.
        sequence: The origin's sequence number, by which repeated hints are dropped.
        values: Details that depend on the kind.
    """

    kind: HintKind
    subject: str
    origin: str
    sequence: int
    values: dict[str, str] = field(default_factory=dict)


Message = (
    Hello
    | Proof
    | Heartbeat
    | Open
    | Head
    | Data
    | End
    | Cancel
    | Attach
    | Load
    | Configuration
    | Hint
)
