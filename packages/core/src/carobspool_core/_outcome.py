"""Failures and outcomes of requests, as returned to callers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from carobspool_core._clock import Millis


class Outcome(StrEnum):
    """Whether a request was executed by an upstream.

    Only `NOT_RUN` may be retried regardless of idempotence.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """The final answer to a request that did not succeed.

    Attributes:
        status: HTTP status code.
        type: Error class, for example ``invalid_request_error`` or ``rate_limit_error``.
        code: Stable machine-readable code, for example ``model_not_found``.
        message: One human-readable sentence; contains no prompt text and no keys.
        outcome: Whether an upstream executed the request.
        retry_after_ms: Time after which the caller may retry; ``None`` if retrying is pointless.

    Since 0.1.
    """

    status: int
    type: str
    code: str
    message: str
    outcome: Outcome
    retry_after_ms: Millis | None = None


def invalid_request(code: str, message: str, *, status: int = HTTPStatus.BAD_REQUEST) -> Failure:
    """Return the failure of a request that is malformed or names an unknown resource."""
    return Failure(
        status=int(status),
        type="invalid_request_error",
        code=code,
        message=message,
        outcome=Outcome.NOT_RUN,
    )


def unavailable(
    code: str,
    message: str,
    *,
    retry_after_ms: Millis = 1000.0,
    outcome: Outcome = Outcome.NOT_RUN,
) -> Failure:
    """Return the failure of a request that the system cannot serve now (503)."""
    return Failure(
        status=int(HTTPStatus.SERVICE_UNAVAILABLE),
        type="unavailable_error",
        code=code,
        message=message,
        outcome=outcome,
        retry_after_ms=retry_after_ms,
    )


def rate_limited(code: str, message: str, *, retry_after_ms: Millis) -> Failure:
    """Return the failure of a request refused because of a limit or overload (429)."""
    return Failure(
        status=int(HTTPStatus.TOO_MANY_REQUESTS),
        type="rate_limit_error",
        code=code,
        message=message,
        outcome=Outcome.NOT_RUN,
        retry_after_ms=retry_after_ms,
    )


def broken_upstream(code: str, message: str, *, outcome: Outcome) -> Failure:
    """Return the failure of a request whose upstream failed or broke off its answer (502)."""
    return Failure(
        status=int(HTTPStatus.BAD_GATEWAY),
        type="upstream_error",
        code=code,
        message=message,
        outcome=outcome,
        retry_after_ms=1000.0,
    )
