"""Response bodies of the engine: server-sent events and complete JSON bodies."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import Any

from carobspool_standins._answers import PlannedAnswer, Prompt

DONE_EVENT = b"data: [DONE]\n\n"
_TEXT_PLACEHOLDER = "\u0001"


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Token counts of a finished request."""

    prompt: int
    completion: int
    cached: int = 0

    @property
    def as_json(self) -> dict[str, Any]:
        """The ``usage`` object of the OpenAI API."""
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
        }


class EventWriter:
    """Encodes the events of one stream; everything but the text is encoded only once.

    Args:
        stream_id: Id of the stream.
        prompt: The parsed request.
        answer: The planned answer.
    """

    def __init__(self, stream_id: str, prompt: Prompt, answer: PlannedAnswer) -> None:
        self._prompt = prompt
        self._words = answer.words
        object_type = "chat.completion.chunk" if prompt.chat else "text_completion"
        self._base = {
            "id": stream_id,
            "object": object_type,
            "created": int(time.time()),
            "model": prompt.model,
        }
        head, tail = self._event(self._delta(_TEXT_PLACEHOLDER), None).split(
            json.dumps(_TEXT_PLACEHOLDER)
        )
        self._head = head.encode()
        self._tail = tail.encode()

    def token_events(self, start: int, end: int) -> bytes:
        """Return the events of the tokens from ``start`` up to but not including ``end``."""
        parts: list[bytes] = []
        for index in range(start, end):
            # Words are ASCII without quotes or backslashes, so quotes alone make them valid JSON.
            parts.append(b'%b"%b"%b' % (self._head, self._words[index].encode(), self._tail))
        return b"".join(parts)

    def final_events(self, reason: str, usage: Usage) -> bytes:
        """Return the final event, with the usage, and the ``[DONE]`` event."""
        empty: dict[str, Any] = {"delta": {}} if self._prompt.chat else {"text": ""}
        return self._event(empty, reason, usage).encode() + DONE_EVENT

    def _delta(self, text: str) -> dict[str, Any]:
        if self._prompt.chat:
            return {"delta": {"role": "assistant", "content": text}}
        return {"text": text}

    def _event(self, choice: dict[str, Any], reason: str | None, usage: Usage | None = None) -> str:
        value: dict[str, Any] = {
            **self._base,
            "choices": [{"index": 0, **choice, "finish_reason": reason}],
        }
        if usage is not None:
            value["usage"] = usage.as_json
        return f"data: {json.dumps(value, separators=(',', ':'))}\n\n"


def completion_body(
    stream_id: str, prompt: Prompt, words: tuple[str, ...], reason: str, usage: Usage
) -> dict[str, Any]:
    """Return the JSON body of a response that is not streamed."""
    text = "".join(words)
    message = {"message": {"role": "assistant", "content": text}} if prompt.chat else {"text": text}
    return {
        "id": stream_id,
        "object": "chat.completion" if prompt.chat else "text_completion",
        "created": int(time.time()),
        "model": prompt.model,
        "choices": [{"index": 0, **message, "finish_reason": reason}],
        "usage": usage.as_json,
    }
