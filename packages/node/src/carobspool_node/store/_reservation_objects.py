"""Reservation objects: their keys, what stands in them, and what a resend is told of them."""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from carobspool_core import Failure as RequestFailure
from carobspool_core import Json, Millis, Outcome, unavailable
from carobspool_node.store._store_access import STORE_RETRY_AFTER

RUNNING_RETRY_AFTER: Millis = 1_000.0


class ReservationState(StrEnum):
    """Where a reserved request stands."""

    RESERVED = "reserved"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """The whole answer of a request that ran; a resend is answered with it."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """The right to run one request.

    Attributes:
        key: Key of the reservation object.
        token: Tells this reservation from any other under the key.
        digest: Digest of the request.
        version: Version of the object.
    """

    key: str
    token: str
    digest: str
    version: int


def object_key(organisation: str, key: str) -> str:
    """Return the key of the reservation object of a caller's key."""
    owner = hashlib.sha256(organisation.encode()).hexdigest()[:8]
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()[:40]
    return f"reservations/{owner}/{digest}"


def answer_value(answer: StoredAnswer) -> Json:
    """Return an answer as it is stored."""
    body = base64.b64encode(answer.body).decode("ascii")
    return {"status": answer.status, "headers": dict(answer.headers), "body": body}


def read_answer(value: Json) -> StoredAnswer:
    """Read a stored answer."""
    body = base64.b64decode(value["body"])
    return StoredAnswer(status=value["status"], headers=value["headers"], body=body)


def store_down() -> RequestFailure:
    """Return the failure of a request that could not be reserved."""
    return unavailable(
        "store_unavailable",
        "The request cannot be reserved now, so it was not sent.",
        retry_after_ms=STORE_RETRY_AFTER,
    )


def in_progress() -> RequestFailure:
    """Return the failure of a resend whose first sending still runs."""
    return RequestFailure(
        status=int(HTTPStatus.CONFLICT),
        type="conflict_error",
        code="request_in_progress",
        message="A request with this idempotency key is in progress.",
        outcome=Outcome.UNKNOWN,
        retry_after_ms=RUNNING_RETRY_AFTER,
    )


def outcome_unknown() -> RequestFailure:
    """Return the failure of a resend of which nobody can know whether it ran."""
    return RequestFailure(
        status=int(HTTPStatus.CONFLICT),
        type="conflict_error",
        code="outcome_unknown",
        message="A request with this key was sent before and no whole answer of it was kept.",
        outcome=Outcome.UNKNOWN,
    )


def key_reused() -> RequestFailure:
    """Return the failure of another request under a used key."""
    return RequestFailure(
        status=int(HTTPStatus.UNPROCESSABLE_ENTITY),
        type="invalid_request_error",
        code="idempotency_key_reused",
        message="This idempotency key belongs to another request.",
        outcome=Outcome.NOT_RUN,
    )
