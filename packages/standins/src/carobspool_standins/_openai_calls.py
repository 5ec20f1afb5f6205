"""Client calls to the OpenAI-compatible API, for the quickstart and the load tool."""

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
DATA_PREFIX = b"data: "
DONE_DATA = b"[DONE]"
TERMINAL_BATCH_STATES = ("completed", "failed", "cancelled", "expired")


class CallFailed(StandinError):
    """An entry rejected a call, or its response breaks the contract of the API."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamedAnswer:
    """A chat completion whose stream ended normally."""

    text: str
    tokens: int
    finish_reason: str


class EventReader:
    """Parses a stream of server-sent events into the JSON values of its events.

    Args:
        on_event: Called with the value of each event.
    """

    def __init__(self, on_event: Callable[[Any], None]) -> None:
        self._on_event = on_event
        self._buffer = b""
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the ``[DONE]`` event has been received."""
        return self._done

    def feed(self, data: bytes) -> None:
        """Parse the next bytes, and report each event that they complete."""
        *complete, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in complete:
            if not event.startswith(DATA_PREFIX):
                continue
            value = event[len(DATA_PREFIX) :]
            if value == DONE_DATA:
                self._done = True
                continue
            self._on_event(json.loads(value))


def require_ok(reply: Reply, what: str) -> Reply:
    """Return the reply if its status is 200.

    Raises:
        CallFailed: If it has another status.
    """
    if reply.status != 200:
        raise CallFailed(f"{what}: {reply.status} {reply.text[:500]}")
    return reply


def stream_chat(
    client: HttpClient, body: Mapping[str, Any], on_text: Callable[[str], None] | None = None
) -> StreamedAnswer:
    """Stream a chat completion until it ends.

    Raises:
        CallFailed: If it is rejected, fails or ends without a finish reason and ``[DONE]``.
    """
    pieces: list[str] = []
    reasons: list[str] = []
    errors: list[Any] = []
    received: list[bytes] = []

    def handle_event(event: Any) -> None:
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

    reader = EventReader(handle_event)

    def receive(data: bytes) -> None:
        received.append(data)
        reader.feed(data)

    reply = client.call("POST", CHAT_PATH, json_body={**body, "stream": True}, on_data=receive)
    if reply.status != 200 or errors:
        raise CallFailed(f"chat completion: {reply.status} {b''.join(received)[-500:]!r}")
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
    """Create a batch job for an uploaded file and return its id."""
    body = {
        "input_file_id": file_id,
        "endpoint": CHAT_PATH,
        "completion_window": "24h",
    }
    reply = client.call("POST", "/v1/batches", json_body=body, headers=headers)
    return str(require_ok(reply, "batch").json["id"])


def read_batch(client: HttpClient, batch_id: str) -> Any:
    """Return the current state of a batch job."""
    return require_ok(client.call("GET", f"/v1/batches/{batch_id}"), "batch status").json


def read_results(client: HttpClient, file_id: str) -> list[Any]:
    """Return the JSON values of the lines of a result file."""
    reply = require_ok(client.call("GET", f"/v1/files/{file_id}/content"), "results")
    return [json.loads(line) for line in reply.text.splitlines()]
