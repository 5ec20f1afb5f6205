"""The calls of the OpenAI-compatible surface that the tools make."""

from __future__ import annotations

import io
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from werkzeug.datastructures import FileStorage
from werkzeug.test import encode_multipart

from carobspool_standins._client import HttpClient, Reply
from carobspool_standins.errors import StandinError

CHAT_PATH = "/v1/chat/completions"
DATA_MARK = b"data: "
DONE_MARK = b"[DONE]"
BATCH_ENDINGS = ("completed", "failed", "cancelled", "expired")


class CallFailed(StandinError):
    """An entry refused a call, or its answer is not what the surface promises."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamedAnswer:
    """A streamed chat completion that came to its end."""

    text: str
    tokens: int
    finish_reason: str


class EventReader:
    """Cuts a stream of server-sent events into the JSON values of its events.

    Args:
        on_event: Called with each value.
    """

    def __init__(self, on_event: Callable[[Any], None]) -> None:
        self._on_event = on_event
        self._rest = b""
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the last mark of the stream has come."""
        return self._done

    def feed(self, data: bytes) -> None:
        """Take the next bytes."""
        *whole, self._rest = (self._rest + data).split(b"\n\n")
        for event in whole:
            if not event.startswith(DATA_MARK):
                continue
            value = event[len(DATA_MARK) :]
            if value == DONE_MARK:
                self._done = True
                continue
            self._on_event(json.loads(value))


def require_ok(reply: Reply, what: str) -> Reply:
    """Return the reply if it is a success.

    Raises:
        CallFailed: If it is not.
    """
    if reply.status != 200:
        raise CallFailed(f"{what}: {reply.status} {reply.text[:500]}")
    return reply


def stream_chat(
    client: HttpClient, body: Mapping[str, Any], on_text: Callable[[str], None] | None = None
) -> StreamedAnswer:
    """Stream a chat completion to its end.

    Raises:
        CallFailed: If it is refused, or the stream does not end as it should.
    """
    pieces: list[str] = []
    reasons: list[str] = []
    errors: list[Any] = []
    raw: list[bytes] = []

    def take(event: Any) -> None:
        if "error" in event:
            errors.append(event["error"])
            return
        for choice in event["choices"]:
            text = choice["delta"].get("content") or ""
            if text:
                pieces.append(text)
            if text and on_text is not None:
                on_text(text)
            if choice["finish_reason"]:
                reasons.append(choice["finish_reason"])

    reader = EventReader(take)

    def receive(data: bytes) -> None:
        raw.append(data)
        reader.feed(data)

    reply = client.call("POST", CHAT_PATH, json_body={**body, "stream": True}, on_data=receive)
    if reply.status != 200 or errors:
        raise CallFailed(f"chat completion: {reply.status} {b''.join(raw)[-500:]!r}")
    if not reader.done or len(reasons) != 1:
        raise CallFailed(f"the stream ended early, after {len(pieces)} tokens")
    return StreamedAnswer(text="".join(pieces), tokens=len(pieces), finish_reason=reasons[0])


def upload(client: HttpClient, name: str, content: bytes) -> str:
    """Upload a file for a batch and return its id."""
    part = FileStorage(io.BytesIO(content), filename=name, content_type="application/jsonl")
    boundary, body = encode_multipart({"purpose": "batch", "file": part})
    headers = {"Content-Type": f"multipart/form-data; boundary={boundary}"}
    reply = client.call("POST", "/v1/files", body=body, headers=headers)
    return str(require_ok(reply, "file upload").json["id"])


def create_batch(
    client: HttpClient, file_id: str, *, headers: Mapping[str, str] | None = None
) -> str:
    """Create a batch job of an uploaded file and return its id."""
    body = {
        "input_file_id": file_id,
        "endpoint": CHAT_PATH,
        "completion_window": "24h",
    }
    reply = client.call("POST", "/v1/batches", json_body=body, headers=headers)
    return str(require_ok(reply, "batch").json["id"])


def read_batch(client: HttpClient, batch_id: str) -> Any:
    """Return a batch job as it stands."""
    return require_ok(client.call("GET", f"/v1/batches/{batch_id}"), "batch status").json


def read_results(client: HttpClient, file_id: str) -> list[Any]:
    """Return the lines of a result file."""
    reply = require_ok(client.call("GET", f"/v1/files/{file_id}/content"), "results")
    return [json.loads(line) for line in reply.text.splitlines()]
