"""Parsing of the engine's requests and generation of the answers to them."""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import dataclass
from typing import Any

from carobspool_standins._prefix_cache import prompt_tokens
from carobspool_standins.errors import StandinError

_VOCABULARY = (
    "amber answer arrow autumn barley beacon before bell birch border branch bridge brook "
    "candle canvas carob cedar chalk chapter clause cloud clover copper corner cradle "
    "current dawn deep distant draft echo edge ember evening fallow feather fern field "
    "figure finch folio ford frost garden gentle glass grain gravel green grove harbour "
    "hazel hearth hedge hill hollow horizon image ink island ivory kernel kindle lantern "
    "larch ledger letter light line linen loam margin marsh meadow measure mellow mill "
    "mirror moss narrow night note oak orchard order page paper pattern pebble plain poem "
    "press quarry quiet rain reader reed rhythm ridge river root sail salt season shadow "
    "shelf shore silver slate sound spool spring stanza stone summer table tide timber "
    "title tone tower thread valley verse voice water weather wheat willow winter wood"
)
_WORDS = tuple(_VOCABULARY.split())


class InvalidRequestBody(StandinError):
    """A request body is not valid for the endpoint."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A request as the simulated engine sees it.

    Attributes:
        model: Name of the model.
        text: All messages, concatenated.
        tokens: Estimated prompt tokens.
        max_tokens: Maximum length of the answer, if given.
        min_tokens: Minimum length of the answer.
        stream: Whether the answer is sent as server-sent events.
        chat: Whether the request is a chat completion.
    """

    model: str
    text: str
    tokens: int
    max_tokens: int | None
    min_tokens: int
    stream: bool
    chat: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannedAnswer:
    """A complete answer, generated in advance; ``finish_reason`` holds unless it is cancelled."""

    words: tuple[str, ...]
    finish_reason: str


def parse_prompt(body: bytes, *, chat: bool) -> Prompt:
    """Parse a request body.

    Raises:
        InvalidRequestBody: If it is not JSON or lacks a field that the endpoint needs.
    """
    try:
        value = json.loads(body)
        model = value["model"]
        text = _chat_text(value["messages"]) if chat else _plain_text(value["prompt"])
        max_tokens = value.get("max_completion_tokens") or value.get("max_tokens")
        return Prompt(
            model=str(model),
            text=text,
            tokens=prompt_tokens(text),
            max_tokens=int(max_tokens) if max_tokens is not None else None,
            min_tokens=int(value.get("min_tokens") or 0),
            stream=bool(value.get("stream", False)),
            chat=chat,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidRequestBody(f"{type(error).__name__}: {error}") from error


def plan_answer(prompt: Prompt, shortest: int, longest: int) -> PlannedAnswer:
    """Return the answer: a pure function of the model and the text of the prompt.

    Its length is also subject to the bounds of the request, so every run of a request gives the
    same answer.

    Args:
        prompt: The request.
        shortest: Minimum length in tokens of an answer that the request does not bound.
        longest: Maximum length in tokens of an answer that the request does not bound.
    """
    digest = hashlib.sha256(f"{prompt.model}\n{prompt.text}".encode()).digest()
    rng = random.Random(digest)
    unbounded_length = max(rng.randint(shortest, max(shortest, longest)), prompt.min_tokens)
    length = (
        unbounded_length if prompt.max_tokens is None else min(unbounded_length, prompt.max_tokens)
    )
    words = rng.choices(_WORDS, k=max(1, length))
    tokens = [words[0], *(f" {word}" for word in words[1:])]
    return PlannedAnswer(
        words=tuple(tokens), finish_reason="stop" if length == unbounded_length else "length"
    )


def random_words(rng: random.Random, characters: int) -> str:
    """Return a text of ``characters`` characters, drawn from the vocabulary of the answers."""
    parts: list[str] = []
    length = 0
    while length < characters:
        word = rng.choice(_WORDS)
        parts.append(word)
        length += len(word) + 1
    return " ".join(parts)[:characters]


def _chat_text(messages: list[dict[str, Any]]) -> str:
    return "".join(
        f"{message['role']}: {_content_text(message['content'])}\n" for message in messages
    )


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    return "".join(part["text"] for part in content if part["type"] == "text")


def _plain_text(prompt: Any) -> str:
    if isinstance(prompt, str):
        return prompt
    return "".join(prompt)
