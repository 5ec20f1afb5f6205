"""Reading callers' online requests at the border, into what is forwarded."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core import (
    DesiredState,
    Failure,
    Millis,
    Open,
    Priority,
    RequestId,
    Route,
    invalid_request,
)
from carobspool_node._caller_keys import Identified

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
"""Answer tokens assumed when a request sets no bound; the median answer is near 100."""
PREFIX_CHARACTERS = 512
MIN_TIMEOUT: Millis = 1.0
MAX_TIMEOUT: Millis = 600_000.0
NO_ID = RequestId("", 0)
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


class CompletionBody(BaseModel):
    """What the system reads of a completion request; the rest is the engine's."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1)
    messages: list[dict[str, Any]] | None = None
    prompt: Any = None
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)


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


def parse_completion(path: str, body: bytes) -> Result[CompletionBody, Failure]:
    """Check the body of a completion request."""
    try:
        value = json.loads(body)
    except ValueError as error:
        return Failed(invalid_request("invalid_json", f"the body is not JSON: {error}"))
    try:
        completion = CompletionBody.model_validate(value)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        return Failed(invalid_request("invalid_body", f"{where}: {first['msg']}"))
    if path.endswith("/chat/completions") and not completion.messages:
        return Failed(invalid_request("invalid_body", "messages: at least one is needed"))
    if not path.endswith("/chat/completions") and completion.prompt is None:
        return Failed(invalid_request("invalid_body", "prompt: is missing"))
    return Success(completion)


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


def estimate_tokens(completion: CompletionBody, body: bytes) -> tuple[int, int]:
    """Return estimated prompt tokens, and prompt and answer tokens together."""
    prompt = max(1, len(body) // BYTES_PER_TOKEN)
    answer = completion.max_completion_tokens or completion.max_tokens or DEFAULT_MAX_TOKENS
    return prompt, prompt + answer


def prefix_key(organisation: str, completion: CompletionBody) -> str:
    """Return a key shared by requests whose prompts begin alike."""
    if completion.messages:
        start = json.dumps(completion.messages[0])[:PREFIX_CHARACTERS]
    else:
        start = str(completion.prompt)[:PREFIX_CHARACTERS]
    text = f"{organisation}|{completion.model}|{start}"
    return xxhash.xxh3_64_hexdigest(text.encode())


def completion_fingerprint(organisation: str, completion: CompletionBody) -> str:
    """Return the fingerprint of a completion: its model and prompt, not how it is answered.

    A caller whose stream broke may send the same prompt again without a stream, or shorter.
    """
    prompt = completion.messages if completion.messages else completion.prompt
    content = json.dumps([completion.model, prompt], sort_keys=True)
    return fingerprint(organisation, content.encode())


def fingerprint(organisation: str, body: bytes) -> str:
    """Return the digest by which a request is recognised when it is sent again."""
    return hashlib.sha256(organisation.encode() + b"\0" + body).hexdigest()[:32]


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
