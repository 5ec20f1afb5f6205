"""Bounded KV memory of the engine: cached prompt prefixes and the KV of cancelled streams."""

from __future__ import annotations

import hashlib
import random
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

CHARS_PER_TOKEN = 4
MAX_EVENTS = 10_000
PREFIX_HEX_DIGITS = 16


def prompt_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def prefix_blocks(model: str, text: str, block_tokens: int) -> list[str]:
    """Return the ids of a prompt's complete blocks.

    An id is a digest of the model and of all text up to the end of the block.

    Args:
        model: Model that the KV belongs to.
        text: Text of the prompt.
        block_tokens: Tokens in a block.
    """
    size = block_tokens * CHARS_PER_TOKEN
    digest = hashlib.sha256(model.encode())
    blocks: list[str] = []
    for end in range(size, len(text) + 1, size):
        digest.update(text[end - size : end].encode())
        blocks.append(digest.hexdigest()[:PREFIX_HEX_DIGITS])
    return blocks


class CacheEvents:
    """Cache events, published with a delay and with gaps in their sequence numbers.

    Args:
        delay_ms: Age at which an event is published.
        gap_rate: Share of events that are never published.
        seed: Seed of the gaps.
    """

    def __init__(self, delay_ms: float, gap_rate: float, seed: int) -> None:
        self._lock = threading.Lock()
        self._delay_ms = delay_ms
        self._gap_rate = gap_rate
        self._random = random.Random(seed)
        self._sequence = 0
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)

    def add(self, kind: str, prefix: str) -> None:
        """Add an event, or drop it at random at the rate of the gaps."""
        with self._lock:
            self._sequence += 1
            if self._random.random() < self._gap_rate:
                return
            event = {"sequence": self._sequence, "kind": kind, "prefix": prefix}
            self._events.append((time.monotonic() * 1000.0 + self._delay_ms, event))

    def since(self, start: int) -> tuple[int, list[dict[str, Any]]]:
        """Return the published events from sequence number ``start`` on.

        Returns:
            The sequence number for the next call, and the events.
        """
        now = time.monotonic() * 1000.0
        with self._lock:
            found = [e for at, e in self._events if at <= now and e["sequence"] >= start]
        return (found[-1]["sequence"] + 1 if found else start), found


@dataclass(slots=True, kw_only=True)
class KeptStream:
    """A cancelled stream whose KV is kept, and the number of tokens that it occupies."""

    stream: Any
    tokens: int


class KvMemory:
    """Memory with LRU eviction for prefix blocks and kept streams. Not thread-safe.

    Args:
        capacity: Tokens that fit.
        block_tokens: Tokens in a prefix block.
        on_event: Called with ``stored`` or ``evicted`` and the block's id.
    """

    def __init__(
        self, capacity: int, block_tokens: int, on_event: Callable[[str, str], None]
    ) -> None:
        self._capacity = capacity
        self._block_tokens = block_tokens
        self._on_event = on_event
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._kept: OrderedDict[str, KeptStream] = OrderedDict()
        self._used = 0

    @property
    def used(self) -> int:
        """Number of tokens in use."""
        return self._used

    def match(self, blocks: Sequence[str]) -> int:
        """Return the number of cached prompt tokens, and mark their blocks as recently used."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits * self._block_tokens

    def store(self, blocks: Sequence[str]) -> None:
        """Cache a prompt's blocks, up to the first block that does not fit."""
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            if not self._make_room(self._block_tokens):
                return
            self._blocks[block] = None
            self._used += self._block_tokens
            self._on_event("stored", block)

    def keep_stream(self, stream_id: str, stream: Any, tokens: int) -> bool:
        """Keep a cancelled stream's KV and return whether there was room."""
        if tokens == 0 or not self._make_room(tokens):
            return False
        self._kept[stream_id] = KeptStream(stream=stream, tokens=tokens)
        self._used += tokens
        return True

    def pop_stream(self, stream_id: str) -> Any | None:
        """Remove a kept stream, free its memory and return it; ``None`` if it is not kept."""
        kept = self._kept.pop(stream_id, None)
        if kept is None:
            return None
        self._used -= kept.tokens
        return kept.stream

    def clear(self) -> None:
        """Discard all blocks and streams, as after a crash."""
        self._blocks.clear()
        self._kept.clear()
        self._used = 0

    def _make_room(self, tokens: int) -> bool:
        if tokens > self._capacity:
            return False
        # Prefix blocks are evicted before kept streams: losing a block costs a prefill, losing a
        # kept stream loses its progress.
        while self._used + tokens > self._capacity and self._blocks:
            block, _ = self._blocks.popitem(last=False)
            self._used -= self._block_tokens
            self._on_event("evicted", block)
        while self._used + tokens > self._capacity:
            _, kept = self._kept.popitem(last=False)
            self._used -= kept.tokens
        return True
