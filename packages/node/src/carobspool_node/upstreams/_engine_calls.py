"""The calls by which a sidecar runs, resumes and cancels a request at its upstream."""

from __future__ import annotations

import json

from carobspool_core import Open, RequestId
from carobspool_node.upstreams._upstream_http import (
    CONTROL_TIMEOUT,
    CallEnd,
    UpstreamCall,
    call_whole,
)


def answer_call(upstream: str, request: Open) -> UpstreamCall:
    """Return the call that passes a request on as it came."""
    headers = {**request.headers, "X-Request-Id": engine_id(request.id)}
    return UpstreamCall(
        method=request.method,
        url=upstream + request.path,
        headers=headers,
        body=request.body,
        timeout=0.0 if request.stream else request.timeout,
    )


def stream_call(upstream: str, request: Open) -> UpstreamCall:
    """Return the call that runs a completion as a stream, which can give way."""
    body = json.loads(request.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    headers = {**request.headers, "X-Request-Id": engine_id(request.id)}
    return UpstreamCall(
        method="POST",
        url=upstream + request.path,
        headers=headers,
        body=json.dumps(body, ensure_ascii=False).encode(),
    )


def resume_call(upstream: str, request: Open, tokens: int) -> UpstreamCall:
    """Return the call that goes on with a stream after so many tokens."""
    body = json.dumps({"from_token": tokens}).encode()
    return UpstreamCall(
        method="POST",
        url=f"{upstream}/streams/{engine_id(request.id)}/resume",
        headers={"Content-Type": "application/json"},
        body=body,
    )


def cancel_at_engine(upstream: str, identity: RequestId, *, keep_kv: bool) -> bool:
    """Cancel a stream; tell whether the engine did so, and kept the KV cache if it was to."""
    call = UpstreamCall(
        method="POST",
        url=f"{upstream}/streams/{engine_id(identity)}/cancel",
        headers={"Content-Type": "application/json"},
        body=json.dumps({"keep_kv": keep_kv}).encode(),
        timeout=CONTROL_TIMEOUT,
    )
    result, body = call_whole(call)
    if result.end is not CallEnd.COMPLETE or result.status != 200:
        return False
    try:
        return bool(json.loads(body)["kept"]) or not keep_kv
    except (ValueError, KeyError, TypeError):
        return False


def engine_id(identity: RequestId) -> str:
    """Return the stream id under which an attempt runs at the engine."""
    return f"{identity.incarnation}-{identity.counter}"


def is_completion(request: Open) -> bool:
    """Tell whether a request is a completion, which an engine can stream."""
    return request.path.startswith(("/v1/chat/completions", "/v1/completions"))
