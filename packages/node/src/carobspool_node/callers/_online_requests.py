"""Reading callers' online requests at the border, into what is forwarded."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core import (
    DesiredState,
    Failure,
    Millis,
    Open,
    Priority,
    Route,
    invalid_request,
)
from carobspool_node.callers._caller_keys import Identified
from carobspool_node.requests import (
    NO_ID,
    completion_fingerprint,
    estimate_tokens,
    fingerprint,
    parse_completion,
    prefix_key,
)

MIN_TIMEOUT: Millis = 1.0
MAX_TIMEOUT: Millis = 600_000.0
_HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_OWN_PREFIX = "carobspool-"


@dataclass(frozen=True, slots=True, kw_only=True)
class OnlineRequest:
    """A checked online request.

    Attributes:
        open: The message to a sidecar, still without id.
        prefix_key: Names the prompt prefix, or ``None``.
        timeout: Milliseconds from arrival within which the answer must begin or be whole.
        idempotency_key: The caller's key, or ``None``.
        body_digest: SHA-256 (hex) over method, path and body.
    """

    open: Open
    prefix_key: str | None
    timeout: Millis
    idempotency_key: str | None
    body_digest: str


def read_completion(
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    who: Identified,
    state: DesiredState,
    *,
    default_timeout: Millis,
) -> Result[OnlineRequest, Failure]:
    """Check a chat or text completion.

    Args:
        path: ``/v1/chat/completions`` or ``/v1/completions``.
        headers: The request's headers, lower-case names.
        body: The request's body.
        who: The caller.
        state: The configuration in force.
        default_timeout: Used when the caller sets none.
    """
    parsed = parse_completion(path, body)
    if not isinstance(parsed, Success):
        return Failed(parsed.failure())
    completion = parsed.unwrap()
    if completion.model not in state.models:
        text = f"the model {completion.model!r} does not exist"
        return Failed(invalid_request("model_not_found", text, status=404))
    timeout = _timeout(headers, default_timeout)
    if not isinstance(timeout, Success):
        return Failed(timeout.failure())
    prompt_tokens, cost_tokens = estimate_tokens(completion, body)
    digest = _digest("POST", path, body)
    message = Open(
        id=NO_ID,
        priority=Priority.ONLINE,
        target=completion.model,
        method="POST",
        path=path,
        headers={"Content-Type": "application/json"},
        body=body,
        caller=who.caller.id,
        organisation=who.organisation.name,
        weight=who.caller.weight * who.organisation.weight,
        cost_tokens=cost_tokens,
        prompt_tokens=prompt_tokens,
        timeout=0.0,
        idempotent=headers.get("carobspool-idempotent", "true").lower() != "false",
        stream=completion.stream,
        fingerprint=completion_fingerprint(who.organisation.name, completion),
        suspect=False,
        sent=0.0,
    )
    return Success(
        OnlineRequest(
            open=message,
            prefix_key=prefix_key(who.organisation.name, completion),
            timeout=timeout.unwrap(),
            idempotency_key=headers.get("idempotency-key"),
            body_digest=digest,
        )
    )


def read_service_call(
    name: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    who: Identified,
    state: DesiredState,
) -> Result[OnlineRequest, Failure]:
    """Check a call of a plain service.

    Args:
        name: The service.
        method: HTTP method.
        path: Path and query at the service, with its leading slash.
        headers: The request's headers, lower-case names.
        body: The request's body.
        who: The caller.
        state: The configuration in force.
    """
    service = state.services.get(name)
    if service is None:
        text = f"the service {name!r} does not exist"
        return Failed(invalid_request("service_not_found", text, status=404))
    route = find_route(service.routes, method, path)
    if route is None:
        text = f"the service {name!r} has no route for {method} {path.partition('?')[0]}"
        return Failed(invalid_request("route_not_found", text, status=404))
    timeout = _timeout(headers, route.timeout)
    if not isinstance(timeout, Success):
        return Failed(timeout.failure())
    marked = headers.get("carobspool-idempotent", "true").lower() != "false"
    message = Open(
        id=NO_ID,
        priority=Priority.ONLINE,
        target=name,
        method=method,
        path=path,
        headers=pass_on(headers),
        body=body,
        caller=who.caller.id,
        organisation=who.organisation.name,
        weight=who.caller.weight * who.organisation.weight,
        cost_tokens=1,
        prompt_tokens=1,
        timeout=0.0,
        idempotent=route.idempotent and marked,
        stream=False,
        fingerprint=fingerprint(who.organisation.name, f"{method} {path}".encode() + body),
        suspect=False,
        sent=0.0,
    )
    return Success(
        OnlineRequest(
            open=message,
            prefix_key=None,
            timeout=timeout.unwrap(),
            idempotency_key=headers.get("idempotency-key"),
            body_digest=_digest(method, f"/services/{name}{path}", body),
        )
    )


def find_route(routes: tuple[Route, ...], method: str, path: str) -> Route | None:
    """Return the route with the longest prefix that takes this method."""
    best: Route | None = None
    for route in routes:
        if method not in route.methods or not path.startswith(route.prefix):
            continue
        if best is None or len(route.prefix) > len(best.prefix):
            best = route
    return best


def pass_on(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that an upstream may see: no keys, no connection headers."""
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_HEADERS and not name.startswith(_OWN_PREFIX)
    }


def _digest(method: str, path: str, body: bytes) -> str:
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()


def _timeout(headers: Mapping[str, str], default: Millis) -> Result[Millis, Failure]:
    text = headers.get("carobspool-timeout-ms")
    if text is None:
        return Success(default)
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not MIN_TIMEOUT <= value <= MAX_TIMEOUT:
        message = f"carobspool-timeout-ms: {text!r} is not from 1 to {MAX_TIMEOUT:.0f}"
        return Failed(invalid_request("invalid_timeout", message))
    return Success(value)
