"""What the system reads of a completion, be it an online request or a batch item."""

from __future__ import annotations

import hashlib
import json
from typing import Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure as Failed
from returns.result import Result, Success

from carobspool_core import Failure, RequestId, invalid_request

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
"""Answer tokens assumed when a request sets no bound; the median answer is near 100."""
PREFIX_CHARACTERS = 512
NO_ID = RequestId("", 0)
"""Stands in a message until it is sent."""


class CompletionBody(BaseModel):
    """What the system reads of a completion request; the rest is the engine's."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1)
    messages: list[dict[str, Any]] | None = None
    prompt: Any = None
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)


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
