"""What a request asks of an engine: prompt tokens, output tokens and shared prompt parts.

Load pattern: prompts differ in length by a factor of 60, and most of their tokens are in parts that
other requests share. Reading a long prompt takes longer than waiting for a slot, so the choice of
an upstream needs these numbers, which callers state in headers.
"""

from __future__ import annotations

import re

from msgspec import Struct
from xxhash import xxh3_64_intdigest

MAX_TOKENS = 10_000_000
"""Far more than any engine holds; a larger number in a header is a mistake."""
MAX_PARTS = 32
"""Bounds the work of one placement; prompts consist of some five parts."""
MAX_SHARED_PARTS = 128
"""Bounds what one request that was in flight at a crash adds to a hint, some 10 KB."""
_MAX_MODEL_CHARS = 200
_TOKEN_COUNT = re.compile(rb"([0-9]{1,8})[ \t]*,[ \t]*([0-9]{1,8})")
_PART = re.compile(rb"([0-9a-fA-F]{1,64}):([0-9]{1,8})")


class PromptDemand(Struct, frozen=True):
    """What a request asks of an engine.

    Attributes:
        model: Name of the model, empty if not stated.
        prompt_tokens: Tokens of the whole prompt.
        max_output_tokens: Most tokens that the engine generates.
        parts: Id and tokens of each part of the prompt in order; the last one is the request's own.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens in parts that other requests may share."""
        total = 0
        for _, tokens in self.parts[:-1]:
            total += tokens
        return total

    @property
    def total_tokens(self) -> int:
        """Tokens that the request occupies in an engine's memory at its end."""
        return self.prompt_tokens + self.max_output_tokens

    def prefixes(self) -> list[tuple[int, int]]:
        """Return a key and the tokens of each shared prefix, the shortest first.

        The key covers the model and all parts up to the prefix's end, since an engine keeps a part
        only together with all parts before it.
        """
        key = xxh3_64_intdigest(self.model.encode())
        total = 0
        found = []
        for part, tokens in self.parts[:-1]:
            key = xxh3_64_intdigest(part.encode(), key)
            total += tokens
            found.append((key, total))
        return found


def read_demand(
    model: bytes | None, token_count: bytes | None, prompt_parts: bytes | None
) -> PromptDemand | None:
    """Return the demand that a request's headers state, ``None`` without a valid token count.

    A bad value counts as absent: the request is served as one that does not state it.

    Args:
        model: Name of the model.
        token_count: ``PROMPT,MAX_OUTPUT``.
        prompt_parts: ``ID:TOKENS,…`` with hexadecimal ids.
    """
    counts = _TOKEN_COUNT.fullmatch((token_count or b"").strip())
    if counts is None:
        return None
    prompt, output = int(counts[1]), int(counts[2])
    if prompt > MAX_TOKENS or output > MAX_TOKENS:
        return None
    parts = _read_parts(prompt_parts or b"")
    if sum(tokens for _, tokens in parts) > prompt:
        parts = ()
    return PromptDemand(_read_model(model or b""), prompt, output, parts)


def read_shared_parts(prompt_parts: bytes | None) -> tuple[str, ...]:
    """Return the ids of a prompt's shared parts: the first `MAX_SHARED_PARTS`, without the last.

    Unlike `read_demand` this needs no token count, and keeps the parts before an invalid one.

    Args:
        prompt_parts: ``ID:TOKENS,…`` with hexadecimal ids.
    """
    found: dict[str, None] = {}
    for piece in (prompt_parts or b"").split(b",")[:-1][:MAX_SHARED_PARTS]:
        match = _PART.fullmatch(piece.strip())
        if match is None:
            break
        found[match[1].decode().lower()] = None
    return tuple(found)


def _read_model(value: bytes) -> str:
    name = value.strip().decode("ascii", errors="replace")
    return name if name.isprintable() and len(name) <= _MAX_MODEL_CHARS else ""


def _read_parts(value: bytes) -> tuple[tuple[str, int], ...]:
    if value.count(b",") >= MAX_PARTS:
        return ()
    found = []
    for piece in value.split(b","):
        match = _PART.fullmatch(piece.strip())
        if match is None:
            return ()
        found.append((match[1].decode().lower(), int(match[2])))
    return tuple(found)
