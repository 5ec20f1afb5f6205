"""Server-sent events of an engine: cutting at event boundaries, and collecting an answer.

A batch item is run as a stream so that it can give way, and its caller wants the whole answer; the
collector joins the events of one or more runs of the stream into that answer.
"""

from __future__ import annotations

import json
from typing import Any

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]"
MAX_EVENT_BYTES = 1024 * 1024
CANCELLED = "cancelled"
_DATA_PREFIX = b"data:"
_CHOICES = b'"choices"'


def count_tokens(events: bytes) -> int:
    """Return how many whole events carry a piece of an answer's text.

    The opening event, the one that tells why a choice finished, usage and ``[DONE]`` carry none.
    Taken for tokens, they would look like steps of the engine that took no time.
    """
    count = 0
    for event in events.split(EVENT_END):
        # Parsing all of an endless stream of empty events would take seconds.
        if not event.startswith(_DATA_PREFIX) or _CHOICES not in event:
            continue
        try:
            choices = json.loads(event[len(_DATA_PREFIX) :]).get("choices", ())
        except (ValueError, AttributeError):
            continue
        count += any(_text_of(choice) for choice in choices)
    return count


def has_choices(events: bytes) -> bool:
    """Return whether an answer goes on with these events, be it without a piece of its text.

    Tool calls and reasoning come without text.
    """
    return _CHOICES in events


def _text_of(choice: dict[str, Any]) -> str:
    return str(choice.get("delta", {}).get("content") or choice.get("text") or "")


class EventCutter:
    """Cuts a byte stream into whole events; an incomplete rest is kept back. Since 0.1."""

    def __init__(self) -> None:
        self._rest = b""
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the closing ``[DONE]`` event was seen."""
        return self._done

    @property
    def rest(self) -> bytes:
        """Bytes of an event that has not ended yet."""
        return self._rest

    @property
    def is_too_long(self) -> bool:
        """Whether the event that has not ended yet is longer than `MAX_EVENT_BYTES`."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now whole, as they were received."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        whole = data[: end + len(EVENT_END)]
        self._rest = data[end + len(EVENT_END) :]
        self._done = self._done or DONE_EVENT in whole
        return whole


class AnswerCollector:
    """Joins the events of a completion into the body of an unstreamed answer. Since 0.1.

    Args:
        chat: Whether the answer is a chat completion.
    """

    def __init__(self, *, chat: bool) -> None:
        self._chat = chat
        self._first: dict[str, Any] = {}
        self._texts: dict[int, list[str]] = {}
        self._reasons: dict[int, str] = {}
        self._usage: dict[str, Any] | None = None
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Token events collected."""
        return self._tokens

    @property
    def cancelled(self) -> bool:
        """Whether the engine ended the last stream because it was told to cancel it."""
        return CANCELLED in self._reasons.values()

    @property
    def finished(self) -> bool:
        """Whether every choice has its reason for finishing."""
        return bool(self._reasons) and not self.cancelled

    def continue_stream(self) -> None:
        """Forget that the stream was cancelled, before its resumed events are fed."""
        self._reasons.clear()

    def restart(self) -> None:
        """Forget everything, before the item is run from its beginning again."""
        self._first = {}
        self._texts.clear()
        self._reasons.clear()
        self._usage = None
        self._tokens = 0

    def feed(self, events: bytes) -> int:
        """Add whole events and return how many of them carried a token."""
        count = 0
        for event in events.split(EVENT_END):
            if not event.startswith(_DATA_PREFIX):
                continue
            payload = event[len(_DATA_PREFIX) :].strip()
            if payload == b"[DONE]":
                continue
            count += self._add(json.loads(payload))
        self._tokens += count
        return count

    def body(self) -> bytes:
        """Return the answer as the JSON body that the engine gives without streaming."""
        choices = [self._choice(index) for index in sorted(self._texts)]
        answer = {
            "id": self._first.get("id", ""),
            "object": "chat.completion" if self._chat else "text_completion",
            "created": self._first.get("created", 0),
            "model": self._first.get("model", ""),
            "choices": choices,
        }
        if self._usage is not None:
            answer["usage"] = self._usage
        return json.dumps(answer, ensure_ascii=False, separators=(",", ":")).encode()

    def _add(self, event: dict[str, Any]) -> int:
        if not self._first:
            self._first = event
        if event.get("usage"):
            self._usage = event["usage"]
        count = 0
        for choice in event.get("choices", ()):
            index = int(choice.get("index", 0))
            text = self._text(choice)
            pieces = self._texts.setdefault(index, [])
            if text:
                pieces.append(text)
                count = 1
            if choice.get("finish_reason"):
                self._reasons[index] = choice["finish_reason"]
        return count

    def _text(self, choice: dict[str, Any]) -> str:
        if self._chat:
            return str(choice.get("delta", {}).get("content") or "")
        return str(choice.get("text") or "")

    def _choice(self, index: int) -> dict[str, Any]:
        text = "".join(self._texts[index])
        choice: dict[str, Any] = {"index": index, "finish_reason": self._reasons.get(index)}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return choice
